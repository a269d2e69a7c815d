// SPDX-License-Identifier: MIT
#include "host/request/retry_permit.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace valeledge;
using namespace std::chrono_literals;
using base::result_code;

const base::time_point kNow{100s};

struct fixture {
  fixture() {
    for (int i = 0; i < 25; ++i)
      budgets.RecordRequest("s", kNow);
  }

  std::int64_t Count(std::string_view what) {
    return metrics.Counter("valeledge_retry_budget_total", what).value;
  }

  // Whether another attempt may be sent after one that failed.
  bool AcquireAfter(const base::error& failure) {
    permit.RecordFailure(failure);
    return permit.Acquire("s", kNow);
  }

  const base::error refused{base::MakeError(result_code::kBackendRefused,
                                            base::outcome::kNotRun,
                                            "")};
  const base::error unreachable{
      base::MakeError(result_code::kBackendUnreachable,
                      base::outcome::kNotRun,
                      "")};
  host::host_settings settings;
  base::metrics metrics;
  // Four retries are earned.
  host::retry_budgets budgets{settings, metrics, kNow};
  host::retry_permit permit{budgets};
};

BOOST_FIXTURE_TEST_SUITE(retries_of_one_request, fixture)

BOOST_AUTO_TEST_CASE(the_first_attempt_needs_no_budget) {
  BOOST_TEST(permit.Acquire("s", kNow));
  BOOST_TEST(Count("granted") == 0);
  BOOST_TEST(Count("free") == 0);
}

BOOST_AUTO_TEST_CASE(an_attempt_after_an_unreachable_server_is_free) {
  BOOST_TEST(permit.Acquire("s", kNow));
  BOOST_TEST(AcquireAfter(unreachable));
  BOOST_TEST(Count("granted") == 0);
  BOOST_TEST(Count("free") == 1);
}

BOOST_AUTO_TEST_CASE(a_retry_is_charged_once_for_each_server_reached) {
  BOOST_TEST(permit.Acquire("s", kNow));
  BOOST_TEST(AcquireAfter(refused));
  BOOST_TEST(AcquireAfter(unreachable));
  BOOST_TEST(Count("granted") == 1);
  BOOST_TEST(AcquireAfter(refused));
  BOOST_TEST(Count("granted") == 2);
}

BOOST_AUTO_TEST_CASE(checking_consumes_nothing) {
  BOOST_TEST(permit.Acquire("s", kNow));
  permit.RecordFailure(refused);
  BOOST_TEST(permit.MayAcquire("s", kNow));
  BOOST_TEST(Count("granted") == 0);
}

BOOST_AUTO_TEST_CASE(an_exhausted_budget_allows_none) {
  for (int i = 0; i < 4; ++i)
    BOOST_TEST(budgets.TryAcquire("s", kNow));
  BOOST_TEST(permit.Acquire("s", kNow));
  permit.RecordFailure(refused);
  BOOST_TEST(!permit.MayAcquire("s", kNow));
  BOOST_TEST(permit.is_exhausted());
  BOOST_TEST(!permit.Acquire("s", kNow));
  BOOST_TEST(permit.is_exhausted());
  BOOST_TEST(Count("exhausted") == 2);
}

// A retry that was charged while an attempt was in progress is used by the next
// attempt, and only by that one.
BOOST_AUTO_TEST_CASE(a_retry_acquired_ahead_is_charged_once) {
  BOOST_TEST(permit.Acquire("s", kNow));
  BOOST_TEST(permit.AcquireAhead("s", kNow));
  BOOST_TEST(permit.AcquireAhead("s", kNow));
  BOOST_TEST(Count("granted") == 1);
  permit.RecordFailure(refused);
  BOOST_TEST(permit.MayAcquire("s", kNow));
  BOOST_TEST(permit.Acquire("s", kNow));
  BOOST_TEST(Count("granted") == 1);
  BOOST_TEST(Count("free") == 0);
  BOOST_TEST(AcquireAfter(refused));
  BOOST_TEST(Count("granted") == 2);
}

// The attempt in progress may itself use a retry.
BOOST_AUTO_TEST_CASE(a_retry_in_use_is_not_used_again) {
  BOOST_TEST(permit.Acquire("s", kNow));
  BOOST_TEST(AcquireAfter(refused));
  BOOST_TEST(permit.AcquireAhead("s", kNow));
  BOOST_TEST(Count("granted") == 2);
}

BOOST_AUTO_TEST_CASE(an_exhausted_budget_allows_no_retry_ahead) {
  for (int i = 0; i < 4; ++i)
    BOOST_TEST(budgets.TryAcquire("s", kNow));
  BOOST_TEST(permit.Acquire("s", kNow));
  BOOST_TEST(!permit.AcquireAhead("s", kNow));
  BOOST_TEST(!AcquireAfter(refused));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
