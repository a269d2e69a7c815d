// SPDX-License-Identifier: MIT
// Estimates the cost of sending a request to a backend server, and tracks the
// health of servers from the outcomes of attempts.
#ifndef VALELEDGE_DECISIONS_SERVER_COST_H_
#define VALELEDGE_DECISIONS_SERVER_COST_H_

#include <chrono>
#include <cstdint>

#include "base/duration.h"

namespace valeledge::decisions {

// Above this share of an engine's token memory requests may be preempted.
inline constexpr double kMaxTokenMemoryUse = 0.85;

// Time from the end of prefill to the first event: a few steps of the batch.
inline constexpr std::chrono::milliseconds kFirstEventOverhead{35};

// A backend server as a candidate for a request.
struct server_candidate {
  std::int64_t slots = 1;
  // Known requests of all hosts that run or wait on the server.
  std::int64_t running = 0;
  // Prompt tokens of those whose first event has not arrived.
  std::int64_t unread_tokens = 0;
  // Tokens in use in the token memory, and its capacity (0: not an engine).
  std::int64_t held_tokens = 0;
  std::int64_t token_memory = 0;
  // Prompt tokens of this request that the server has cached.
  std::int64_t cached_tokens = 0;
  bool same_zone = true;
  // Response time relative to the expected one; 1 is normal.
  double slowdown = 1;
};

// The resources that a request needs.
struct request_weight {
  std::int64_t prompt_tokens = 0;
  std::int64_t held_tokens = 0;
  // Time in which an engine reads one prompt token of this model; 0 for other
  // servers.
  std::chrono::duration<double, std::milli> time_per_token{0};
  // Time in which a server that is not an engine processes the request.
  std::chrono::duration<double, std::milli> service_time{0};
};

// Returns the expected time until the first byte of the response, increased if
// the server is full or the request does not fit into its token memory.
std::chrono::duration<double, std::milli> ExpectedWait(
    const server_candidate& candidate,
    const request_weight& weight);

// Health of a backend server, derived from the outcomes of attempts.
struct server_health {
  // Smoothed share of failed attempts.
  double failure_rate = 0;
  // Smoothed ratio of actual to expected response time.
  double slowdown = 1;
  // No requests are sent until this time; then one is sent as a probe.
  base::time_point suspended_until;
  // When the last suspension began.
  base::time_point suspended_at;
  std::chrono::milliseconds last_suspension{0};
  bool probing = false;
};

bool AllowsRequests(const server_health& health, base::time_point now);

// Whether requests may be sent at once or within some milliseconds, as after a
// response that all slots are in use.
bool AllowsRequestsSoon(const server_health& health, base::time_point now);

// Records a response and its actual and expected response time.
void RecordResponse(server_health& health,
                    std::chrono::duration<double, std::milli> response_time,
                    std::chrono::duration<double, std::milli> expected);

// Records that the server reported to be full. That is not a failure, but other
// servers are preferred for a short time.
void RecordServerFull(server_health& health, base::time_point now);

// Records a failed attempt: an error, an incomplete response, or none.
// `suspend_now` suspends the server on the first failure. Attempts that were
// `sent` before the last suspension began do not lengthen it.
void RecordFailure(server_health& health,
                   bool suspend_now,
                   base::time_point sent,
                   base::time_point now);

// Forgets failed attempts that were not the server's fault.
void ClearFailures(server_health& health);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_SERVER_COST_H_
