// SPDX-License-Identifier: MIT
#include "decisions/stream_patience.h"

#include <chrono>

#include <boost/test/unit_test.hpp>

namespace {

using namespace valeledge::decisions;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(stream_patience)

BOOST_AUTO_TEST_CASE(callers_wait_for_the_longest_of_three_times) {
  BOOST_TEST((CallerPatience(300ms, 0ms) == 2000ms));
  BOOST_TEST((CallerPatience(1000ms, 300ms) == 4000ms));
  BOOST_TEST((CallerPatience(300ms, 400ms) == 3200ms));
  BOOST_TEST((CallerPatience(8000ms, 300ms) == 32s));
}

BOOST_AUTO_TEST_CASE(a_part_of_the_time_is_left_for_the_first_event) {
  BOOST_TEST((MaxResumeWait(4000ms) == 3200ms));
  BOOST_TEST((MaxResumeWait(0ms) == 0ms));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
