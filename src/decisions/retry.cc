// SPDX-License-Identifier: MIT
#include "decisions/retry.h"

#include <algorithm>

namespace valeledge::decisions {

namespace {

constexpr std::chrono::microseconds kInitialBackoff =
    std::chrono::milliseconds(2);
constexpr std::chrono::microseconds kMaxBackoff =
    std::chrono::milliseconds(100);

}  // namespace

void EarnRetry(retry_budget& budget) {
  budget.available =
      std::min(budget.capacity, budget.available + budget.earned_per_request);
}

retry_verdict DecideRetry(const failed_attempt& failed, retry_budget& budget) {
  const bool may_repeat =
      failed.idempotent || failed.what_ran == base::outcome::kNotRun;
  if (!may_repeat || failed.attempts_made >= kAttemptLimit)
    return retry_verdict::kAbandon;
  if (failed.remaining < kMinRemaining)
    return retry_verdict::kAbandon;
  if (budget.available < 1)
    return retry_verdict::kBudgetExhausted;
  budget.available -= 1;
  return retry_verdict::kRetry;
}

std::chrono::microseconds RetryBackoff(std::int64_t attempts_made,
                                       std::mt19937_64& random) {
  const std::int64_t doublings =
      std::clamp<std::int64_t>(attempts_made - 1, 0, 10);
  const auto bound = std::min(kMaxBackoff, kInitialBackoff * (1 << doublings));
  std::uniform_int_distribution<std::int64_t> any(0, bound.count());
  return std::chrono::microseconds(any(random));
}

}  // namespace valeledge::decisions
