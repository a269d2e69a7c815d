// SPDX-License-Identifier: MIT
// What the attempts of one request take from the retry budget of its service.
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

  // Whether another attempt may be sent now; takes nothing.
  bool MayAcquire(const std::string& service, base::time_point now);

  // Call right before each attempt is sent. Takes a retry from the budget if
  // the attempt needs one; false if the budget is exhausted.
  bool Acquire(const std::string& service, base::time_point now);

  // Whether the budget did not allow the attempt that was last asked for.
  bool is_exhausted() const { return is_exhausted_; }

  // An attempt has failed so.
  void RecordFailure(const base::error& failed);

 private:
  bool NeedsRetry() const {
    return may_have_reached_server_ && !has_unused_retry_;
  }

  retry_budgets& budgets_;
  bool has_sent_ = false;
  // Whether an attempt may have reached a backend server.
  bool may_have_reached_server_ = false;
  // Whether a retry was taken for an attempt that then reached none.
  bool has_unused_retry_ = false;
  bool is_exhausted_ = false;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_REQUEST_RETRY_PERMIT_H_
