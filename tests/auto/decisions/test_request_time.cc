// SPDX-License-Identifier: MIT
#include "decisions/request_time.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace valeledge::decisions;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(request_times)

BOOST_AUTO_TEST_CASE(a_request_waits_until_its_response_would_be_late) {
  const request_time time{1000ms, 15s, 1000ms, 80ms};
  BOOST_TEST((MaxWait(time) == 920ms));
  BOOST_TEST((MaxWait({300ms, 15s, 1000ms, 80ms}) == 220ms));
  BOOST_TEST((MaxWait({50ms, 15s, 1000ms, 80ms}) == 0ms));
  BOOST_TEST((MaxWait({-2s, 15s, 1000ms, 80ms}) == 0ms));
}

// More work leaves less time to wait; a longer objective leaves more.
BOOST_AUTO_TEST_CASE(objective_deadline_and_work_bound_the_wait) {
  BOOST_TEST((MaxWait({1000ms, 15s, 1000ms, 500ms}) == 500ms));
  BOOST_TEST((MaxWait({8000ms, 30s, 8000ms, 500ms}) == 7500ms));
  BOOST_TEST((MaxWait({8000ms, 4000ms, 8000ms, 500ms}) == 3500ms));
  // Guards against a step between objectives that hardly differ.
  const auto shorter = MaxWait({990ms, 15s, 990ms, 80ms});
  const auto longer = MaxWait({1000ms, 15s, 1000ms, 80ms});
  BOOST_TEST((longer - shorter == 10ms));
}

BOOST_AUTO_TEST_CASE(
    a_caller_without_time_to_come_back_waits_for_a_late_response) {
  BOOST_TEST(CanRetryInTime({1000ms, 1500ms, 1000ms, 80ms}));
  BOOST_TEST(!CanRetryInTime({1000ms, 1400ms, 1000ms, 80ms}));
  BOOST_TEST((MaxWait({1000ms, 1400ms, 1000ms, 80ms}) == 1320ms));
  BOOST_TEST(!CanRetryInTime({0ms, 0ms, 100ms, 0ms}));
  BOOST_TEST((MaxHonouredDelay(3000ms) == 990ms));
  BOOST_TEST((MaxHonouredDelay(-1s) == 0ms));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
