// SPDX-License-Identifier: MIT
#include "decisions/read_pacing.h"

#include <algorithm>
#include <array>

#include <boost/test/unit_test.hpp>

namespace {

using namespace valeledge::decisions;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(prompt_read_pacing)

BOOST_AUTO_TEST_CASE(past_reads_decay_within_a_second) {
  const valeledge::base::time_point start{};
  read_pacing pacing;
  BOOST_TEST(PauseCost(pacing, start).count() == 0);
  AddPromptRead(pacing, 60ms, start);
  const auto first = PauseCost(pacing, start);
  BOOST_TEST(first.count() > 10);
  BOOST_TEST(PauseCost(pacing, start + 100ms).count() < first.count());
  BOOST_TEST(PauseCost(pacing, start + 1000ms).count() < 1);
}

// Bursts of three prompts of 20 ms, 60 prompts per second, arrive at four
// engines that have each processed theirs before the next burst. By outstanding
// prompts alone all engines are equal, and one of them might receive a whole
// burst.
BOOST_AUTO_TEST_CASE(bursts_are_spread_over_engines) {
  std::array<read_pacing, 4> engines;
  std::array<int, 4> sent{};
  valeledge::base::time_point now{};
  for (int burst = 0; burst < 20; ++burst) {
    std::array<int, 4> in_burst{};
    for (int i = 0; i < 3; ++i) {
      const auto best = std::ranges::min_element(
          engines, {}, [&](const auto& each) { return PauseCost(each, now); });
      AddPromptRead(*best, 20ms, now);
      const auto at = static_cast<std::size_t>(best - engines.begin());
      ++sent[at];
      ++in_burst[at];
    }
    BOOST_TEST(*std::ranges::max_element(in_burst) == 1);
    now += 50ms;
  }
  BOOST_TEST(*std::ranges::max_element(sent) == 15);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
