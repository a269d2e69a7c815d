// SPDX-License-Identifier: MIT
#include <algorithm>
#include <map>

#include <boost/test/unit_test.hpp>

#include "decisions/retry_schedule.h"

namespace {

using namespace valeledge;
using namespace valeledge::decisions;
using namespace std::chrono_literals;

// Number of requests refused at the same time, by the window of their retry.
std::map<std::int64_t, int> Returns(int refused, std::int64_t per_window) {
  retry_schedule schedule;
  const base::time_point now(100s);
  std::map<std::int64_t, int> out;
  for (int i = 0; i < refused; ++i) {
    const auto at = now + ReserveRetrySlot(schedule, now, per_window, 0);
    ++out[std::chrono::duration_cast<std::chrono::seconds>(
              at.time_since_epoch())
              .count()];
  }
  return out;
}

}  // namespace

BOOST_AUTO_TEST_CASE(no_window_gets_more_than_it_can_serve) {
  for (const auto& [window, count] : Returns(290, 10))
    BOOST_TEST(count <= 10, "window " << window << " has " << count);
}

BOOST_AUTO_TEST_CASE(no_slot_lies_beyond_the_horizon) {
  const auto returns = Returns(5000, 10);
  BOOST_TEST(returns.rbegin()->first <= 100 + 30);
  BOOST_TEST(returns.begin()->first >= 101);
}

BOOST_AUTO_TEST_CASE(a_backlog_delays_slots) {
  retry_schedule schedule;
  const base::time_point now(100s);
  BOOST_TEST(ReserveRetrySlot(schedule, now, 10, 55) >= 6s);
}

BOOST_AUTO_TEST_CASE(slots_of_passed_windows_are_released) {
  retry_schedule schedule;
  base::time_point now(100s);
  for (int second = 0; second < 200; ++second) {
    for (int i = 0; i < 5; ++i)
      BOOST_TEST(ReserveRetrySlot(schedule, now, 10, 0) <= 2s);
    now += 1s;
  }
}
