// SPDX-License-Identifier: MIT
#include "decisions/initial_read.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace valeledge::decisions;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(initial_reads)

BOOST_AUTO_TEST_CASE(chosen_and_isolated_hosts_read_after_peer_discovery) {
  BOOST_TEST(!ShouldStartInitialRead({100ms, true, true, 0}));
  BOOST_TEST(!ShouldStartInitialRead({100ms, true, false, 0}));
  BOOST_TEST(ShouldStartInitialRead({400ms, true, true, 0}));
  BOOST_TEST(ShouldStartInitialRead({400ms, false, false, 0}));
  BOOST_TEST(!ShouldStartInitialRead({400ms, false, true, 0}));
}

BOOST_AUTO_TEST_CASE(hosts_without_a_snapshot_read_at_spread_times) {
  BOOST_TEST(!ShouldStartInitialRead({1499ms, false, true, 0}));
  BOOST_TEST(ShouldStartInitialRead({1500ms, false, true, 0}));
  BOOST_TEST(!ShouldStartInitialRead({2000ms, false, true, 0.5}));
  BOOST_TEST(ShouldStartInitialRead({2250ms, false, true, 0.5}));
  BOOST_TEST(ShouldStartInitialRead({3000ms, false, true, 1}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
