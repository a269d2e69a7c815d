// SPDX-License-Identifier: MIT
#include <chrono>

#include <boost/test/unit_test.hpp>

#include "decisions/server_cost.h"

namespace {

using namespace valeledge;
using namespace std::chrono_literals;

const base::time_point kStart = base::time_point() + 1h;

BOOST_AUTO_TEST_SUITE(server_health)

// A sound server that is silent for a second fails all attempts in progress.
BOOST_AUTO_TEST_CASE(attempts_that_fail_together_suspend_a_server_once) {
  decisions::server_health health;
  for (int i = 0; i < 10; ++i) {
    decisions::RecordFailure(health, true, kStart + i * 10ms,
                             kStart + 500ms + i * 10ms);
  }
  BOOST_TEST((health.suspended_until == kStart + 1000ms));
  BOOST_TEST(!decisions::AllowsRequests(health, kStart + 999ms));
  BOOST_TEST(decisions::AllowsRequests(health, kStart + 1000ms));
}

BOOST_AUTO_TEST_CASE(a_server_that_fails_again_is_suspended_longer) {
  decisions::server_health health;
  decisions::RecordFailure(health, true, kStart, kStart + 10ms);
  decisions::RecordFailure(health, true, kStart + 600ms, kStart + 610ms);
  BOOST_TEST((health.suspended_until == kStart + 1610ms));
}

BOOST_AUTO_TEST_CASE(cleared_failures_end_a_suspension) {
  decisions::server_health health;
  decisions::RecordFailure(health, true, kStart, kStart + 10ms);
  decisions::ClearFailures(health);
  BOOST_TEST(decisions::AllowsRequests(health, kStart + 10ms));
  BOOST_TEST(health.failure_rate == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
