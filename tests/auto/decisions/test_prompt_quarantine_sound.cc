// SPDX-License-Identifier: MIT
// Guards against sound parts of prompts that are quarantined for crashes which
// no request causes: days of engines that end by turns, and other troubles,
// with prompts that share their heads.
#include <cstdlib>
#include <string>

#include <boost/test/unit_test.hpp>

#include "prompt_fleet.h"

namespace {

using namespace valeledge;
using namespace valeledge::test;

// Callers with the same parts may be refused for this long.
constexpr milliseconds kMaxRefusal{3000};

constexpr fleet_size kSmall{8, 18, 90};
constexpr fleet_size kMiddle{70, 140, 600};
constexpr fleet_size kLarge{985, 4000, 1800};

// Days per fleet size in CI; VALELEDGE_SOUND_DAYS sets another number.
std::uint64_t DayCount(std::uint64_t usual) {
  const char* given = std::getenv("VALELEDGE_SOUND_DAYS");
  return given == nullptr ? usual : std::stoull(given);
}

// Draws the troubles of one day.
plan DayOf(const fleet_size& size, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::uniform_real_distribution<double> any(0, 1);
  const auto sometimes = [&](double most) {
    return any(random) < 0.5 ? any(random) * most : 0;
  };
  plan day{.size = size, .length = milliseconds(30'000), .shares_heads = true};
  day.other.flapping = 0.05 + 0.15 * any(random);
  day.other.resets = sometimes(2);
  day.other.lost_zones = sometimes(0.2);
  day.other.crash_series = sometimes(0.5);
  day.other.killed_hosts = sometimes(0.2);
  day.other.unframed_answers = sometimes(1);
  day.other.garbled_answers = sometimes(0.2);
  day.other.leaving_callers = sometimes(0.2);
  return day;
}

void CheckDays(const fleet_size& size,
               std::uint64_t count,
               std::uint64_t first = 1) {
  std::uint64_t quarantines = 0;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    fleet here(DayOf(size, seed), seed);
    here.Play();
    quarantines += here.quarantined.size();
    BOOST_TEST_CONTEXT(
        size.hosts << " hosts, seed " << seed << ", " << here.quarantined.size()
                   << " combinations quarantined, " << here.sound_refused
                   << " of " << here.sound << " refused") {
      BOOST_TEST(here.LongestRefusal().count() <= kMaxRefusal.count());
    }
  }
  BOOST_TEST_MESSAGE(size.hosts << " hosts: " << quarantines
                                << " combinations quarantined in " << count
                                << " days");
}

BOOST_AUTO_TEST_SUITE(sound_prompt_parts)

BOOST_AUTO_TEST_CASE(are_not_refused_for_long_in_a_small_fleet) {
  CheckDays(kSmall, DayCount(16));
}

BOOST_AUTO_TEST_CASE(are_not_refused_for_long_in_a_middle_fleet) {
  CheckDays(kMiddle, DayCount(6));
}

BOOST_AUTO_TEST_CASE(are_not_refused_for_long_in_a_large_fleet) {
  CheckDays(kLarge, DayCount(1));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(rare_prompt_parts)

// Guards against parts that are requested so seldom that no other request comes
// to a host while it may begin a trial.
BOOST_AUTO_TEST_CASE(are_not_refused_for_long) {
  CheckDays(kSmall, 1, 23);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
