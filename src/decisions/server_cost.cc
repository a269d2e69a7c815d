// SPDX-License-Identifier: MIT
#include "decisions/server_cost.h"

#include <algorithm>

namespace valeledge::decisions {

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;

// Going to another availability zone costs about one round trip.
constexpr milliseconds kOtherZone{3};

// Each running request lengthens the steps of an engine's batch a little.
constexpr milliseconds kPerRunning{1};

// From this part of an engine's token memory on, requests may be preempted.
constexpr double kTokenMemoryMark = 0.85;

// An answer takes about so long: where all slots are taken, one of them is free
// after its share of this.
constexpr milliseconds kFull{2000};

// Weight of the newest attempt in the smoothed shares.
constexpr double kFailureSmoothing = 0.2;
constexpr double kSlownessSmoothing = 0.1;
constexpr double kMostSlowness = 20;

// A server is suspended above this share of failures: plain services fail a
// seventh of some calls in good health.
constexpr double kFailureMark = 0.5;

constexpr std::chrono::milliseconds kFirstSuspension{500};
constexpr std::chrono::milliseconds kLongestSuspension{4000};
constexpr std::chrono::milliseconds kFullSuspension{30};

}  // namespace

milliseconds ExpectedWait(const server_offer& offer,
                          const request_weight& weight) {
  const std::int64_t unread =
      offer.unread_tokens +
      std::max<std::int64_t>(weight.prompt_tokens - offer.kept_tokens, 0);
  milliseconds wait = weight.per_token * static_cast<double>(unread);
  wait += weight.per_token.count() > 0
              ? kPerRunning * static_cast<double>(offer.running)
              : weight.service_time * static_cast<double>(offer.running + 1) /
                    static_cast<double>(offer.slots);
  if (!offer.same_zone)
    wait += kOtherZone;
  if (offer.running >= offer.slots) {
    const auto ahead = static_cast<double>(offer.running - offer.slots + 1);
    wait += kFull * (ahead / static_cast<double>(offer.slots));
  }
  const auto memory = static_cast<double>(offer.token_memory);
  const auto held = static_cast<double>(offer.held_tokens + weight.held_tokens);
  if (memory > 0 && held > kTokenMemoryMark * memory)
    wait += kFull * (held / memory);
  return wait * offer.slowness;
}

bool MayUse(const server_trust& trust, base::time_point now) {
  return now >= trust.suspended_until && !trust.on_trial;
}

void NoteAnswer(server_trust& trust, milliseconds took, milliseconds expected) {
  trust.failures -= kFailureSmoothing * trust.failures;
  trust.on_trial = false;
  trust.last_suspension = {};
  if (expected.count() <= 0)
    return;
  const double ratio = std::clamp(took / expected, 0.2, kMostSlowness);
  trust.slowness += kSlownessSmoothing * (ratio - trust.slowness);
}

void NoteFull(server_trust& trust, base::time_point now) {
  trust.on_trial = false;
  trust.suspended_until =
      std::max(trust.suspended_until, now + kFullSuspension);
}

void NoteFailure(server_trust& trust, bool certain, base::time_point now) {
  trust.failures += kFailureSmoothing * (1 - trust.failures);
  const bool suspend =
      certain || trust.on_trial || trust.failures > kFailureMark;
  trust.on_trial = false;
  if (!suspend)
    return;
  const auto next = trust.last_suspension.count() == 0
                        ? kFirstSuspension
                        : trust.last_suspension * 2;
  trust.last_suspension = std::min(next, kLongestSuspension);
  trust.suspended_until = now + trust.last_suspension;
}

}  // namespace valeledge::decisions
