// SPDX-License-Identifier: MIT
// Asks the owners of the queues for engines, on behalf of this host's requests.
#ifndef VALELEDGE_HOST_PROCESS_ENGINE_QUEUE_CLIENT_H_
#define VALELEDGE_HOST_PROCESS_ENGINE_QUEUE_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/endpoint.h"
#include "host/process/engine_place.h"
#include "host/process/engine_queue_groups.h"
#include "host/process/engine_queue_owner.h"
#include "host/process/host_core.h"
#include "host/process/owner_calls.h"
#include "wire/generated/messages_types.h"

namespace valeledge::host {

class engine_queue_client {
 public:
  // `core`, `groups` and `own` must outlive this object, and this object the
  // event loop's run. `own`: this host as an owner.
  engine_queue_client(host_core& core,
                      engine_queue_groups& groups,
                      engine_queue_owner& own,
                      owner_calls links);

  // Waits for an engine for one request. Returns kNoOwner at most 250 ms after
  // the last sign of life of the owner.
  boost::asio::awaitable<engine_place_result> Acquire(
      engine_place_request request);

  // Returns the host to which the load of an engine is reported at once;
  // nothing if the feature is not active for its service, there is no owner, or
  // it is this host.
  std::optional<base::endpoint> OwnerOf(const known_server& server);

 private:
  // What is known of an owner that this host asks.
  struct known_owner {
    std::int64_t pending = 0;
    bool probing = false;
    base::time_point heard_at;
    // It did not respond; it is not asked until then.
    base::time_point silent_until;
  };
  // One question of this host.
  struct asked {
    explicit asked(boost::asio::io_context& context) : timer(context) {}
    boost::asio::steady_timer timer;
    std::optional<base::result<wire::engine_place_reply>> reply;
    bool abandoned = false;
  };

  // The host to ask for an engine of the group that contains `instance`.
  std::optional<base::endpoint> FindOwner(const std::string& service,
                                          const std::string& instance,
                                          base::time_point now);
  void Count(std::string_view metric, std::string_view label);
  boost::asio::awaitable<void> Ask(base::endpoint owner,
                                   wire::engine_place_question question,
                                   std::shared_ptr<asked> state);
  // Calls the owner repeatedly while any question to it is pending.
  boost::asio::awaitable<void> Probe(base::endpoint owner);
  void OnSilent(const base::endpoint& owner,
                const std::string& service,
                base::time_point now);
  engine_place_result ToResult(const base::endpoint& owner,
                               const wire::engine_place_end& end,
                               const wire::engine_place_reply& reply);
  void End(const base::endpoint& owner, wire::engine_place_end end);
  boost::asio::awaitable<void> SendEnd(base::endpoint owner,
                                       wire::engine_place_end end);

  host_core& core_;
  engine_queue_groups& groups_;
  engine_queue_owner& own_;
  owner_calls links_;
  std::map<base::endpoint, known_owner> owners_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_ENGINE_QUEUE_CLIENT_H_
