// SPDX-License-Identifier: MIT
// Deals out the places of plain services: one host for each service knows all
// that is under way at its servers.
#ifndef VALELEDGE_HOST_PROCESS_SLOT_ALLOCATOR_H_
#define VALELEDGE_HOST_PROCESS_SLOT_ALLOCATOR_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/endpoint.h"
#include "decisions/place_ledger.h"
#include "host/process/host_core.h"
#include "host/process/slot_handle.h"
#include "wire/generated/messages_types.h"

namespace valeledge::host {

// What the duty needs of the others; runs on the host's thread.
struct place_links {
  // The host that deals out the places of a service; nothing if there is none.
  std::function<std::optional<base::endpoint>(const std::string& service)>
      dealer;
  std::function<boost::asio::awaitable<base::result<wire::envelope>>(
      base::endpoint where,
      wire::envelope call,
      std::chrono::microseconds timeout)>
      call;
  // A dealer did not answer.
  std::function<void(const base::endpoint& dealer)> doubt;
};

class place_duty {
 public:
  place_duty(host_core& core, place_links links);

  // Waits for a place for one request. Nothing if nobody deals the service's
  // places now: the host chooses by itself. The error says that there will be
  // no place in time.
  boost::asio::awaitable<base::result<std::shared_ptr<dealt_place>>> Take(
      place_request wanted);

  // Another host wants a place, or gives one back.
  boost::asio::awaitable<wire::place_reply> Answer(
      wire::place_question question);
  void TakeBack(const wire::place_end& end);

  // Takes back places that nobody gave back. Call several times a second.
  void Roll(base::time_point now);

 private:
  // A request that waits here for a place.
  struct waiter {
    boost::asio::steady_timer* timer = nullptr;
    std::string server;
  };
  // All places of one service that this host deals out.
  struct deal {
    decisions::place_ledger ledger;
    std::map<std::int64_t, waiter> waiters;
  };

  boost::asio::awaitable<std::optional<wire::place_reply>> AskDealer(
      wire::place_question question,
      std::chrono::milliseconds longest);
  void DealOut(const std::string& service, deal& dealt, base::time_point now);
  std::shared_ptr<dealt_place> MakePlace(const std::string& service,
                                         const wire::place_reply& reply);
  void GiveBack(wire::place_end end);
  boost::asio::awaitable<void> SendBack(wire::place_end end);

  host_core& core_;
  place_links links_;
  std::map<std::string, deal> deals_;
  // Dealers that did not answer lately are left alone until then.
  std::map<std::string, base::time_point> silent_until_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_SLOT_ALLOCATOR_H_
