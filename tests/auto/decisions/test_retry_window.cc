// SPDX-License-Identifier: MIT
#include "decisions/retry_window.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace valeledge::decisions;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(retries_of_all_hosts)

BOOST_AUTO_TEST_CASE(stay_within_ratio_and_slack_in_any_window) {
  constexpr int kHosts = 4;
  retry_limits limits{0.2, 20, 10s, kHosts};
  std::vector<retry_window> hosts(kHosts);
  valeledge::base::time_point now{100s};
  std::vector<std::pair<valeledge::base::time_point, int>> counts;
  for (int step = 0; step < 4000; ++step) {
    now += 10ms;
    int repeats = 0;
    for (retry_window& host : hosts) {
      if (step % 5 == 0)
        NoteRequest(host, now);
      repeats += TakeRepeat(host, limits, now) ? 1 : 0;
    }
    counts.emplace_back(now, repeats);
  }
  for (std::size_t begin = 0; begin + 1000 <= counts.size(); begin += 37) {
    int repeats = 0;
    for (std::size_t i = begin; i < begin + 1000; ++i)
      repeats += counts[i].second;
    const double requests = kHosts * 200;
    BOOST_TEST(repeats <= limits.ratio * requests + limits.slack);
  }
}

BOOST_AUTO_TEST_CASE(a_host_without_requests_has_its_part_of_the_slack) {
  retry_limits limits{0.2, 40, 10s, 4};
  retry_window window;
  int taken = 0;
  while (TakeRepeat(window, limits, valeledge::base::time_point(5s)))
    ++taken;
  BOOST_TEST(taken == 5);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
