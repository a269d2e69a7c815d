// SPDX-License-Identifier: MIT
// Decides whether a request is sent to an engine now, waits, or is refused
// because its response would start too late. Handles bursts and increases of
// demand for a model beyond the rate at which its replicas read prompts.
#ifndef VALELEDGE_DECISIONS_ENGINE_ADMISSION_H_
#define VALELEDGE_DECISIONS_ENGINE_ADMISSION_H_

#include <chrono>

namespace valeledge::decisions {

// Interval at which the decision is made again for a waiting request.
inline constexpr std::chrono::milliseconds kAdmissionRecheckInterval{15};

// The best engine for a request, and the request's time limits.
struct engine_candidate {
  // Time since the request arrived, and the time limit from its arrival to the
  // start of the response.
  std::chrono::milliseconds waited{0};
  std::chrono::milliseconds objective{0};
  // Expected time from now until the response starts.
  std::chrono::duration<double, std::milli> response_in{0};
  // Time the engine needs to read the prompts that are ahead of this one.
  std::chrono::duration<double, std::milli> prompt_backlog{0};
  // Maximum pause between two events that streams of such requests accept.
  std::chrono::milliseconds max_event_gap{0};
  // Time after which the decision for a waiting request is made again.
  std::chrono::milliseconds recheck_interval{0};
  // Whether the request may be refused: it has not run, and its caller can come
  // back in time.
  bool refusable = true;
  // Time from its arrival for which it waits for a better moment although its
  // response is late, if it may not be refused.
  std::chrono::milliseconds patience{0};
};

// Returns the time from the request's arrival until which it waits for a better
// moment: a late response is of use only if the request may not be refused.
std::chrono::milliseconds ResponseLimit(const engine_candidate& engine);

enum class admission_decision { kSend, kWait, kRefuse };

admission_decision DecideAdmission(const engine_candidate& engine);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_ENGINE_ADMISSION_H_
