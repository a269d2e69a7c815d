// SPDX-License-Identifier: MIT
#include <algorithm>
#include <cmath>
#include <initializer_list>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "retry_simulation.h"

namespace {

using valeledge::test::PlayRetries;
using valeledge::test::retry_day;

// Most hosts that a deployment has, what all may send beyond the ratio, and
// the requests a second.
struct deployment {
  int hosts;
  double slack;
  double rate;
};

const std::vector<deployment> kDeployments = {{7, 54, 104},
                                              {7, 54, 40},
                                              {69, 178, 320},
                                              {69, 178, 165},
                                              {300, 630, 1400}};

retry_day DayOf(const deployment& each) {
  retry_day day;
  day.hosts = each.hosts;
  day.slack = each.slack;
  day.rate = [rate = each.rate](double) { return rate; };
  return day;
}

void KillAll(retry_day& day, std::initializer_list<double> times) {
  for (const double at : times) {
    for (int host = 0; host < day.hosts; ++host)
      day.kills.emplace_back(at, host);
  }
}

BOOST_AUTO_TEST_SUITE(retry_budget_of_all_hosts_is_kept)

BOOST_AUTO_TEST_CASE(when_calm) {
  for (const auto& each : kDeployments) {
    const auto out = PlayRetries(DayOf(each));
    BOOST_TEST_CONTEXT(each.hosts << " hosts, " << each.rate << " a second")
    BOOST_TEST(out.worst_excess <= 0);
  }
}

BOOST_AUTO_TEST_CASE(when_all_hosts_are_killed_in_series) {
  for (const auto& each : kDeployments) {
    retry_day day = DayOf(each);
    // Attempts begin to fail shortly before.
    day.failing = [](double now) { return now > 16 ? 1.0 : 0.0; };
    KillAll(day, {19, 22, 25});
    const auto out = PlayRetries(day);
    BOOST_TEST_CONTEXT(each.hosts << " hosts, " << each.rate << " a second")
    BOOST_TEST(out.worst_excess <= 0);
  }
}

BOOST_AUTO_TEST_CASE(when_all_hosts_start_again_each_second) {
  for (const auto& each : kDeployments) {
    retry_day day = DayOf(each);
    day.failing = [](double now) { return now > 16 ? 1.0 : 0.0; };
    KillAll(day, {17, 18, 19, 20, 21, 22, 23, 24});
    const auto out = PlayRetries(day);
    BOOST_TEST_CONTEXT(each.hosts << " hosts, " << each.rate << " a second")
    BOOST_TEST(out.worst_excess <= 0);
  }
}

BOOST_AUTO_TEST_CASE(when_a_third_is_cut_off_and_all_are_killed) {
  for (const auto& each : kDeployments) {
    retry_day day = DayOf(each);
    day.failing = [](double now) { return now > 14 ? 1.0 : 0.0; };
    day.is_up = [](int host, double now) {
      return host % 3 != 0 || now < 15 || now > 30;
    };
    KillAll(day, {19, 24});
    const auto out = PlayRetries(day);
    BOOST_TEST_CONTEXT(each.hosts << " hosts, " << each.rate << " a second")
    BOOST_TEST(out.worst_excess <= 0);
  }
}

BOOST_AUTO_TEST_CASE(when_halves_take_all_callers_by_turns) {
  for (const auto& each : kDeployments) {
    retry_day day = DayOf(each);
    day.failing = [](double now) { return now > 14 ? 1.0 : 0.0; };
    day.is_up = [](int host, double now) {
      const bool first_half = (now > 15 && now < 18) || (now > 20 && now < 25);
      const bool second_half = (now > 18 && now < 20) || (now > 25 && now < 28);
      return host % 2 == 0 ? !second_half : !first_half;
    };
    KillAll(day, {16, 22});
    const auto out = PlayRetries(day);
    BOOST_TEST_CONTEXT(each.hosts << " hosts, " << each.rate << " a second")
    BOOST_TEST(out.worst_excess <= 0);
  }
}

// Each host stops for 6 s and takes no more requests after 2.7 s; one begins in
// each part of 7 s.
BOOST_AUTO_TEST_CASE(when_hosts_are_replaced_in_turn) {
  for (const auto& each : kDeployments) {
    retry_day day = DayOf(each);
    day.failing = [](double now) { return now > 16 ? 1.0 : 0.0; };
    const auto begins = [hosts = each.hosts](int host) {
      return 17 + 7.0 * host / hosts;
    };
    day.is_up = [begins](int host, double now) {
      return now < begins(host) + 2.7 || now > begins(host) + 6;
    };
    for (int host = 0; host < each.hosts; ++host)
      day.kills.emplace_back(begins(host) + 6, host);
    const auto out = PlayRetries(day);
    BOOST_TEST_CONTEXT(each.hosts << " hosts, " << each.rate << " a second")
    BOOST_TEST(out.worst_excess <= 0);
  }
}

// All callers are at a third of the hosts, and go to the next third.
BOOST_AUTO_TEST_CASE(when_callers_move_from_host_to_host) {
  for (const auto& each : kDeployments) {
    retry_day day = DayOf(each);
    day.failing = [](double now) { return now > 19 ? 1.0 : 0.0; };
    day.is_up = [](int host, double now) {
      return now < 20 ? host % 3 == 0 : host % 3 == 1;
    };
    const auto out = PlayRetries(day);
    BOOST_TEST_CONTEXT(each.hosts << " hosts, " << each.rate << " a second")
    BOOST_TEST(out.worst_excess <= 0);
  }
}

BOOST_AUTO_TEST_CASE(when_a_burst_ends_as_attempts_begin_to_fail) {
  for (const auto& each : kDeployments) {
    retry_day day = DayOf(each);
    day.rate = [rate = each.rate](double now) {
      return now > 15 && now < 20 ? 4 * rate : rate;
    };
    day.failing = [](double now) { return now > 19.9 ? 1.0 : 0.0; };
    KillAll(day, {20.5, 24});
    const auto out = PlayRetries(day);
    BOOST_TEST_CONTEXT(each.hosts << " hosts, " << each.rate << " a second")
    BOOST_TEST(out.worst_excess <= 0);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
