// SPDX-License-Identifier: MIT
// What it costs a request to go to one backend server or another.
#ifndef VALELEDGE_DECISIONS_SERVER_COST_H_
#define VALELEDGE_DECISIONS_SERVER_COST_H_

#include <chrono>
#include <cstdint>

#include "base/duration.h"

namespace valeledge::decisions {

// A backend server as a request sees it.
struct server_candidate {
  std::int64_t slots = 1;
  // Requests of all hosts that run or wait there, as far as is known.
  std::int64_t running = 0;
  // Prompt tokens of those that have not had their first event.
  std::int64_t unread_tokens = 0;
  // Tokens of memory in use, and all there are (0: not an engine).
  std::int64_t held_tokens = 0;
  std::int64_t token_memory = 0;
  // Prompt tokens of this request that the server has kept.
  std::int64_t cached_tokens = 0;
  bool same_zone = true;
  // How much longer than others it takes; 1 is usual.
  double slowdown = 1;
};

// What a request brings along.
struct request_weight {
  std::int64_t prompt_tokens = 0;
  std::int64_t held_tokens = 0;
  // How long an engine takes to read one prompt token of this model, or a
  // plain server to do the whole work.
  std::chrono::duration<double, std::milli> time_per_token{0};
  std::chrono::duration<double, std::milli> service_time{0};
};

// Expected time until the request's first byte comes back; more where the
// server is full or its memory for tokens would not hold the request.
std::chrono::duration<double, std::milli> ExpectedWait(
    const server_candidate& candidate,
    const request_weight& weight);

// How far a backend server may be relied on, from how its answers ended.
struct server_health {
  // Smoothed share of attempts that failed.
  double failure_rate = 0;
  // Smoothed time of its answers against what was expected.
  double slowdown = 1;
  // Requests stay away until here; then one is let through as a trial.
  base::time_point suspended_until;
  std::chrono::milliseconds last_suspension{0};
  bool probing = false;
};

bool AllowsRequests(const server_health& health, base::time_point now);

// An answer came: it took `took` where `expected` was expected.
void RecordResponse(server_health& health,
                    std::chrono::duration<double, std::milli> response_time,
                    std::chrono::duration<double, std::milli> expected);

// The server said that it is full: no fault, but others go first for a while.
void RecordServerFull(server_health& health, base::time_point now);

// An attempt failed: an error, an answer that broke off, none at all.
// `certain` suspends at once, without waiting for a second failure.
void RecordFailure(server_health& health,
                   bool suspend_now,
                   base::time_point now);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_SERVER_COST_H_
