// SPDX-License-Identifier: MIT
#include "decisions/initial_read.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace valeledge::decisions;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(first_readings)

BOOST_AUTO_TEST_CASE(the_chosen_and_the_lonely_read_once_others_may_be_known) {
  BOOST_TEST(!ShouldReadFirst({100ms, true, true, 0}));
  BOOST_TEST(!ShouldReadFirst({100ms, true, false, 0}));
  BOOST_TEST(ShouldReadFirst({400ms, true, true, 0}));
  BOOST_TEST(ShouldReadFirst({400ms, false, false, 0}));
  BOOST_TEST(!ShouldReadFirst({400ms, false, true, 0}));
}

BOOST_AUTO_TEST_CASE(without_a_copy_hosts_read_one_after_the_other) {
  BOOST_TEST(!ShouldReadFirst({1499ms, false, true, 0}));
  BOOST_TEST(ShouldReadFirst({1500ms, false, true, 0}));
  BOOST_TEST(!ShouldReadFirst({2000ms, false, true, 0.5}));
  BOOST_TEST(ShouldReadFirst({2250ms, false, true, 0.5}));
  BOOST_TEST(ShouldReadFirst({3000ms, false, true, 1}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
