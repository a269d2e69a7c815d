// SPDX-License-Identifier: MIT
#include "decisions/workspace_limit.h"

#include <boost/test/unit_test.hpp>

#include "limit_simulation.h"

namespace {

using namespace valeledge;
using namespace valeledge::decisions;
using namespace valeledge::test;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

const base::time_point kStart = base::time_point() + 1h;

catalog::workspace_limit Limit(double rate, double burst) {
  catalog::workspace_limit out;
  out.unit = catalog::limit_unit::kTokens;
  out.rate = rate;
  out.burst = burst;
  out.plain_tokens = 200;
  return out;
}

// A host requests tokens from an owner that has just started and sees a
// fraction of the hosts.
limit_decision AcquireFromNewOwner(limiter_state& limiter,
                                   const catalog::workspace_limit& limit,
                                   double visible_fraction,
                                   double count,
                                   base::time_point now) {
  return TryAcquire(limiter, limit, {visible_fraction, 1, true},
                    {"h", count, 0}, now);
}

BOOST_AUTO_TEST_SUITE(workspace_limits)

BOOST_AUTO_TEST_CASE(request_cost_depends_on_the_unit) {
  catalog::workspace_limit limit = Limit(100, 100);
  BOOST_TEST(RequestCost(limit, 1540) == 1540);
  BOOST_TEST(RequestCost(limit, {}) == 200);
  // A negative token count does not add to the limit.
  BOOST_TEST(RequestCost(limit, -5000) == 0);
  limit.unit = catalog::limit_unit::kRequests;
  BOOST_TEST(RequestCost(limit, 1540) == 1);
}

BOOST_AUTO_TEST_CASE(an_owner_grants_rate_and_burst_after_its_start_delay) {
  const auto limit = Limit(1000, 2000);
  limiter_state limiter = MakeLimiter(limit, true, kStart);
  BOOST_TEST(
      (AcquireFromNewOwner(limiter, limit, 1, 100, kStart + 100ms).verdict ==
       limit_verdict::kNotOwned));
  double granted = 0;
  for (auto now = 400ms; now < 10s; now += 1ms) {
    if (AcquireFromNewOwner(limiter, limit, 1, 50, kStart + now).verdict ==
        limit_verdict::kGranted)
      granted += 50;
  }
  // The initial level, and the rate since.
  BOOST_TEST(granted <= 200 + 1000 * 10);
  BOOST_TEST(granted >= 200 + 1000 * 9.9);
}

BOOST_AUTO_TEST_CASE(a_visible_fraction_of_hosts_gets_that_fraction) {
  const auto limit = Limit(1000, 1000);
  limiter_state limiter = MakeLimiter(limit, true, kStart);
  double granted = 0;
  for (auto now = 400ms; now < 8s; now += 1ms) {
    if (AcquireFromNewOwner(limiter, limit, 0.25, 10, kStart + now).verdict ==
        limit_verdict::kGranted)
      granted += 10;
  }
  BOOST_TEST(granted <= 100 + 250 * 8);
}

BOOST_AUTO_TEST_CASE(a_request_above_the_burst_needs_a_full_bucket) {
  const auto limit = Limit(100, 500);
  limiter_state limiter = MakeLimiter(limit, true, kStart);
  BOOST_TEST(
      (AcquireFromNewOwner(limiter, limit, 1, 900, kStart + 400ms).verdict ==
       limit_verdict::kExceeded));
  BOOST_TEST(
      (AcquireFromNewOwner(limiter, limit, 1, 900, kStart + 10s).verdict ==
       limit_verdict::kGranted));
  BOOST_TEST(
      (AcquireFromNewOwner(limiter, limit, 1, 10, kStart + 13s).verdict ==
       limit_verdict::kExceeded));
}

BOOST_AUTO_TEST_CASE(a_lowered_limit_applies_immediately) {
  limiter_state limiter = MakeLimiter(Limit(1000, 8000), true, kStart);
  AcquireFromNewOwner(limiter, Limit(1000, 8000), 1, 0, kStart + 9s);
  double granted = 0;
  for (auto now = 9s + 0ms; now < 17s; now += 1ms) {
    if (AcquireFromNewOwner(limiter, Limit(100, 100), 1, 10, kStart + now)
            .verdict == limit_verdict::kGranted)
      granted += 10;
  }
  BOOST_TEST(granted <= 100 + 100 * 8);
}

BOOST_AUTO_TEST_CASE(refused_requests_retry_one_after_the_other) {
  const auto limit = Limit(1000, 1000);
  limiter_state limiter = MakeLimiter(limit, true, kStart);
  const auto now = kStart + 5s;
  AcquireFromNewOwner(limiter, limit, 1, 1000, now);
  auto last = 0ms;
  for (int i = 0; i < 20; ++i) {
    const auto refused = AcquireFromNewOwner(limiter, limit, 1, 100, now);
    BOOST_REQUIRE((refused.verdict == limit_verdict::kExceeded));
    BOOST_TEST((refused.retry_after - last >= 100ms));
    last = refused.retry_after;
  }
  for (int i = 0; i < 2000; ++i)
    AcquireFromNewOwner(limiter, limit, 1, 100, now);
  BOOST_TEST(
      (AcquireFromNewOwner(limiter, limit, 1, 100, now).retry_after <= 30s));
}

BOOST_AUTO_TEST_CASE(tokens_of_requests_that_did_not_run_are_released) {
  const auto limit = Limit(1, 1000);
  limiter_state limiter = MakeLimiter(limit, true, kStart);
  limiter.bucket.level = 1000;
  const auto now = kStart + 1s;
  BOOST_TEST((AcquireFromNewOwner(limiter, limit, 1, 1000, now).verdict ==
              limit_verdict::kGranted));
  Release(limiter, 1000);
  BOOST_TEST((AcquireFromNewOwner(limiter, limit, 1, 1000, now).verdict ==
              limit_verdict::kGranted));
  Release(limiter, 50'000);
  BOOST_TEST(limiter.bucket.level <= 1000);
  Release(limiter, -1);
  BOOST_TEST(limiter.bucket.level == 1000);
}

BOOST_AUTO_TEST_CASE(without_its_owner_a_host_continues_for_a_short_time) {
  limit_allowance allowance;
  BOOST_TEST(!TryAcquireWithoutOwner(allowance, 10, 0.5, kStart));
  for (auto now = 0ms; now < 10s; now += 10ms) {
    NoteRequest(allowance, kStart + now);
    NoteGranted(allowance, 10, kStart + now);
  }
  double granted = 0;
  for (auto now = 10s + 0ms; now < 20s; now += 1ms)
    granted += TryAcquireWithoutOwner(allowance, 10, 1, kStart + now) ? 10 : 0;
  // The host was granted 1,000 tokens per second.
  BOOST_TEST(granted >= 1900);
  BOOST_TEST(granted <= 2100);
}

BOOST_AUTO_TEST_CASE(
    a_host_with_infrequent_requests_continues_at_a_lower_rate) {
  limit_allowance allowance;
  for (auto now = 0ms; now < 10s; now += 500ms) {
    NoteRequest(allowance, kStart + now);
    NoteGranted(allowance, 500, kStart + now);
  }
  // The host reports its full rate while the limit is not exhausted.
  BOOST_TEST(TypicalRate(allowance, kStart + 10s) >= 800);
  NoteExceeded(allowance, kStart + 10s);
  BOOST_TEST(TypicalRate(allowance, kStart + 10s) <= 300);
  double granted = 0;
  for (auto now = 10s + 0ms; now < 20s; now += 1ms)
    granted += TryAcquireWithoutOwner(allowance, 10, 1, kStart + now) ? 10 : 0;
  BOOST_TEST(granted >= 200);
  BOOST_TEST(granted <= 350);
}

// Until membership has converged, a new owner grants its clients the rate that
// they had before, and no more.
BOOST_AUTO_TEST_CASE(a_new_owner_grants_the_previous_rate) {
  const auto limit = Limit(1000, 2000);
  limiter_state limiter = MakeLimiter(limit, false, kStart);
  double granted = 0;
  for (auto now = 0ms; now < 3s; now += 5ms) {
    if (TryAcquire(limiter, limit, {1, 100, false}, {"h", 10, 300},
                   kStart + now)
            .verdict == limit_verdict::kGranted) {
      granted += 10;
    }
  }
  BOOST_TEST(granted >= 0.8 * 300 * 3);
  BOOST_TEST(granted <= 1.1 * 300 * 3);
}

// No retry-after delay exceeds the time until more may be granted.
BOOST_AUTO_TEST_CASE(retries_wait_for_a_new_owner_no_longer_than_needed) {
  const auto limit = Limit(1000, 2000);
  limiter_state limiter = MakeLimiter(limit, false, kStart);
  for (int i = 0; i < 100; ++i) {
    const auto refused =
        TryAcquire(limiter, limit, {1, 100, false}, {"h", 500, 0}, kStart + 1s);
    BOOST_REQUIRE((refused.verdict == limit_verdict::kExceeded));
    BOOST_TEST((refused.retry_after <= 7s));
  }
}

// The rate granted to a host that became unresponsive is not granted to others.
BOOST_AUTO_TEST_CASE(the_rate_of_an_unresponsive_host_is_reserved) {
  const auto limit = Limit(1000, 1000);
  limiter_state limiter = MakeLimiter(limit, true, kStart);
  const auto try_acquire = [&](const char* host, std::chrono::milliseconds at) {
    return TryAcquire(limiter, limit, {1, 100, true}, {host, 10, 0},
                      kStart + at)
               .verdict == limit_verdict::kGranted;
  };
  for (auto now = 400ms; now < 10s; now += 5ms) {
    try_acquire(now.count() % 20 < 10 ? "a" : "b", now);
    try_acquire(now.count() % 20 < 10 ? "b" : "a", now);
  }
  double granted = 0;
  for (auto now = 10s + 500ms; now < 12s + 500ms; now += 5ms)
    granted += try_acquire("a", now) ? 10 : 0;
  BOOST_TEST(granted >= 800);
  // Including the tokens accumulated during the preceding pause.
  BOOST_TEST(granted <= 1300);
  granted = 0;
  for (auto now = 16s + 0ms; now < 18s; now += 5ms)
    granted += try_acquire("a", now) ? 10 : 0;
  BOOST_TEST(granted >= 1900);
}

// A limit across 69 hosts, once large and once small, of a workspace that
// requests 7.5 times its typical load.
BOOST_AUTO_TEST_CASE(an_overloaded_workspace_uses_its_limit_and_no_more) {
  for (const double rate : {5000.0, 300'000.0}) {
    limit_scenario scenario;
    scenario.limit = Limit(rate, rate);
    scenario.typical_load = 0.45;
    scenario.overload = 7.5;
    const limit_outcome outcome = SimulateOwner(scenario);
    BOOST_TEST(outcome.worst_overrun <= 1.0);
    BOOST_TEST(outcome.used_when_overloaded >= 0.97);
    BOOST_TEST(outcome.refused_below_limit <= 0.005);
  }
}

// Whatever happens to the owner or between the hosts, no window of 8 s exceeds
// what operators allow.
BOOST_AUTO_TEST_CASE(no_fault_overruns_a_limit) {
  for (const limit_fault fault :
       {limit_fault::kThirdPartitioned, limit_fault::kOwnerKilled,
        limit_fault::kOwnerFrozen, limit_fault::kAllHostsRestarted}) {
    for (const int hosts : {69, 300}) {
      limit_scenario scenario;
      scenario.hosts = hosts;
      scenario.limit = Limit(100'000, 100'000);
      scenario.overload = 7.5;
      scenario.fault = fault;
      BOOST_TEST(SimulateOwner(scenario).worst_overrun <= 1.0);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
