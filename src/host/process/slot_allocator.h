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
struct slot_allocator_links {
  // The host that deals out the places of a service; nothing if there is none.
  std::function<std::optional<base::endpoint>(const std::string& service)>
      allocator;
  std::function<boost::asio::awaitable<base::result<wire::envelope>>(
      base::endpoint where,
      wire::envelope call,
      std::chrono::microseconds timeout)>
      call;
  // A dealer did not answer.
  std::function<void(const base::endpoint& allocator)> suspect;
};

class slot_allocator {
 public:
  slot_allocator(host_core& core, slot_allocator_links links);

  // Waits for a place for one request. Nothing if nobody deals the service's
  // places now: the host chooses by itself. The error says that there will be
  // no place in time.
  boost::asio::awaitable<base::result<std::shared_ptr<slot_handle>>> Acquire(
      slot_request request);

  // Another host wants a place, or gives one back.
  boost::asio::awaitable<wire::place_reply> HandleRequest(
      wire::place_question message);
  void HandleRelease(const wire::place_end& end);

  // Takes back places that nobody gave back. Call several times a second.
  void ReleaseExpired(base::time_point now);

 private:
  // A request that waits here for a place.
  struct waiter {
    boost::asio::steady_timer* timer = nullptr;
    std::string server;
  };
  // All places of one service that this host deals out.
  struct service_slots {
    decisions::place_ledger ledger;
    std::map<std::int64_t, waiter> waiters;
  };

  boost::asio::awaitable<std::optional<wire::place_reply>> RequestSlot(
      wire::place_question message,
      std::chrono::milliseconds max_wait);
  void AllocateSlots(const std::string& service,
                     service_slots& slots,
                     base::time_point now);
  std::shared_ptr<slot_handle> MakeHandle(const std::string& service,
                                          const wire::place_reply& reply);
  void Release(wire::place_end end);
  boost::asio::awaitable<void> SendRelease(wire::place_end end);

  host_core& core_;
  slot_allocator_links links_;
  std::map<std::string, service_slots> services_;
  // Dealers that did not answer lately are left alone until then.
  std::map<std::string, base::time_point> unresponsive_until_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_SLOT_ALLOCATOR_H_
