// SPDX-License-Identifier: MIT
#include <chrono>
#include <map>

#include <boost/test/unit_test.hpp>

#include "decisions/relay_peers.h"

namespace {

using namespace valeledge;
using namespace std::chrono_literals;

const base::time_point kStart = base::time_point() + 1h;
const base::endpoint kNear{"10.0.0.1", 1};
const base::endpoint kNearRelay{"10.0.0.1", 2};
const base::endpoint kFar{"10.1.0.1", 1};
const base::endpoint kFarRelay{"10.1.0.1", 2};

struct peers_world {
  peers_world() {
    decisions::RecordReaches(peers, kNear, kNearRelay, true, kStart);
    decisions::RecordReaches(peers, kFar, kFarRelay, false, kStart);
  }

  base::endpoint Choose(base::time_point now, bool near = true) {
    const auto chosen = decisions::ChooseRelay(peers, now, near, random);
    return chosen ? chosen->relay_address : base::endpoint();
  }

  decisions::relay_peers peers;
  std::mt19937_64 random{1};
};

BOOST_AUTO_TEST_SUITE(relay_peers)

BOOST_AUTO_TEST_CASE(a_peer_of_the_same_zone_is_preferred) {
  peers_world here;
  for (int i = 0; i < 20; ++i)
    BOOST_TEST((here.Choose(kStart) == kNearRelay));
}

BOOST_AUTO_TEST_CASE(a_second_choice_is_of_another_zone) {
  peers_world here;
  for (int i = 0; i < 20; ++i)
    BOOST_TEST((here.Choose(kStart, false) == kFarRelay));
  decisions::RecordUnreached(here.peers, kFar, false, kStart);
  BOOST_TEST((here.Choose(kStart, false) == kNearRelay));
}

BOOST_AUTO_TEST_CASE(a_peer_that_failed_is_avoided_for_a_while) {
  peers_world here;
  decisions::RecordRelayFailed(here.peers, kNearRelay, kStart);
  BOOST_TEST((here.Choose(kStart + 100ms) == kFarRelay));
  BOOST_TEST((here.Choose(kStart + 300ms) == kNearRelay));
}

BOOST_AUTO_TEST_CASE(a_peer_that_is_cut_off_as_well_is_not_used) {
  peers_world here;
  decisions::RecordUnreached(here.peers, kNear, true, kStart);
  BOOST_TEST((here.Choose(kStart) == kFarRelay));
  decisions::RecordUnreached(here.peers, kFar, false, kStart);
  BOOST_TEST((here.Choose(kStart) == base::endpoint()));
}

BOOST_AUTO_TEST_CASE(a_statement_that_is_not_refreshed_expires) {
  peers_world here;
  BOOST_TEST((here.Choose(kStart + 3s) == base::endpoint()));
}

// The few that are left in a zone must not bear the requests of all others.
BOOST_AUTO_TEST_CASE(a_zone_that_is_mostly_cut_off_is_not_preferred) {
  peers_world here;
  decisions::RecordUnreached(here.peers, {"10.0.0.3", 1}, true, kStart);
  for (int i = 0; i < 20; ++i)
    BOOST_TEST((here.Choose(kStart) == kNearRelay));
  decisions::RecordUnreached(here.peers, {"10.0.0.4", 1}, true, kStart);
  std::map<base::endpoint, int> counts;
  for (int i = 0; i < 100; ++i)
    ++counts[here.Choose(kStart)];
  BOOST_TEST(counts[kFarRelay] > 20);
}

BOOST_AUTO_TEST_CASE(requests_are_spread_over_peers) {
  peers_world here;
  for (std::uint16_t port = 10; port < 14; ++port)
    decisions::RecordReaches(here.peers, {"10.0.0.2", port}, {"10.0.0.2", port},
                             true, kStart);
  std::map<base::endpoint, int> counts;
  for (int i = 0; i < 1000; ++i)
    ++counts[here.Choose(kStart)];
  BOOST_TEST(counts.size() == 5u);
  for (const auto& [address, count] : counts)
    BOOST_TEST(count > 120);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
