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

void retry_budgets::RecordRequest(const std::string& service,
                                  base::time_point now) {
  service_budget& usage = Find(service);
  ++usage.requests;
  decisions::NoteRequest(usage.budget, Policy(), now);
}

bool retry_budgets::TryAcquire(const std::string& service,
                               base::time_point now) {
  if (!MayRetry(service, now))
    return false;
  service_budget& usage = Find(service);
  ++usage.granted;
  metrics_.Counter(kCounter, "granted").Add();
  return decisions::TryAcquireRetry(usage.budget, Policy(), now);
}

bool retry_budgets::HasRetry(const std::string& service, base::time_point now) {
  return decisions::MayRetry(Find(service).budget, Policy(), now);
}

bool retry_budgets::MayRetry(const std::string& service, base::time_point now) {
  const bool is_allowed = HasRetry(service, now);
  if (!is_allowed) {
    ++Find(service).refused;
    metrics_.Counter(kCounter, "exhausted").Add();
  }
  return is_allowed;
}

void retry_budgets::RecordFreeAttempt(const std::string& service) {
  ++Find(service).free;
  metrics_.Counter(kCounter, "free").Add();
}

void retry_budgets::LogUsage(std::int64_t hosts, base::time_point now) {
  if (now - logged_ < kLogInterval)
    return;
  logged_ = now;
  for (auto& [service, usage] : services_) {
    const std::int64_t requests = std::exchange(usage.requests, 0);
    const std::int64_t granted = std::exchange(usage.granted, 0);
    const std::int64_t refused = std::exchange(usage.refused, 0);
    const std::int64_t free = std::exchange(usage.free, 0);
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
