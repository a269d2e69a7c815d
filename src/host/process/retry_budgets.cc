// SPDX-License-Identifier: MIT
#include "host/process/retry_budgets.h"

#include <chrono>
#include <string_view>
#include <utility>

#include "base/logging.h"

namespace valeledge::host {

namespace {

constexpr std::string_view kCategory = "retries";
constexpr std::string_view kCounter = "valeledge_retry_budget_total";
constexpr std::chrono::seconds kLogInterval{1};

}  // namespace

retry_budgets::retry_budgets(const host_settings& settings,
                             base::metrics& metrics)
    : settings_(settings), metrics_(metrics) {}

void retry_budgets::NoteRequest(const std::string& service,
                                base::time_point now) {
  service_budget& budget = services_[service];
  ++budget.requests;
  decisions::NoteRequest(budget.window, now);
}

bool retry_budgets::TryAcquire(const std::string& service,
                               std::int64_t hosts,
                               base::time_point now) {
  decisions::retry_limits limits;
  limits.ratio = settings_.retry_ratio;
  limits.slack = static_cast<double>(settings_.retry_slack);
  limits.window = settings_.retry_window;
  limits.hosts = hosts;
  service_budget& budget = services_[service];
  const bool granted = decisions::TakeRepeat(budget.window, limits, now);
  ++(granted ? budget.granted : budget.refused);
  metrics_.Counter(kCounter, granted ? "granted" : "exhausted").Add();
  return granted;
}

void retry_budgets::NoteFree(const std::string& service) {
  ++services_[service].free;
  metrics_.Counter(kCounter, "free").Add();
}

void retry_budgets::LogUse(std::int64_t hosts, base::time_point now) {
  if (now - logged_ < kLogInterval)
    return;
  logged_ = now;
  for (auto& [service, budget] : services_) {
    const std::int64_t requests = std::exchange(budget.requests, 0);
    const std::int64_t granted = std::exchange(budget.granted, 0);
    const std::int64_t refused = std::exchange(budget.refused, 0);
    const std::int64_t free = std::exchange(budget.free, 0);
    if (granted + refused + free == 0)
      continue;
    base::Log(kCategory, base::log_event::kRetryBudgetUsed,
              {{"service", service},
               {"requests", requests},
               {"granted", granted},
               {"exhausted", refused},
               {"free", free},
               {"hosts", hosts}});
  }
}

}  // namespace valeledge::host
