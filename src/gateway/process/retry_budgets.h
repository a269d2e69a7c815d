// SPDX-License-Identifier: MIT
// Retry budgets of the process, one per partner and unit.
#ifndef VALELEDGE_GATEWAY_PROCESS_RETRY_BUDGETS_H_
#define VALELEDGE_GATEWAY_PROCESS_RETRY_BUDGETS_H_

#include <map>
#include <mutex>
#include <string>

#include "decisions/retry.h"

namespace valeledge::gateway {

// Thread-safe.
class retry_budgets {
 public:
  // Counts a request, which adds to the budget.
  void RecordRequest(const std::string& partner, const std::string& unit);

  // Decides on a retry after a failed attempt; a retry is charged to the
  // budget.
  decisions::retry_verdict Decide(const std::string& partner,
                                  const std::string& unit,
                                  const decisions::failed_attempt& failed);

 private:
  std::mutex mutex_;
  std::map<std::pair<std::string, std::string>, decisions::retry_budget>
      budgets_;
};

}  // namespace valeledge::gateway

#endif  // VALELEDGE_GATEWAY_PROCESS_RETRY_BUDGETS_H_
