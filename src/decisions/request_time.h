// SPDX-License-Identifier: MIT
// How long a request can wait, from the time that its caller has and the work
// that is left. All waits of requests follow from these; whether a request is
// the first one of its caller does not matter.
#ifndef VALELEDGE_DECISIONS_REQUEST_TIME_H_
#define VALELEDGE_DECISIONS_REQUEST_TIME_H_

#include <chrono>

namespace valeledge::decisions {

// Callers honour a Retry-After delay of up to this share of the time that is
// left until their deadline.
inline constexpr double kHonouredDelayShare = 0.33;

struct request_time {
  // Time left until the response should start; negative once it is late.
  std::chrono::milliseconds until_objective{0};
  // Time left until the caller gives up.
  std::chrono::milliseconds until_deadline{0};
  // Time from its arrival within which the response to such a request should
  // start.
  std::chrono::milliseconds objective{0};
  // Expected time from the send until the response starts.
  std::chrono::duration<double, std::milli> work{0};
};

// Longest Retry-After delay that a caller with this time left honours.
std::chrono::milliseconds MaxHonouredDelay(std::chrono::milliseconds left);

// Whether the objective fits into the time that a refused caller has left after
// the longest delay. If not, a late response is better than a refusal.
bool CanRetryInTime(const request_time& time);

// How long the request may wait before it is sent, or else refused: as long as
// its response can start on time, or by the deadline if its caller cannot come
// back.
std::chrono::milliseconds MaxWait(const request_time& time);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_REQUEST_TIME_H_
