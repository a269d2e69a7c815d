// SPDX-License-Identifier: MIT
#include "decisions/server_notices.h"

#include <algorithm>

namespace valeledge::decisions {

namespace {

// Entries are written every few seconds and read within another second.
constexpr std::chrono::seconds kReplacedLifetime{5};

// A trial whose response takes longer does not hold up other requests.
constexpr std::chrono::milliseconds kMaxTrial{500};

}  // namespace

notice_changes Observe(server_notices& known, const response_notice& seen) {
  notice_changes changes;
  if (seen.is_leaving && !known.leaving_since) {
    known.leaving_since = seen.received;
    changes.started_leaving = true;
  }
  if (!seen.backoff || seen.backoff->count() <= 0)
    return changes;
  changes.started_backoff = !IsBackingOff(known, seen.received);
  known.backoff_until =
      std::max(known.backoff_until, seen.received + *seen.backoff);
  known.trial_due = true;
  return changes;
}

void RecordReplaced(server_notices& known, base::time_point now) {
  known.replaced_at = now;
}

void ObserveEntry(server_notices& known, base::time_point now) {
  if (known.replaced_at && now - *known.replaced_at >= kReplacedLifetime)
    known.replaced_at.reset();
}

bool HasLeft(const server_notices& known) {
  return known.leaving_since || known.replaced_at;
}

bool IsBackingOff(const server_notices& known, base::time_point now) {
  return now < known.backoff_until;
}

bool IsPaused(const server_notices& known, base::time_point now) {
  return now < PausedUntil(known);
}

base::time_point PausedUntil(const server_notices& known) {
  return std::max(known.backoff_until, known.trial_until);
}

bool BeginTrial(server_notices& known, base::time_point now) {
  if (!known.trial_due)
    return false;
  known.trial_due = false;
  known.trial_until = now + kMaxTrial;
  return true;
}

void EndTrial(server_notices& known) {
  known.trial_until = {};
}

}  // namespace valeledge::decisions
