// SPDX-License-Identifier: MIT
#include "gateway/process/retry_budgets.h"

namespace valeledge::gateway {

void retry_budgets::RecordRequest(const std::string& partner,
                                  const std::string& unit) {
  const std::lock_guard lock(mutex_);
  decisions::EarnRetry(budgets_[{partner, unit}]);
}

decisions::retry_verdict retry_budgets::Decide(
    const std::string& partner,
    const std::string& unit,
    const decisions::failed_attempt& failed) {
  const std::lock_guard lock(mutex_);
  return decisions::DecideRetry(failed, budgets_[{partner, unit}]);
}

}  // namespace valeledge::gateway
