// SPDX-License-Identifier: MIT
#include <boost/test/unit_test.hpp>

#include "decisions/retry.h"

namespace {

using namespace valeledge::decisions;
using namespace std::chrono_literals;
using valeledge::base::outcome;

}  // namespace

BOOST_AUTO_TEST_CASE(non_idempotent_calls_are_retried_only_if_not_run) {
  retry_budget budget;
  BOOST_TEST((DecideRetry({outcome::kUnknown, false, 1, 1s}, budget) ==
              retry_verdict::kAbandon));
  BOOST_TEST((DecideRetry({outcome::kNotRun, false, 1, 1s}, budget) ==
              retry_verdict::kRetry));
  BOOST_TEST((DecideRetry({outcome::kUnknown, true, 1, 1s}, budget) ==
              retry_verdict::kRetry));
}

BOOST_AUTO_TEST_CASE(without_remaining_time_or_attempts_a_request_ends) {
  retry_budget budget;
  BOOST_TEST((DecideRetry({outcome::kNotRun, true, kAttemptLimit, 1s},
                          budget) == retry_verdict::kAbandon));
  BOOST_TEST((DecideRetry({outcome::kNotRun, true, 1, 1ms}, budget) ==
              retry_verdict::kAbandon));
}

BOOST_AUTO_TEST_CASE(retries_stay_a_tenth_of_the_requests) {
  retry_budget budget;
  int retries = 0;
  for (int i = 0; i < 10'000; ++i) {
    EarnRetry(budget);
    // Every attempt fails, and the request is retried as often as allowed.
    for (int attempt = 1; attempt < kAttemptLimit; ++attempt) {
      const auto verdict =
          DecideRetry({outcome::kNotRun, true, attempt, 1s}, budget);
      if (verdict != retry_verdict::kRetry)
        break;
      ++retries;
    }
  }
  BOOST_TEST(retries <= 1'010);
  BOOST_TEST(retries >= 990);
}

BOOST_AUTO_TEST_CASE(backoff_is_spread_and_bounded) {
  std::mt19937_64 random(1);
  std::chrono::microseconds max_backoff{0};
  for (int i = 0; i < 1000; ++i)
    max_backoff = std::max(max_backoff, RetryBackoff(3, random));
  BOOST_TEST(max_backoff <= 8ms);
  BOOST_TEST(max_backoff > 6ms);
  BOOST_TEST(RetryBackoff(1000, random) <= 100ms);
}
