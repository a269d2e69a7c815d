// SPDX-License-Identifier: MIT
// Allocates the slots of plain services' servers. For each service, one host is
// the allocator, which knows all requests that run at the servers.
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
#include "decisions/slot_pool.h"
#include "host/process/host_core.h"
#include "host/process/owner_calls.h"
#include "host/process/slot_handle.h"
#include "wire/generated/messages_types.h"

namespace valeledge::host {

// Dependencies of slot_allocator, called on the host's thread.
struct slot_allocator_links : owner_calls {
  // Returns the host that allocates a service's slots; nothing if there is
  // none.
  std::function<std::optional<base::endpoint>(const std::string& service)>
      allocator;
};

class slot_allocator {
 public:
  slot_allocator(host_core& core, slot_allocator_links links);

  // Waits for a slot for one request. Returns null if there is no allocator for
  // the service now; the host then selects a server by itself. Returns
  // kOverloaded if no slot will be free in time.
  boost::asio::awaitable<base::result<std::shared_ptr<slot_handle>>> Acquire(
      slot_request request);

  // Handle another host's request for a slot, and its release of one.
  boost::asio::awaitable<wire::place_reply> HandleRequest(
      wire::place_question message);
  void HandleRelease(const wire::place_end& end);

  // Reclaims slots that were not released in time, and allocates them to
  // waiting requests. To be called several times a second.
  void ReleaseExpired(base::time_point now);

 private:
  // A request that is waiting for a slot.
  struct waiter {
    boost::asio::steady_timer* timer = nullptr;
    std::string server;
  };
  // Slots of one service that this host allocates.
  struct service_slots {
    decisions::slot_pool ledger;
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
  // Services whose allocator did not respond; it is not called until then.
  std::map<std::string, base::time_point> unresponsive_until_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_SLOT_ALLOCATOR_H_
