// SPDX-License-Identifier: MIT
// How many requests a backend server gets while it is cold.
//
// For the load at which a zone's servers come back together beside a
// burst: each tolerates a few requests a second from all hosts together, and
// ends if it gets many more. Hosts that cannot see each other keep the bound as
// well, since each takes a part of it that needs no word of the others.
#ifndef VALELEDGE_DECISIONS_COLD_START_H_
#define VALELEDGE_DECISIONS_COLD_START_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>

#include "base/duration.h"

namespace valeledge::decisions {

// What one host knows of a server that may be cold.
struct cold_server {
  // It is cold until then.
  base::time_point cold_until;
  // This host's next request may go there from then on; nothing before the
  // first turn is drawn.
  std::optional<base::time_point> next_send_at;
};

// What one host may send of what a cold server tolerates.
struct cold_share {
  // Requests a second that the server tolerates from all hosts together.
  double rate = 0;
  // Hosts that may send there, this one included: the most that were known.
  std::int64_t hosts = 1;
  // Whether this host has been there long enough to know the others.
  bool peers_known = true;
};

// A server says that it stays cold for so long; 0 if it is warm.
void MarkCold(cold_server& server,
              std::chrono::milliseconds remaining,
              base::time_point now);

bool IsCold(const cold_server& server, base::time_point now);

// The time between two requests of one host to one cold server.
std::chrono::duration<double> ColdSendInterval(const cold_share& share);

// The time between two places at one cold server that its dealer gives out.
std::chrono::milliseconds ColdAllocationInterval(double rate);

// Whether this host may send one request to a cold server now; if so, its turn
// is taken, whether or not the request is sent.
bool TryStartColdSend(cold_server& server,
                      const cold_share& share,
                      base::time_point now,
                      std::mt19937_64& random);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_COLD_START_H_
