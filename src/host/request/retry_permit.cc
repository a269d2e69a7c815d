// SPDX-License-Identifier: MIT
#include "host/request/retry_permit.h"

namespace valeledge::host {

bool retry_permit::MayAcquire(const std::string& service,
                              base::time_point now) {
  is_exhausted_ = NeedsRetry() && !budgets_.MayRetry(service, now);
  return !is_exhausted_;
}

bool retry_permit::Acquire(const std::string& service, base::time_point now) {
  if (!NeedsRetry()) {
    if (has_sent_)
      budgets_.RecordFreeAttempt(service);
    has_sent_ = true;
    return true;
  }
  is_acquired_ = budgets_.TryAcquire(service, now);
  is_exhausted_ = !is_acquired_;
  return is_acquired_;
}

void retry_permit::NoteFailed(const base::error& failed) {
  if (failed.code == base::result_code::kBackendUnreachable)
    return;
  has_reached_ = true;
  is_acquired_ = false;
}

}  // namespace valeledge::host
