// SPDX-License-Identifier: MIT
#include "decisions/shared_retry_budget.h"

#include <vector>

#include <boost/test/unit_test.hpp>

#include "retry_simulation.h"

namespace {

using namespace valeledge::decisions;
using namespace std::chrono_literals;
using valeledge::base::time_point;
using valeledge::test::retry_scenario;
using valeledge::test::SimulateRetries;

const retry_policy kPolicy{0.2, 10s};

int AcquireAll(shared_retry_budget& budget, time_point now) {
  int acquired = 0;
  while (TryAcquireRetry(budget, kPolicy, now))
    ++acquired;
  return acquired;
}

BOOST_AUTO_TEST_SUITE(retries_of_all_hosts)

BOOST_AUTO_TEST_CASE(stay_within_the_ratio_in_any_window) {
  constexpr int kHosts = 4;
  std::vector<shared_retry_budget> hosts(kHosts);
  time_point now{100s};
  std::vector<int> counts;
  for (int step = 0; step < 4000; ++step) {
    now += 10ms;
    int retries = 0;
    for (shared_retry_budget& host : hosts) {
      if (step % 5 == 0)
        NoteRequest(host, kPolicy, now);
      retries += TryAcquireRetry(host, kPolicy, now) ? 1 : 0;
    }
    counts.push_back(retries);
  }
  for (std::size_t begin = 0; begin + 1000 <= counts.size(); begin += 37) {
    int retries = 0;
    for (std::size_t i = begin; i < begin + 1000; ++i)
      retries += counts[i];
    const double requests = kHosts * 200;
    BOOST_TEST(retries <= kPolicy.ratio * requests);
  }
}

BOOST_AUTO_TEST_CASE(a_new_process_has_no_retries) {
  shared_retry_budget budget;
  budget.started = time_point(4s);
  BOOST_TEST(!MayRetry(budget, kPolicy, time_point(5s)));
  BOOST_TEST(AcquireAll(budget, time_point(5s)) == 0);
  for (int i = 0; i < 100; ++i)
    NoteRequest(budget, kPolicy, time_point(5s));
  BOOST_TEST(AcquireAll(budget, time_point(5s)) == 16);
}

BOOST_AUTO_TEST_CASE(unused_retries_expire_except_for_one) {
  shared_retry_budget budget;
  budget.started = time_point(4s);
  for (int i = 0; i < 100; ++i)
    NoteRequest(budget, kPolicy, time_point(5s));
  BOOST_TEST(AcquireAll(budget, time_point(8s)) == 1);
}

BOOST_AUTO_TEST_CASE(a_host_with_few_requests_saves_one_retry) {
  shared_retry_budget budget;
  budget.started = time_point(-1s);
  budget.has_retried = true;
  for (int second = 0; second < 60; ++second)
    NoteRequest(budget, kPolicy, time_point(std::chrono::seconds(second)));
  BOOST_TEST(AcquireAll(budget, time_point(60s)) == 1);
}

BOOST_AUTO_TEST_CASE(a_window_without_a_retry_grants_one) {
  shared_retry_budget budget;
  budget.started = time_point(5s);
  BOOST_TEST(AcquireAll(budget, time_point(14s)) == 0);
  BOOST_TEST(AcquireAll(budget, time_point(15s)) == 1);
  BOOST_TEST(AcquireAll(budget, time_point(60s)) == 0);
}

// Retries granted when every attempt fails.
BOOST_AUTO_TEST_CASE(three_quarters_of_the_ratio_are_used) {
  for (const int hosts : {7, 69, 300}) {
    retry_scenario scenario;
    scenario.hosts = hosts;
    scenario.rate = [hosts](double) { return 5.0 * hosts; };
    const auto out = SimulateRetries(scenario);
    BOOST_TEST_CONTEXT(hosts << " hosts")
    BOOST_TEST(out.granted >= 0.75 * 0.2 * out.requests);
  }
}

// Failures within the ratio are retried, even if each host has only a few
// requests per second.
BOOST_AUTO_TEST_CASE(occasional_failures_are_retried) {
  for (const int hosts : {7, 69, 300}) {
    retry_scenario scenario;
    scenario.hosts = hosts;
    scenario.rate = [hosts](double) { return 2.4 * hosts; };
    scenario.failure_ratio = [](double) { return 0.02; };
    scenario.seconds = 400;
    const auto out = SimulateRetries(scenario);
    BOOST_TEST_CONTEXT(hosts << " hosts")
    BOOST_TEST(out.granted >= 0.95 * out.wanted);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
