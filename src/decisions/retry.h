// SPDX-License-Identifier: MIT
// Whether a failed attempt may be followed by another.
#ifndef VALELEDGE_DECISIONS_RETRY_H_
#define VALELEDGE_DECISIONS_RETRY_H_

#include <chrono>
#include <cstdint>
#include <random>

#include "base/duration.h"
#include "base/result_code.h"
#include "decisions/token_bucket.h"

namespace valeledge::decisions {

// Retries that one partner and model may still make: each request earns a
// fraction of one, so that retries stay a fraction of requests.
struct retry_budget {
  double earned_per_request = 0.1;
  double capacity = 10;
  // Full at the start: a burst may meet a replica that is being unloaded.
  double available = 10;
};

// What is known of a request when an attempt has failed.
struct failed_attempt {
  base::outcome what_ran = base::outcome::kUnknown;
  bool idempotent = true;
  std::int64_t attempts_made = 1;
  std::chrono::microseconds remaining{0};
};

enum class retry_verdict {
  // Send again under a new attempt id.
  kRetry,
  // The final answer is the attempt's own outcome.
  kAbandon,
  // Another attempt would be allowed, but the budget is spent.
  kBudgetExhausted,
};

// Attempts at one request, the first included.
inline constexpr std::int64_t kMaxAttempts = 4;

// Less time than this available: another attempt cannot end in time.
inline constexpr std::chrono::microseconds kMinRemaining =
    std::chrono::milliseconds(5);

// Counts a request that may need retries.
void EarnRetry(retry_budget& budget);

// Decides after a failure; takes from the budget when the verdict is kRetry.
// A call that may not be repeated is sent again only if it certainly did not
// run.
retry_verdict DecideRetry(const failed_attempt& failed, retry_budget& budget);

// A pause before attempt number `attempts_made` + 1: anything from none to a
// bound that doubles with each attempt (full jitter).
std::chrono::microseconds RetryBackoff(std::int64_t attempts_made,
                                       std::mt19937_64& random);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_RETRY_H_
