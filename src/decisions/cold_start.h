// SPDX-License-Identifier: MIT
// Rate limit for requests to a backend server during its cold start.
//
// Protects the servers of a zone that restart together during a burst of load:
// each tolerates a few requests per second from all hosts together, and crashes
// if it receives many more. The limit also holds among hosts that cannot see
// each other, since each host uses a fraction of it without coordination.
#ifndef VALELEDGE_DECISIONS_COLD_START_H_
#define VALELEDGE_DECISIONS_COLD_START_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>

#include "base/duration.h"

namespace valeledge::decisions {

// State of a possibly cold server at one host.
struct cold_server {
  // The server is cold until this time.
  base::time_point cold_until;
  // Earliest time of this host's next request to the server; empty until it is
  // first drawn at random.
  std::optional<base::time_point> next_send_at;
};

// Limits for this host's requests to a cold server.
struct cold_share {
  // Requests per second that the server tolerates from all hosts together.
  double rate = 0;
  // Hosts that may send to the server, including this one: the highest number
  // known so far.
  std::int64_t hosts = 1;
  // Whether this host has been running long enough to know the others.
  bool peers_known = true;
};

// Records the server's report that it stays cold for `remaining`; 0 if it is
// warm.
void MarkCold(cold_server& server,
              std::chrono::milliseconds remaining,
              base::time_point now);

bool IsCold(const cold_server& server, base::time_point now);

// Returns the interval between two requests of one host to a cold server.
std::chrono::duration<double> ColdSendInterval(const cold_share& share);

// Returns the interval between two slots that the slot allocator allocates at a
// cold server.
std::chrono::milliseconds ColdAllocationInterval(double rate);

// Returns whether this host may send a request to a cold server now. If so, the
// next send time is set, whether or not the request is sent.
bool TryStartColdSend(cold_server& server,
                      const cold_share& share,
                      base::time_point now,
                      std::mt19937_64& random);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_COLD_START_H_
