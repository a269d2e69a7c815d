// SPDX-License-Identifier: MIT
// Decides whether a failed attempt is retried.
#ifndef VALELEDGE_DECISIONS_RETRY_H_
#define VALELEDGE_DECISIONS_RETRY_H_

#include <chrono>
#include <cstdint>
#include <random>

#include "base/duration.h"
#include "base/result_code.h"
#include "decisions/token_bucket.h"

namespace valeledge::decisions {

// Retry budget of one partner and model. Each request adds a fraction of a
// retry, so that retries stay a fraction of requests.
struct retry_budget {
  double earned_per_request = 0.1;
  double capacity = 10;
  // Full at the start, since an initial burst may reach a replica that is being
  // unloaded.
  double available = 10;
};

// State of a request after a failed attempt.
struct failed_attempt {
  base::outcome what_ran = base::outcome::kUnknown;
  bool idempotent = true;
  std::int64_t attempts_made = 1;
  std::chrono::microseconds remaining{0};
};

enum class retry_verdict {
  // Send the request again with a new attempt id.
  kRetry,
  // Return the failed attempt's own outcome to the caller.
  kAbandon,
  // Another attempt would be allowed, but the budget is exhausted.
  kBudgetExhausted,
};

// Maximum number of attempts for one request, including the first.
inline constexpr std::int64_t kAttemptLimit = 4;

// Minimum remaining time for another attempt, which could not finish in less.
inline constexpr std::chrono::microseconds kMinRemaining =
    std::chrono::milliseconds(5);

// Credits the budget with what one request earns.
void EarnRetry(retry_budget& budget);

// Decides about a retry after a failed attempt; takes one retry from the budget
// if the verdict is kRetry. A call that is not idempotent is retried only if it
// is known not to have run.
retry_verdict DecideRetry(const failed_attempt& failed, retry_budget& budget);

// Backoff before attempt number `attempts_made` + 1, uniformly distributed
// between zero and a bound that doubles with each attempt (full jitter).
std::chrono::microseconds RetryBackoff(std::int64_t attempts_made,
                                       std::mt19937_64& random);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_RETRY_H_
