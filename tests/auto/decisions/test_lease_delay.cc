// SPDX-License-Identifier: MIT
#include "decisions/lease_delay.h"

#include <algorithm>
#include <random>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace {

using namespace valeledge::decisions;
using std::chrono::milliseconds;

struct lease_attempt {
  milliseconds at;
  double cores;
};

// Returns the attempts of hosts that find the lease free at the same moment, in
// order of time.
std::vector<lease_attempt> PlayStart(
    const std::vector<std::pair<int, double>>& hosts,
    unsigned seed) {
  std::mt19937_64 random(seed);
  std::uniform_real_distribution<double> jitter(0, 1);
  std::vector<lease_attempt> out;
  for (const auto& [count, cores] : hosts) {
    for (int i = 0; i < count; ++i)
      out.push_back({LeaseAcquireDelay(cores, jitter(random)), cores});
  }
  std::ranges::sort(out, {}, &lease_attempt::at);
  return out;
}

// Counts the attempts before hosts can see, 20 ms after the first, that the
// lease is taken.
std::ptrdiff_t CountAttempts(const std::vector<lease_attempt>& attempts) {
  const milliseconds taken_seen_at = attempts.front().at + milliseconds(20);
  return std::ranges::count_if(attempts, [&](const lease_attempt& each) {
    return each.at < taken_seen_at;
  });
}

}  // namespace

// 15 hosts with half a core and 280 with an eighth. Without delays all 295
// would try.
BOOST_AUTO_TEST_CASE(the_host_with_most_cores_is_first_and_attempts_are_few) {
  for (const unsigned seed : {1U, 2U, 3U, 4U, 5U}) {
    const auto attempts = PlayStart({{15, 0.5}, {280, 0.12}}, seed);
    BOOST_TEST(attempts.front().cores == 0.5);
    BOOST_TEST(CountAttempts(attempts) <= 12);
    BOOST_TEST((attempts.back().at <= milliseconds(500)));
  }
}

BOOST_AUTO_TEST_CASE(equal_hosts_are_spread_over_time) {
  for (const unsigned seed : {1U, 2U, 3U, 4U, 5U}) {
    const auto attempts = PlayStart({{9, 0.25}}, seed);
    BOOST_TEST(CountAttempts(attempts) <= 5);
    BOOST_TEST((attempts.back().at <= milliseconds(200)));
  }
}

BOOST_AUTO_TEST_CASE(an_unknown_core_count_causes_no_delay) {
  BOOST_TEST((LeaseAcquireDelay(0, 0.5) == milliseconds(0)));
}
