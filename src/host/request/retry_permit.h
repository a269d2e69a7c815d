// SPDX-License-Identifier: MIT
// Accounting of one request's attempts in the retry budget of its service.
#ifndef VALELEDGE_HOST_REQUEST_RETRY_PERMIT_H_
#define VALELEDGE_HOST_REQUEST_RETRY_PERMIT_H_

#include <string>

#include "base/duration.h"
#include "base/error.h"
#include "host/process/retry_budgets.h"

namespace valeledge::host {

class retry_permit {
 public:
  explicit retry_permit(retry_budgets& budgets) : budgets_(budgets) {}

  // Whether another attempt may be sent now; does not consume the budget.
  bool MayAcquire(const std::string& service, base::time_point now);

  // The same, without a metric: for requests that wait for a retry.
  bool CanAcquire(const std::string& service, base::time_point now);

  // Call right before each attempt is sent. Consumes a retry from the budget if
  // the attempt needs one; returns false if the budget is exhausted.
  bool Acquire(const std::string& service, base::time_point now);

  // Consumes a retry for the attempt that will follow the one in progress, so
  // that the latter can be abandoned. Returns false if the budget is exhausted.
  bool AcquireAhead(const std::string& service, base::time_point now);

  // Whether the budget denied the last attempt passed to MayAcquire() or
  // Acquire().
  bool is_exhausted() const { return is_exhausted_; }

  // Call after each failed attempt. An attempt that could not reach its server
  // does not count, so the next one needs no retry from the budget.
  void RecordFailure(const base::error& failed);

 private:
  bool NeedsRetry() const {
    return may_have_reached_server_ && !has_unused_retry_;
  }

  retry_budgets& budgets_;
  bool has_sent_ = false;
  // Whether an attempt may have reached a backend server.
  bool may_have_reached_server_ = false;
  // Whether a retry was consumed for an attempt that then reached no server.
  bool has_unused_retry_ = false;
  // Whether a retry was consumed while an attempt was in progress.
  bool has_retry_ahead_ = false;
  // Whether the unused retry is one of these.
  bool is_acquired_ahead_ = false;
  bool is_exhausted_ = false;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_REQUEST_RETRY_PERMIT_H_
