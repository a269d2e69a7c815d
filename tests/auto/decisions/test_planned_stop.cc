// SPDX-License-Identifier: MIT
// When a host that is being stopped takes requests, for several times until it
// is killed.
#include <chrono>

#include <boost/test/unit_test.hpp>

#include "decisions/planned_stop.h"

namespace {

using namespace valeledge::decisions;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr auto kGraces = {500ms, 1000ms, 3000ms, 4000ms, 8000ms, 30'000ms};

BOOST_AUTO_TEST_SUITE(planned_stops)

BOOST_AUTO_TEST_CASE(
    all_that_is_taken_is_answered_before_the_process_is_killed) {
  const planned_stop::time_point begin;
  for (const milliseconds grace : kGraces) {
    const planned_stop stop = PlanStop(begin, grace);
    BOOST_TEST((begin < stop.refuses_from));
    BOOST_TEST((stop.refuses_from < stop.responds_at));
    BOOST_TEST((stop.closes_at <= stop.responds_at));
    BOOST_TEST((stop.responds_at < stop.ends_at));
    BOOST_TEST((stop.ends_at < begin + grace));
  }
}

// Guards against requests that are cut at the end, and cannot be repeated.
BOOST_AUTO_TEST_CASE(what_must_end_is_taken_only_if_it_ends_before_the_host) {
  const planned_stop::time_point begin;
  for (const milliseconds grace : kGraces) {
    const planned_stop stop = PlanStop(begin, grace);
    for (auto now = begin; now < stop.ends_at; now += 50ms) {
      for (const milliseconds time : {100ms, 1000ms, 3000ms, 8000ms}) {
        const bool is_taken = TakesRequest(stop, now + time, true, now);
        BOOST_TEST(is_taken == (now + time <= stop.responds_at));
      }
    }
  }
}

// Callers still come for two seconds; most of what they send is short.
BOOST_AUTO_TEST_CASE(other_requests_are_taken_in_the_first_third) {
  const planned_stop::time_point begin;
  for (const milliseconds grace : kGraces) {
    const planned_stop stop = PlanStop(begin, grace);
    const auto late = begin + 60s;
    BOOST_TEST(TakesRequest(stop, late, false, begin));
    BOOST_TEST(!TakesRequest(stop, late, false, begin + grace / 3));
  }
  const planned_stop usual = PlanStop(begin, 8000ms);
  BOOST_TEST(TakesRequest(usual, begin + 15s, false, begin + 2600ms));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
