// SPDX-License-Identifier: MIT
#include "host/request/retry_permit.h"

#include <utility>

#include "host/request/send_check.h"

namespace valeledge::host {

bool retry_permit::MayAcquire(const std::string& service,
                              base::time_point now) {
  is_exhausted_ = NeedsRetry() && !budgets_.MayRetry(service, now);
  return !is_exhausted_;
}

bool retry_permit::CanAcquire(const std::string& service,
                              base::time_point now) {
  is_exhausted_ = NeedsRetry() && !budgets_.HasRetry(service, now);
  return !is_exhausted_;
}

bool retry_permit::Acquire(const std::string& service, base::time_point now) {
  if (!NeedsRetry()) {
    // A retry that was acquired ahead has been counted.
    const bool is_free = has_sent_ && !std::exchange(is_acquired_ahead_, false);
    if (is_free)
      budgets_.RecordFreeAttempt(service);
    has_sent_ = true;
    return true;
  }
  has_unused_retry_ = budgets_.TryAcquire(service, now);
  is_exhausted_ = !has_unused_retry_;
  return has_unused_retry_;
}

bool retry_permit::AcquireAhead(const std::string& service,
                                base::time_point now) {
  if (!has_retry_ahead_)
    has_retry_ahead_ = budgets_.TryAcquire(service, now);
  return has_retry_ahead_;
}

void retry_permit::RecordFailure(const base::error& failed) {
  const bool reached_no_server =
      failed.code == base::result_code::kBackendUnreachable ||
      WasWithheld(failed);
  if (reached_no_server)
    return;
  may_have_reached_server_ = true;
  is_acquired_ahead_ = std::exchange(has_retry_ahead_, false);
  has_unused_retry_ = is_acquired_ahead_;
}

}  // namespace valeledge::host
