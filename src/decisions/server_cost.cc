// SPDX-License-Identifier: MIT
#include "decisions/server_cost.h"

#include <algorithm>

namespace valeledge::decisions {

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;

// One round trip to another availability zone.
constexpr milliseconds kOtherZoneRoundTrip{3};

// Each running request lengthens the steps of an engine's batch.
constexpr milliseconds kDelayPerRunning{1};

// If all slots are in use, one becomes free after this time divided by the
// number of slots.
constexpr milliseconds kTypicalResponseTime{2000};

// Weights of the latest attempt in the smoothed values.
constexpr double kFailureSmoothing = 0.2;
constexpr double kSlowdownSmoothing = 0.1;
constexpr double kMaxSlowdown = 20;

// A server is suspended above this failure rate. Healthy services that are not
// engines can fail a seventh of some calls.
constexpr double kMaxFailureRate = 0.5;

constexpr std::chrono::milliseconds kFirstSuspension{500};
constexpr std::chrono::milliseconds kMaxSuspension{4000};
constexpr std::chrono::milliseconds kFullSuspension{30};

}  // namespace

milliseconds ExpectedWait(const server_candidate& candidate,
                          const request_weight& weight) {
  const std::int64_t tokens_to_read =
      candidate.unread_tokens +
      std::max<std::int64_t>(weight.prompt_tokens - candidate.cached_tokens, 0);
  milliseconds wait =
      weight.time_per_token * static_cast<double>(tokens_to_read);
  wait += weight.time_per_token.count() > 0
              ? kDelayPerRunning * static_cast<double>(candidate.running)
              : weight.service_time *
                    static_cast<double>(candidate.running + 1) /
                    static_cast<double>(candidate.slots);
  if (!candidate.same_zone)
    wait += kOtherZoneRoundTrip;
  if (candidate.running >= candidate.slots) {
    const auto excess =
        static_cast<double>(candidate.running - candidate.slots + 1);
    wait +=
        kTypicalResponseTime * (excess / static_cast<double>(candidate.slots));
  }
  const auto capacity = static_cast<double>(candidate.token_memory);
  const auto held =
      static_cast<double>(candidate.held_tokens + weight.held_tokens);
  if (capacity > 0 && held > kMaxTokenMemoryUse * capacity)
    wait += kTypicalResponseTime * (held / capacity);
  return wait * candidate.slowdown;
}

bool AllowsRequests(const server_health& health, base::time_point now) {
  return now >= health.suspended_until && !health.probing;
}

bool AllowsRequestsSoon(const server_health& health, base::time_point now) {
  return AllowsRequests(health, now) ||
         (!health.probing && health.suspended_until - now <= kFullSuspension);
}

void RecordResponse(server_health& health,
                    milliseconds response_time,
                    milliseconds expected) {
  health.failure_rate -= kFailureSmoothing * health.failure_rate;
  health.probing = false;
  health.last_suspension = {};
  if (expected.count() <= 0)
    return;
  const double ratio = std::clamp(response_time / expected, 0.2, kMaxSlowdown);
  health.slowdown += kSlowdownSmoothing * (ratio - health.slowdown);
}

void RecordServerFull(server_health& health, base::time_point now) {
  health.probing = false;
  health.suspended_until =
      std::max(health.suspended_until, now + kFullSuspension);
}

void RecordFailure(server_health& health,
                   bool suspend_now,
                   base::time_point sent,
                   base::time_point now) {
  if (sent < health.suspended_at)
    return;
  health.failure_rate += kFailureSmoothing * (1 - health.failure_rate);
  const bool should_suspend =
      suspend_now || health.probing || health.failure_rate > kMaxFailureRate;
  health.probing = false;
  if (!should_suspend)
    return;
  const auto next = health.last_suspension.count() == 0
                        ? kFirstSuspension
                        : health.last_suspension * 2;
  health.last_suspension = std::min(next, kMaxSuspension);
  health.suspended_at = now;
  health.suspended_until = now + health.last_suspension;
}

void ClearFailures(server_health& health) {
  health.failure_rate = 0;
  health.suspended_at = {};
  health.suspended_until = {};
  health.last_suspension = {};
}

}  // namespace valeledge::decisions
