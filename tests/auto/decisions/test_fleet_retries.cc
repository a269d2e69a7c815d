// SPDX-License-Identifier: MIT
#include <algorithm>
#include <cmath>
#include <initializer_list>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "retry_simulation.h"

namespace {

using valeledge::test::retry_scenario;
using valeledge::test::SimulateRetries;

// Maximum number of hosts in a deployment, retries that all hosts may send
// beyond the ratio, and requests per second.
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

retry_scenario ScenarioFor(const deployment& each) {
  retry_scenario scenario;
  scenario.hosts = each.hosts;
  scenario.slack = each.slack;
  scenario.rate = [rate = each.rate](double) { return rate; };
  return scenario;
}

void KillAll(retry_scenario& scenario, std::initializer_list<double> times) {
  for (const double at : times) {
    for (int host = 0; host < scenario.hosts; ++host)
      scenario.kills.emplace_back(at, host);
  }
}

BOOST_AUTO_TEST_SUITE(retry_budget_of_all_hosts_is_kept)

BOOST_AUTO_TEST_CASE(without_faults) {
  for (const auto& each : kDeployments) {
    const auto out = SimulateRetries(ScenarioFor(each));
    BOOST_TEST_CONTEXT(each.hosts << " hosts, " << each.rate << " per second")
    BOOST_TEST(out.worst_excess <= 0);
  }
}

BOOST_AUTO_TEST_CASE(when_all_hosts_are_killed_in_series) {
  for (const auto& each : kDeployments) {
    retry_scenario scenario = ScenarioFor(each);
    // Attempts start to fail shortly before the kills.
    scenario.failure_ratio = [](double now) { return now > 16 ? 1.0 : 0.0; };
    KillAll(scenario, {19, 22, 25});
    const auto out = SimulateRetries(scenario);
    BOOST_TEST_CONTEXT(each.hosts << " hosts, " << each.rate << " per second")
    BOOST_TEST(out.worst_excess <= 0);
  }
}

BOOST_AUTO_TEST_CASE(when_all_hosts_restart_every_second) {
  for (const auto& each : kDeployments) {
    retry_scenario scenario = ScenarioFor(each);
    scenario.failure_ratio = [](double now) { return now > 16 ? 1.0 : 0.0; };
    KillAll(scenario, {17, 18, 19, 20, 21, 22, 23, 24});
    const auto out = SimulateRetries(scenario);
    BOOST_TEST_CONTEXT(each.hosts << " hosts, " << each.rate << " per second")
    BOOST_TEST(out.worst_excess <= 0);
  }
}

BOOST_AUTO_TEST_CASE(when_a_third_is_unavailable_and_all_are_killed) {
  for (const auto& each : kDeployments) {
    retry_scenario scenario = ScenarioFor(each);
    scenario.failure_ratio = [](double now) { return now > 14 ? 1.0 : 0.0; };
    scenario.is_up = [](int host, double now) {
      return host % 3 != 0 || now < 15 || now > 30;
    };
    KillAll(scenario, {19, 24});
    const auto out = SimulateRetries(scenario);
    BOOST_TEST_CONTEXT(each.hosts << " hosts, " << each.rate << " per second")
    BOOST_TEST(out.worst_excess <= 0);
  }
}

BOOST_AUTO_TEST_CASE(when_halves_alternately_serve_all_callers) {
  for (const auto& each : kDeployments) {
    retry_scenario scenario = ScenarioFor(each);
    scenario.failure_ratio = [](double now) { return now > 14 ? 1.0 : 0.0; };
    scenario.is_up = [](int host, double now) {
      const bool first_half = (now > 15 && now < 18) || (now > 20 && now < 25);
      const bool second_half = (now > 18 && now < 20) || (now > 25 && now < 28);
      return host % 2 == 0 ? !second_half : !first_half;
    };
    KillAll(scenario, {16, 22});
    const auto out = SimulateRetries(scenario);
    BOOST_TEST_CONTEXT(each.hosts << " hosts, " << each.rate << " per second")
    BOOST_TEST(out.worst_excess <= 0);
  }
}

// Each host is replaced once, spread over 7 s: it rejects new requests 2.7 s
// after its replacement begins, and the new process starts after 6 s.
BOOST_AUTO_TEST_CASE(when_hosts_are_replaced_in_turn) {
  for (const auto& each : kDeployments) {
    retry_scenario scenario = ScenarioFor(each);
    scenario.failure_ratio = [](double now) { return now > 16 ? 1.0 : 0.0; };
    const auto stop_begins = [hosts = each.hosts](int host) {
      return 17 + 7.0 * host / hosts;
    };
    scenario.is_up = [stop_begins](int host, double now) {
      return now < stop_begins(host) + 2.7 || now > stop_begins(host) + 6;
    };
    for (int host = 0; host < each.hosts; ++host)
      scenario.kills.emplace_back(stop_begins(host) + 6, host);
    const auto out = SimulateRetries(scenario);
    BOOST_TEST_CONTEXT(each.hosts << " hosts, " << each.rate << " per second")
    BOOST_TEST(out.worst_excess <= 0);
  }
}

// All callers use one third of the hosts and then move to the next third.
BOOST_AUTO_TEST_CASE(when_callers_move_to_other_hosts) {
  for (const auto& each : kDeployments) {
    retry_scenario scenario = ScenarioFor(each);
    scenario.failure_ratio = [](double now) { return now > 19 ? 1.0 : 0.0; };
    scenario.is_up = [](int host, double now) {
      return now < 20 ? host % 3 == 0 : host % 3 == 1;
    };
    const auto out = SimulateRetries(scenario);
    BOOST_TEST_CONTEXT(each.hosts << " hosts, " << each.rate << " per second")
    BOOST_TEST(out.worst_excess <= 0);
  }
}

BOOST_AUTO_TEST_CASE(when_a_burst_ends_as_attempts_begin_to_fail) {
  for (const auto& each : kDeployments) {
    retry_scenario scenario = ScenarioFor(each);
    scenario.rate = [rate = each.rate](double now) {
      return now > 15 && now < 20 ? 4 * rate : rate;
    };
    scenario.failure_ratio = [](double now) { return now > 19.9 ? 1.0 : 0.0; };
    KillAll(scenario, {20.5, 24});
    const auto out = SimulateRetries(scenario);
    BOOST_TEST_CONTEXT(each.hosts << " hosts, " << each.rate << " per second")
    BOOST_TEST(out.worst_excess <= 0);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
