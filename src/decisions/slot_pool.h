// SPDX-License-Identifier: MIT
// Allocation of server slots for the requests of a plain service by one host.
//
// When servers are nearly full, hosts with only a local view overload servers
// whose slots are in use; their requests are rejected, or queue there for
// longer than callers wait. The allocating host knows all requests in flight.
// It queues requests, orders those of one priority by deadline, and rejects a
// request at once if no slot will be free in time.
#ifndef VALELEDGE_DECISIONS_SLOT_POOL_H_
#define VALELEDGE_DECISIONS_SLOT_POOL_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/duration.h"

namespace valeledge::decisions {

// A server whose slots are allocated from the pool.
struct pooled_server {
  std::int64_t slots = 1;
  // Expiry time of each allocated slot that is not released, by request number.
  std::map<std::int64_t, base::time_point> allocated;
  // No slot is allocated before this time, after a rejected request or within
  // the allocation interval.
  base::time_point backoff_until;
  // Minimum time between two allocations; 0 unless the server is cold.
  std::chrono::milliseconds allocation_interval{0};
};

// Capacity of a server at present.
struct server_capacity {
  std::int64_t slots = 1;
  std::chrono::milliseconds allocation_interval{0};
};

// A request waiting for a slot.
struct slot_request {
  std::int64_t number = 0;
  std::int64_t priority = 0;
  // Without a slot by this time the request is dropped.
  base::time_point deadline;
  // Servers that must not be selected.
  std::vector<std::string> avoid;
};

// The slots of all servers of one service. Modified only by the functions
// below.
struct slot_pool {
  std::map<std::string, pooled_server, std::less<>> servers;
  std::vector<slot_request> queue;
  // Smoothed time for which a slot is in use.
  std::chrono::duration<double, std::milli> typical_service_time{60};
  std::int64_t last_number = 0;
};

// A slot allocated to a request.
struct slot_allocation {
  std::int64_t number = 0;
  std::string server;
};

// Sets the servers that may be used. Servers that are missing are allocated no
// further slots.
void SetServers(slot_pool& pool,
                const std::map<std::string, server_capacity>& usable);

// Returns the maximum queue wait of a request with this time left: half of the
// time that remains after a typical service time, since some requests take much
// longer than that. A longer queue would not increase throughput, and its
// requests would complete too late.
std::chrono::milliseconds MaxQueueWait(const slot_pool& pool,
                                       std::chrono::milliseconds left);

// Returns the expected wait for a slot of a request that arrives now; empty if
// there is no server.
std::optional<std::chrono::milliseconds> ExpectedWait(const slot_pool& pool,
                                                      std::int64_t priority);

// Adds a request to the queue and returns its number.
std::int64_t AddSlotRequest(slot_pool& pool, slot_request request);

// Allocates free slots to queued requests, by priority and then by deadline.
// Each server is allocated one request more than it has slots, which starts as
// soon as another completes.
std::vector<slot_allocation> AllocateSlots(slot_pool& pool,
                                           base::time_point now);

// Drops overdue requests and reclaims slots that were not released in time.
// Returns the numbers of the dropped requests.
std::vector<std::int64_t> Expire(slot_pool& pool, base::time_point now);

// Prefers other servers for a short time after this one rejected a request or
// was unreachable. Hosts decide for themselves which servers to avoid for
// longer; otherwise lost responses seen by a single host would keep all hosts
// away.
void BackOff(slot_pool& pool, const std::string& server, base::time_point now);

// Releases a slot. `took`: time for which it was in use by a request that ran.
void ReleaseSlot(slot_pool& pool,
                 const std::string& server,
                 std::int64_t number,
                 std::optional<std::chrono::duration<double, std::milli>> took);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_SLOT_POOL_H_
