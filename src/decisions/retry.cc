// SPDX-License-Identifier: MIT
#include "decisions/retry.h"

#include <algorithm>

namespace valeledge::decisions {

namespace {

constexpr std::chrono::microseconds kFirstPause = std::chrono::milliseconds(2);
constexpr std::chrono::microseconds kLongestPause =
    std::chrono::milliseconds(100);

}  // namespace

void EarnRetry(retry_budget& budget) {
  budget.left = std::min(budget.most, budget.left + budget.earned_per_request);
}

retry_verdict DecideRetry(const failed_attempt& failed, retry_budget& budget) {
  const bool safe =
      failed.idempotent || failed.what_ran == base::outcome::kNotRun;
  if (!safe || failed.attempts_made >= kMostAttempts)
    return retry_verdict::kGiveUp;
  if (failed.remaining < kLeastRemaining)
    return retry_verdict::kGiveUp;
  if (budget.left < 1)
    return retry_verdict::kBudgetSpent;
  budget.left -= 1;
  return retry_verdict::kAgain;
}

std::chrono::microseconds RetryPause(std::int64_t attempts_made,
                                     std::mt19937_64& random) {
  const std::int64_t doublings =
      std::clamp<std::int64_t>(attempts_made - 1, 0, 10);
  const auto bound = std::min(kLongestPause, kFirstPause * (1 << doublings));
  std::uniform_int_distribution<std::int64_t> any(0, bound.count());
  return std::chrono::microseconds(any(random));
}

}  // namespace valeledge::decisions
