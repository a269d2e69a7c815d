// SPDX-License-Identifier: MIT
#include <algorithm>
#include <cmath>
#include <initializer_list>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "retry_world.h"

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
  day.seen = [hosts = each.hosts](int, double) { return hosts; };
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

BOOST_AUTO_TEST_CASE(when_hosts_see_only_themselves_after_each_start) {
  for (const auto& each : kDeployments) {
    retry_day day = DayOf(each);
    day.failing = [](double now) { return now > 16 ? 1.0 : 0.0; };
    KillAll(day, {17, 18, 19, 20, 21, 22, 23, 24});
    day.seen = [hosts = each.hosts](int, double now) {
      return now < 17 || now - std::floor(now) > 0.3 ? hosts : 1;
    };
    const auto out = PlayRetries(day);
    BOOST_TEST_CONTEXT(each.hosts << " hosts, " << each.rate << " a second")
    BOOST_TEST(out.worst_excess <= 0);
  }
}

BOOST_AUTO_TEST_CASE(when_hosts_are_cut_off_from_each_other_and_killed) {
  for (const auto& each : kDeployments) {
    retry_day day = DayOf(each);
    day.failing = [](double now) { return now > 14 ? 1.0 : 0.0; };
    day.seen = [hosts = each.hosts](int, double now) {
      return now > 15 && now < 30 ? 1 : hosts;
    };
    KillAll(day, {19, 24});
    const auto out = PlayRetries(day);
    BOOST_TEST_CONTEXT(each.hosts << " hosts, " << each.rate << " a second")
    BOOST_TEST(out.worst_excess <= 0);
  }
}

BOOST_AUTO_TEST_CASE(when_halves_see_only_themselves_twice) {
  for (const auto& each : kDeployments) {
    retry_day day = DayOf(each);
    day.failing = [](double now) { return now > 14 ? 1.0 : 0.0; };
    day.seen = [hosts = each.hosts](int host, double now) {
      const bool split = (now > 15 && now < 18) || (now > 20 && now < 25);
      return !split ? hosts : host % 2 == 0 ? (hosts + 1) / 2 : hosts / 2;
    };
    KillAll(day, {16, 22});
    const auto out = PlayRetries(day);
    BOOST_TEST_CONTEXT(each.hosts << " hosts, " << each.rate << " a second")
    BOOST_TEST(out.worst_excess <= 0);
  }
}

// Each host stops for 6 s, and is not seen by the others while it does; one
// begins in each tenth of 7 s.
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
    const auto leaves = [begins](int host, double now) {
      return now > begins(host) && now < begins(host) + 6;
    };
    day.seen = [hosts = each.hosts, leaves](int, double now) {
      int seen = 0;
      for (int host = 0; host < hosts; ++host)
        seen += leaves(host, now) ? 0 : 1;
      return std::max(seen, 1);
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
