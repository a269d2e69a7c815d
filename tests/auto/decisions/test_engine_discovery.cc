// SPDX-License-Identifier: MIT
#include "decisions/engine_discovery.h"

#include <algorithm>
#include <random>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace {

using namespace valeledge::decisions;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

// Returns how many engines are known when discovery completes, if they start
// together with the host and write their first entries at random times within a
// heartbeat.
std::size_t KnownWhenComplete(std::size_t engines,
                              milliseconds heartbeat,
                              std::uint64_t seed) {
  std::mt19937_64 random{seed};
  std::uniform_int_distribution<std::int64_t> any(0, heartbeat.count());
  std::vector<milliseconds> entries;
  for (std::size_t i = 0; i < engines; ++i)
    entries.emplace_back(any(random));
  std::ranges::sort(entries);
  for (milliseconds now = entries.front();; now += 100ms) {
    const auto next = std::ranges::upper_bound(entries, now);
    const discovery_state state{now, now, now - *std::prev(next), heartbeat};
    if (IsDiscoveryComplete(state))
      return static_cast<std::size_t>(next - entries.begin());
  }
}

BOOST_AUTO_TEST_SUITE(engine_discovery)

BOOST_AUTO_TEST_CASE(discovery_waits_for_most_engines) {
  for (const milliseconds heartbeat : {1200ms, 5000ms}) {
    for (const std::size_t engines : {15u, 240u, 3920u}) {
      for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        BOOST_TEST_CONTEXT(engines << " engines, seed " << seed)
        BOOST_TEST(KnownWhenComplete(engines, heartbeat, seed) >=
                   engines - engines / 10);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(a_long_running_host_waits_less) {
  BOOST_TEST(!IsDiscoveryComplete({20s, 800ms, 800ms, 5000ms}));
  BOOST_TEST(IsDiscoveryComplete({20s, 900ms, 900ms, 5000ms}));
  BOOST_TEST(!IsDiscoveryComplete({8s, 900ms, 900ms, 5000ms}));
  BOOST_TEST(IsDiscoveryComplete({8s, 2500ms, 2500ms, 5000ms}));
}

BOOST_AUTO_TEST_CASE(discovery_ends_although_new_engines_appear) {
  BOOST_TEST(IsDiscoveryComplete({20s, 4000ms, 0ms, 1200ms}));
  BOOST_TEST(IsDiscoveryComplete({6s, 5900ms, 0ms, 5000ms}));
  BOOST_TEST(!IsDiscoveryComplete({6s, 5000ms, 0ms, 5000ms}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
