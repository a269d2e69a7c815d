// SPDX-License-Identifier: MIT
// Decides how long an attempt at a model engine waits for the first event of
// its response before the request is sent to another engine. Handles bursts, in
// which requests queue at engines for longer than a fixed time-out, and engines
// that hang.
#ifndef VALELEDGE_DECISIONS_ATTEMPT_TIMEOUT_H_
#define VALELEDGE_DECISIONS_ATTEMPT_TIMEOUT_H_

#include <chrono>
#include <optional>
#include <string_view>

namespace valeledge::decisions {

// An attempt whose response has not started yet.
struct attempt_wait {
  // Time since the request was sent.
  std::chrono::milliseconds waited{0};
  // Expected time from sending to the first event, as known when it was sent.
  std::chrono::milliseconds expected{0};
  // Time by which 99 in 100 responses of the engine have started.
  std::chrono::milliseconds spread_limit{0};
  // Time left to the objective, negative once it has passed, and to the
  // deadline.
  std::chrono::milliseconds objective_left{0};
  std::chrono::milliseconds deadline_left{0};
  // Expected time to the first event at the best other engine; nothing if no
  // other engine may run the request now.
  std::optional<std::chrono::milliseconds> other_expected;
  // Whether that engine can run the request immediately.
  bool other_has_capacity = false;
  // Whether that engine advertises a rate limit, which may refuse the request.
  bool other_is_limited = false;
};

enum class attempt_verdict {
  kKeep,
  // Abandon the attempt if the retry budget grants a retry.
  kAskForRetry,
  // The deadline has passed: no response can be in time.
  kGiveUp,
};

enum class attempt_reason {
  kWithinSpread,
  kNoOtherEngine,
  kNoCapacity,
  kNotEarlier,
  kSpreadExceeded,
  kLastChance,
  kDeadlinePassed,
};

struct attempt_decision {
  attempt_verdict verdict = attempt_verdict::kKeep;
  attempt_reason reason = attempt_reason::kWithinSpread;
  // Time until the decision has to be made again.
  std::chrono::milliseconds recheck_in{0};
};

// Interval at which the decision is repeated for an attempt that has exceeded
// the spread and is kept. When another engine becomes free, at most this much
// time is lost.
inline constexpr std::chrono::milliseconds kAttemptRecheckInterval{50};

// Decides about an attempt that waits for its first event. It is
// abandoned if it has exceeded the spread of its engine and another one is
// expected to respond earlier, or if only as much time is left as another
// attempt needs at an engine without a rate limit.
attempt_decision DecideAttempt(const attempt_wait& wait);

// Returns the time by which nearly all responses have started if the spread of
// the engine is not known.
std::chrono::milliseconds FixedSpreadLimit(std::chrono::milliseconds expected);

// Returns a name for log lines and metrics.
std::string_view NameOf(attempt_reason reason);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_ATTEMPT_TIMEOUT_H_
