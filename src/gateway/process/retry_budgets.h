// SPDX-License-Identifier: MIT
// Retry budgets of the process, one for each partner and model.
#ifndef VALELEDGE_GATEWAY_PROCESS_RETRY_BUDGETS_H_
#define VALELEDGE_GATEWAY_PROCESS_RETRY_BUDGETS_H_

#include <map>
#include <mutex>
#include <string>

#include "decisions/retry.h"

namespace valeledge::gateway {

// Safe from any thread.
class retry_budgets {
 public:
  // Counts a request.
  void RecordRequest(const std::string& partner, const std::string& unit);

  // Decides after a failed attempt and takes from the budget.
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
