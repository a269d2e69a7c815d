// SPDX-License-Identifier: MIT
#include "decisions/attempt_timeout.h"

#include <algorithm>

namespace valeledge::decisions {

namespace {

using std::chrono::milliseconds;

// Responses of an engine whose spread is unknown start within three times the
// expected time; below a quarter of a second steps of the batch and the network
// outweigh what was expected.
constexpr int kSpreadFactor = 3;
constexpr milliseconds kMinSpreadLimit{250};

// Shortly before the deadline an attempt is abandoned within the spread of its
// engine, but only after this many times the expected time.
constexpr int kLateFactor = 2;

// If neither engine can be on time, the other one must be expected to be faster
// by this factor, since the request loses its place in the queue.
constexpr int kLateGain = 2;

// The longest wait until a decision is made again, so that a change of the
// other engine's load is considered.
constexpr milliseconds kMaxRecheckInterval{1000};

attempt_decision Keep(attempt_reason reason, milliseconds recheck_in) {
  return {attempt_verdict::kKeep, reason,
          std::clamp(recheck_in, milliseconds(1), kMaxRecheckInterval)};
}

// Returns the attempt without values that cannot be valid.
attempt_wait Checked(attempt_wait wait) {
  constexpr milliseconds kNone{0};
  constexpr milliseconds kMax = std::chrono::hours(1);
  wait.waited = std::clamp(wait.waited, kNone, kMax);
  wait.expected = std::clamp(wait.expected, kNone, kMax);
  wait.spread_limit = std::clamp(wait.spread_limit, wait.expected, kMax);
  if (wait.other_expected)
    wait.other_expected = std::clamp(*wait.other_expected, kNone, kMax);
  return wait;
}

// Whether the other engine is expected to respond earlier. An attempt that has
// waited for longer than expected is assumed to need as much longer again.
bool IsOtherEarlier(const attempt_wait& wait) {
  const milliseconds remaining = wait.waited - wait.expected;
  const bool on_time = *wait.other_expected <= wait.objective_left;
  return *wait.other_expected * (on_time ? 1 : kLateGain) <= remaining;
}

// Time from sending after which the attempt may be abandoned because of its
// deadline.
milliseconds LateAfter(const attempt_wait& wait) {
  return std::min(wait.spread_limit, wait.expected * kLateFactor);
}

// Whether another attempt, begun now, is expected to respond before the
// deadline, and one begun later would not surely do so. If a limited engine
// refused it, the request would end with 502, although the first attempt might
// have responded.
bool IsLastChance(const attempt_wait& wait) {
  return wait.other_expected && !wait.other_is_limited &&
         wait.waited >= LateAfter(wait) &&
         wait.deadline_left <= FixedSpreadLimit(*wait.other_expected) &&
         *wait.other_expected <= wait.deadline_left &&
         *wait.other_expected <= wait.waited - wait.expected;
}

attempt_decision KeepWithinSpread(const attempt_wait& wait) {
  milliseconds next = wait.spread_limit - wait.waited;
  if (wait.other_expected) {
    const milliseconds last_chance =
        std::max({wait.deadline_left - FixedSpreadLimit(*wait.other_expected),
                  LateAfter(wait) - wait.waited, kAttemptRecheckInterval});
    next = std::min(next, last_chance);
  }
  return Keep(attempt_reason::kWithinSpread, next);
}

}  // namespace

milliseconds FixedSpreadLimit(milliseconds expected) {
  return std::max(expected * kSpreadFactor, kMinSpreadLimit);
}

attempt_decision DecideAttempt(const attempt_wait& stated) {
  const attempt_wait wait = Checked(stated);
  if (wait.deadline_left.count() <= 0)
    return {attempt_verdict::kGiveUp, attempt_reason::kDeadlinePassed, {}};
  if (IsLastChance(wait))
    return {attempt_verdict::kAskForRetry, attempt_reason::kLastChance, {}};
  if (wait.waited < wait.spread_limit)
    return KeepWithinSpread(wait);
  if (!wait.other_expected)
    return Keep(attempt_reason::kNoOtherEngine, kAttemptRecheckInterval);
  if (!wait.other_has_capacity)
    return Keep(attempt_reason::kNoCapacity, kAttemptRecheckInterval);
  if (!IsOtherEarlier(wait))
    return Keep(attempt_reason::kNotEarlier, kAttemptRecheckInterval);
  return {attempt_verdict::kAskForRetry, attempt_reason::kSpreadExceeded, {}};
}

std::string_view NameOf(attempt_reason reason) {
  switch (reason) {
    case attempt_reason::kWithinSpread:
      return "within_spread";
    case attempt_reason::kNoOtherEngine:
      return "no_other_engine";
    case attempt_reason::kNoCapacity:
      return "no_capacity";
    case attempt_reason::kNotEarlier:
      return "not_earlier";
    case attempt_reason::kSpreadExceeded:
      return "spread_exceeded";
    case attempt_reason::kLastChance:
      return "last_chance";
    case attempt_reason::kDeadlinePassed:
      break;
  }
  return "deadline_passed";
}

}  // namespace valeledge::decisions
