// SPDX-License-Identifier: MIT
// Retry budgets of this host, one per service.
#ifndef VALELEDGE_HOST_PROCESS_RETRY_BUDGETS_H_
#define VALELEDGE_HOST_PROCESS_RETRY_BUDGETS_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/metrics.h"
#include "decisions/shared_retry_budget.h"
#include "host/host_settings.h"

namespace valeledge::host {

class retry_budgets {
 public:
  // `started`: the start time of this process.
  retry_budgets(const host_settings& settings,
                base::metrics& metrics,
                base::time_point started);

  // Counts a caller's request to a service.
  void RecordRequest(const std::string& service, base::time_point now);

  // Takes one retry from the budget of a service. Returns false if it is
  // exhausted.
  bool TryAcquire(const std::string& service, base::time_point now);

  // Whether the budget of a service currently allows a retry.
  bool HasRetry(const std::string& service, base::time_point now);

  // The same, and counts a retry that it does not allow.
  bool MayRetry(const std::string& service, base::time_point now);

  // Counts a retry that needs no budget, since the previous attempt never
  // reached a backend server.
  void RecordFreeAttempt(const std::string& service);

  // Logs the use of each budget since the last log line, at most once a second.
  // Must be called several times a second.
  void LogUsage(std::int64_t hosts, base::time_point now);

 private:
  struct service_budget {
    decisions::shared_retry_budget budget;
    std::int64_t requests = 0;
    std::int64_t granted = 0;
    std::int64_t refused = 0;
    std::int64_t free = 0;
  };

  decisions::retry_policy Policy() const;
  service_budget& Find(const std::string& service);

  const host_settings& settings_;
  base::metrics& metrics_;
  const base::time_point started_;
  std::map<std::string, service_budget, std::less<>> services_;
  base::time_point logged_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_RETRY_BUDGETS_H_
