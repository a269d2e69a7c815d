// SPDX-License-Identifier: MIT
#include "decisions/lease_delay.h"

#include <algorithm>
#include <random>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace {

using namespace valeledge::decisions;
using std::chrono::milliseconds;

struct racer {
  milliseconds at;
  double cores;
};

// Hosts that find the lease free at the same moment, in the order in which they
// try.
std::vector<racer> Race(const std::vector<std::pair<int, double>>& hosts,
                        unsigned seed) {
  std::mt19937_64 random(seed);
  std::uniform_real_distribution<double> draw(0, 1);
  std::vector<racer> out;
  for (const auto& [count, cores] : hosts) {
    for (int i = 0; i < count; ++i)
      out.push_back({LeaseTurn(cores, draw(random)), cores});
  }
  std::ranges::sort(out, {}, &racer::at);
  return out;
}

// Hosts that try before they can see, 20 ms after the first try, that it was
// the first.
std::ptrdiff_t Tries(const std::vector<racer>& race) {
  const milliseconds seen = race.front().at + milliseconds(20);
  return std::ranges::count_if(
      race, [&](const racer& each) { return each.at < seen; });
}

}  // namespace

// 15 hosts of half a core beside 280 of an eighth: all 295 tried before.
BOOST_AUTO_TEST_CASE(a_strong_host_takes_the_lease_and_few_try) {
  for (const unsigned seed : {1U, 2U, 3U, 4U, 5U}) {
    const auto race = Race({{15, 0.5}, {280, 0.12}}, seed);
    BOOST_TEST(race.front().cores == 0.5);
    BOOST_TEST(Tries(race) <= 12);
    BOOST_TEST((race.back().at <= milliseconds(500)));
  }
}

BOOST_AUTO_TEST_CASE(equal_hosts_take_turns) {
  for (const unsigned seed : {1U, 2U, 3U, 4U, 5U}) {
    const auto race = Race({{9, 0.25}}, seed);
    BOOST_TEST(Tries(race) <= 5);
    BOOST_TEST((race.back().at <= milliseconds(200)));
  }
}

BOOST_AUTO_TEST_CASE(a_host_that_does_not_know_its_strength_does_not_wait) {
  BOOST_TEST((LeaseTurn(0, 0.5) == milliseconds(0)));
}
