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
                             base::metrics& metrics,
                             base::time_point started)
    : settings_(settings), metrics_(metrics), started_(started) {}

decisions::retry_policy retry_budgets::Policy() const {
  return {settings_.retry_ratio, settings_.retry_window};
}

retry_budgets::service_budget& retry_budgets::Find(const std::string& service) {
  const auto [found, is_new] = services_.try_emplace(service);
  if (is_new)
    found->second.budget.started = started_;
  return found->second;
}

void retry_budgets::NoteRequest(const std::string& service,
                                base::time_point now) {
  service_budget& known = Find(service);
  ++known.requests;
  decisions::NoteRequest(known.budget, Policy(), now);
}

bool retry_budgets::TryAcquire(const std::string& service,
                               base::time_point now) {
  if (!MayRetry(service, now))
    return false;
  service_budget& known = Find(service);
  ++known.granted;
  metrics_.Counter(kCounter, "granted").Add();
  return decisions::TryAcquireRetry(known.budget, Policy(), now);
}

bool retry_budgets::MayRetry(const std::string& service, base::time_point now) {
  service_budget& known = Find(service);
  const bool may = decisions::MayRetry(known.budget, Policy(), now);
  if (!may) {
    ++known.refused;
    metrics_.Counter(kCounter, "exhausted").Add();
  }
  return may;
}

void retry_budgets::NoteFree(const std::string& service) {
  ++Find(service).free;
  metrics_.Counter(kCounter, "free").Add();
}

void retry_budgets::LogUse(std::int64_t hosts, base::time_point now) {
  if (now - logged_ < kLogInterval)
    return;
  logged_ = now;
  for (auto& [service, known] : services_) {
    const std::int64_t requests = std::exchange(known.requests, 0);
    const std::int64_t granted = std::exchange(known.granted, 0);
    const std::int64_t refused = std::exchange(known.refused, 0);
    const std::int64_t free = std::exchange(known.free, 0);
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
