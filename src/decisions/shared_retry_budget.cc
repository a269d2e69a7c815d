// SPDX-License-Identifier: MIT
#include "decisions/shared_retry_budget.h"

#include <algorithm>

namespace valeledge::decisions {

namespace {

// Requests are counted in buckets of this length.
constexpr std::chrono::milliseconds kBucketLength{250};

// Fraction of the ratio that requests earn, and fraction of the window for
// which unused retries are kept. kEarnedFraction * (1 + kRetentionFraction) is
// at most 1, so that retries earned before a window are covered as well.
constexpr double kEarnedFraction = 0.8;
constexpr double kRetentionFraction = 0.25;

// Retries that a process may save beyond these, and that it has after a window
// without any retry.
constexpr double kSavedRetries = 1;

double EarnedPerRequest(const retry_policy& policy) {
  return kEarnedFraction * policy.ratio;
}

// Removes old requests and the retries that exceed what the remaining requests
// have earned. Grants the saved retry to a process that has run for a whole
// window without any.
void Trim(shared_retry_budget& budget,
          const retry_policy& policy,
          base::time_point now) {
  const auto kept = std::chrono::duration_cast<std::chrono::milliseconds>(
      policy.window * kRetentionFraction);
  auto& recent = budget.recent;
  while (!recent.empty() && recent.front().begin + kept <= now)
    recent.pop_front();
  double requests = 0;
  for (const auto& each : recent)
    requests += static_cast<double>(each.requests);
  const double capacity = kSavedRetries + EarnedPerRequest(policy) * requests;
  budget.tokens = std::min(budget.tokens, capacity);
  // If this process has not retried in a whole window, no earlier process of
  // the host has retried in that window either.
  if (!budget.has_retried && now - budget.started >= policy.window)
    budget.tokens = std::max(budget.tokens, kSavedRetries);
}

}  // namespace

void NoteRequest(shared_retry_budget& budget,
                 const retry_policy& policy,
                 base::time_point now) {
  auto& recent = budget.recent;
  if (recent.empty() || now >= recent.back().begin + kBucketLength)
    recent.push_back({now});
  ++recent.back().requests;
  budget.tokens += EarnedPerRequest(policy);
  Trim(budget, policy, now);
}

bool MayRetry(shared_retry_budget& budget,
              const retry_policy& policy,
              base::time_point now) {
  Trim(budget, policy, now);
  return budget.tokens >= 1;
}

bool TryAcquireRetry(shared_retry_budget& budget,
                     const retry_policy& policy,
                     base::time_point now) {
  if (!MayRetry(budget, policy, now))
    return false;
  budget.tokens -= 1;
  budget.has_retried = true;
  return true;
}

}  // namespace valeledge::decisions
