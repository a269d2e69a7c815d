// SPDX-License-Identifier: MIT
#include "decisions/read_pacing.h"

#include <algorithm>
#include <array>

#include <boost/test/unit_test.hpp>

namespace {

using namespace valeledge::decisions;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(reading_paces)

BOOST_AUTO_TEST_CASE(what_was_read_is_forgotten_within_a_second) {
  const valeledge::base::time_point start{};
  reading_pace pace;
  BOOST_TEST(PauseCost(pace, start).count() == 0);
  AddReading(pace, 60ms, start);
  const auto first = PauseCost(pace, start);
  BOOST_TEST(first.count() > 10);
  BOOST_TEST(PauseCost(pace, start + 100ms).count() < first.count());
  BOOST_TEST(PauseCost(pace, start + 1000ms).count() < 1);
}

// Prompts of 20 ms come in clumps of three, 60 a second, to four engines that
// have read each within the time to the next clump. By unread prompts alone the
// choice among them is open, and one engine may read a whole clump.
BOOST_AUTO_TEST_CASE(clumps_are_spread_over_engines) {
  std::array<reading_pace, 4> engines;
  std::array<int, 4> sent{};
  valeledge::base::time_point now{};
  for (int clump = 0; clump < 20; ++clump) {
    std::array<int, 4> of_clump{};
    for (int i = 0; i < 3; ++i) {
      const auto best = std::ranges::min_element(
          engines, {}, [&](const auto& each) { return PauseCost(each, now); });
      AddReading(*best, 20ms, now);
      const auto at = static_cast<std::size_t>(best - engines.begin());
      ++sent[at];
      ++of_clump[at];
    }
    BOOST_TEST(*std::ranges::max_element(of_clump) == 1);
    now += 50ms;
  }
  BOOST_TEST(*std::ranges::max_element(sent) == 15);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
