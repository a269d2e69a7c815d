// SPDX-License-Identifier: MIT
// Hosts in virtual time before a server that fails if it has to reject too many
// requests in a second, while callers ask for three times what it serves.
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <queue>
#include <random>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "decisions/brittle_server.h"
#include "decisions/server_notices.h"

namespace {

using namespace valeledge;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

const base::time_point kStart = base::time_point() + 1h;
constexpr milliseconds kStep{1};
// From a rejection until its host knows of it, and until all hosts do.
constexpr milliseconds kRoundTrip{4};
constexpr milliseconds kTold{8};
constexpr milliseconds kServiceTime{60};
constexpr std::int64_t kSlots = 12;
constexpr milliseconds kTrialTime{8};

struct brittle_result {
  // Most rejections in a second.
  std::size_t most_rejections = 0;
  int served = 0;
};

// `pauses`: whether hosts pause as decided.
brittle_result Play(int hosts,
                    double tolerated,
                    bool pauses,
                    std::uint32_t seed) {
  std::mt19937_64 random(seed);
  std::uniform_real_distribution<double> any(0, 1);
  std::vector<decisions::server_notices> notices(hosts);
  std::priority_queue<base::time_point, std::vector<base::time_point>,
                      std::greater<>>
      running;
  std::deque<base::time_point> rejections;
  // When all hosts learn of a rejection.
  std::deque<base::time_point> told;
  brittle_result result;
  const double per_step = 3.0 * kSlots / kServiceTime.count();
  for (auto now = kStart; now < kStart + 30s; now += kStep) {
    while (!running.empty() && running.top() <= now)
      running.pop();
    while (!told.empty() && told.front() <= now) {
      told.pop_front();
      for (auto& each : notices) {
        decisions::Observe(
            each,
            {false, decisions::BrittlePause(tolerated, hosts, any(random)),
             now});
      }
    }
    const int arrivals = std::poisson_distribution<int>(per_step)(random);
    for (int i = 0; i < arrivals; ++i) {
      auto& host = notices[static_cast<std::size_t>(any(random) * hosts)];
      if (pauses && decisions::IsPaused(host, now))
        continue;
      if (decisions::BeginTrial(host, now))
        host.trial_until = now + kTrialTime;
      if (static_cast<std::int64_t>(running.size()) < kSlots) {
        running.push(now + kServiceTime);
        ++result.served;
        continue;
      }
      rejections.push_back(now);
      while (now - rejections.front() >= 1s)
        rejections.pop_front();
      result.most_rejections =
          std::max(result.most_rejections, rejections.size());
      if (pauses) {
        decisions::Observe(
            host,
            {false, decisions::BrittlePause(tolerated, hosts, any(random)),
             now + kRoundTrip});
        told.push_back(now + kTold);
      }
    }
  }
  return result;
}

BOOST_AUTO_TEST_SUITE(brittle_fleet)

BOOST_AUTO_TEST_CASE(a_brittle_server_rejects_no_more_than_it_tolerates) {
  for (const int hosts : {8, 69, 985}) {
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
      const brittle_result result = Play(hosts, 10, true, seed);
      BOOST_TEST_CONTEXT(hosts << " hosts, seed " << seed) {
        BOOST_TEST(result.most_rejections <= 10u);
        BOOST_TEST(result.served > 0);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(without_pauses_it_rejects_far_more) {
  for (const int hosts : {8, 69, 985})
    BOOST_TEST(Play(hosts, 10, false, 1).most_rejections > 100u);
}

BOOST_AUTO_TEST_CASE(pauses_of_a_large_fleet_are_bounded) {
  BOOST_TEST((decisions::BrittlePause(1, 985, 1) == 10s));
  BOOST_TEST((decisions::BrittlePause(1, 985, 0) == 1s));
  BOOST_TEST((decisions::BrittlePause(0, 2, 1) == 3s));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
