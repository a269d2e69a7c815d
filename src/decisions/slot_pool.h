// SPDX-License-Identifier: MIT
// Which server of a plain service gets the next request, where one host deals
// out the places of all servers.
//
// Answers the load at which servers are nearly full: hosts that each know a few
// requests of their own send to servers whose places are taken, and are turned
// away, or wait there behind others for longer than callers do. The host that
// deals knows all that is under way. A request waits with it, the one that is
// due first before the others, and is refused at once if there will be no place
// in time.
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

// A server whose places are dealt out.
struct pooled_server {
  std::int64_t slots = 1;
  // When each place that was given falls back if nobody gives it back, by the
  // number under which it was given.
  std::map<std::int64_t, base::time_point> allocated;
  // It has turned a request away, and gets none until then.
  base::time_point backoff_until;
  // Between two places that it is given; 0 unless it is cold.
  std::chrono::milliseconds allocation_interval{0};
};

// What a server can take now.
struct server_capacity {
  std::int64_t slots = 1;
  std::chrono::milliseconds allocation_interval{0};
};

// A request that waits for a place.
struct slot_request {
  std::int64_t number = 0;
  std::int64_t priority = 0;
  // Without a place by then it is not worth sending.
  base::time_point deadline;
  // Servers that it should not get.
  std::vector<std::string> avoid;
};

// All places of one service. Changed only by the functions below.
struct slot_pool {
  std::map<std::string, pooled_server, std::less<>> servers;
  std::vector<slot_request> queue;
  // How long a place is taken, smoothed.
  std::chrono::duration<double, std::milli> typical_service_time{60};
  std::int64_t last_number = 0;
};

// A place that has been given.
struct slot_allocation {
  std::int64_t number = 0;
  std::string server;
};

// The servers that may be used now; those that are missing get nothing more.
void SetServers(slot_pool& pool,
                const std::map<std::string, server_capacity>& usable);

// How long a request waits at the most that has so much time left: half of what
// its own work leaves, since the work of some takes much longer than usual. A
// longer queue serves no more, and what it serves comes late.
std::chrono::milliseconds MaxQueueWait(const slot_pool& pool,
                                       std::chrono::milliseconds left);

// How long a request that comes now will wait for a place; nothing if there is
// no server at all.
std::optional<std::chrono::milliseconds> ExpectedWait(const slot_pool& pool,
                                                      std::int64_t priority);

// Adds a request that waits; its number.
std::int64_t AddSlotRequest(slot_pool& pool, slot_request request);

// Gives free places to those who wait, the more urgent first, of the same rank
// the one that is due first. Each server is given one request more than it has
// slots, which begins as soon as one ends.
std::vector<slot_allocation> AllocateSlots(slot_pool& pool,
                                           base::time_point now);

// Drops those who are due, and takes back places that nobody gave back.
// Numbers of those who were dropped.
std::vector<std::int64_t> Expire(slot_pool& pool, base::time_point now);

// A server has turned a request away, or could not be reached: others go first
// for a moment. Hosts judge by themselves which servers to avoid for longer;
// what one host sees of lost answers would keep all others away.
void BackOff(slot_pool& pool, const std::string& server, base::time_point now);

// A place is free again. `took`: how long it was taken by a request that ran.
void ReleaseSlot(slot_pool& pool,
                 const std::string& server,
                 std::int64_t number,
                 std::optional<std::chrono::duration<double, std::milli>> took);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_SLOT_POOL_H_
