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

// One host asks an owner that has just started and sees a part of the others.
limit_answer Take(limiter_state& account,
                  const catalog::workspace_limit& limit,
                  double visible_fraction,
                  double count,
                  base::time_point now) {
  return TryAcquire(account, limit, {visible_fraction, 1, true},
                    {"h", count, 0}, now);
}

BOOST_AUTO_TEST_SUITE(workspace_limits)

BOOST_AUTO_TEST_CASE(requests_count_by_their_unit) {
  catalog::workspace_limit limit = Limit(100, 100);
  BOOST_TEST(CountOf(limit, 1540) == 1540);
  BOOST_TEST(CountOf(limit, {}) == 200);
  // No caller adds to its limit.
  BOOST_TEST(CountOf(limit, -5000) == 0);
  limit.unit = catalog::limit_unit::kRequests;
  BOOST_TEST(CountOf(limit, 1540) == 1);
}

BOOST_AUTO_TEST_CASE(an_owner_gives_rate_and_burst_once_it_has_settled) {
  const auto limit = Limit(1000, 2000);
  limiter_state account = MakeLimiter(limit, true, kStart);
  BOOST_TEST((Take(account, limit, 1, 100, kStart + 100ms).verdict ==
              limit_verdict::kNotOwned));
  double given = 0;
  for (auto now = 400ms; now < 10s; now += 1ms) {
    if (Take(account, limit, 1, 50, kStart + now).verdict ==
        limit_verdict::kGranted)
      given += 50;
  }
  // What it began with, and the rate since.
  BOOST_TEST(given <= 200 + 1000 * 10);
  BOOST_TEST(given >= 200 + 1000 * 9.9);
}

BOOST_AUTO_TEST_CASE(a_part_of_the_hosts_gets_that_part) {
  const auto limit = Limit(1000, 1000);
  limiter_state account = MakeLimiter(limit, true, kStart);
  double given = 0;
  for (auto now = 400ms; now < 8s; now += 1ms) {
    if (Take(account, limit, 0.25, 10, kStart + now).verdict ==
        limit_verdict::kGranted)
      given += 10;
  }
  BOOST_TEST(given <= 100 + 250 * 8);
}

BOOST_AUTO_TEST_CASE(a_request_above_the_burst_passes_when_nothing_else_does) {
  const auto limit = Limit(100, 500);
  limiter_state account = MakeLimiter(limit, true, kStart);
  BOOST_TEST((Take(account, limit, 1, 900, kStart + 400ms).verdict ==
              limit_verdict::kExceeded));
  BOOST_TEST((Take(account, limit, 1, 900, kStart + 10s).verdict ==
              limit_verdict::kGranted));
  BOOST_TEST((Take(account, limit, 1, 10, kStart + 13s).verdict ==
              limit_verdict::kExceeded));
}

BOOST_AUTO_TEST_CASE(a_lowered_limit_holds_from_then_on) {
  limiter_state account = MakeLimiter(Limit(1000, 8000), true, kStart);
  Take(account, Limit(1000, 8000), 1, 0, kStart + 9s);
  double given = 0;
  for (auto now = 9s + 0ms; now < 17s; now += 1ms) {
    if (Take(account, Limit(100, 100), 1, 10, kStart + now).verdict ==
        limit_verdict::kGranted)
      given += 10;
  }
  BOOST_TEST(given <= 100 + 100 * 8);
}

BOOST_AUTO_TEST_CASE(those_who_are_refused_come_back_one_after_the_other) {
  const auto limit = Limit(1000, 1000);
  limiter_state account = MakeLimiter(limit, true, kStart);
  const auto now = kStart + 5s;
  Take(account, limit, 1, 1000, now);
  auto last = 0ms;
  for (int i = 0; i < 20; ++i) {
    const auto refused = Take(account, limit, 1, 100, now);
    BOOST_REQUIRE((refused.verdict == limit_verdict::kExceeded));
    BOOST_TEST((refused.retry_after - last >= 100ms));
    last = refused.retry_after;
  }
  for (int i = 0; i < 2000; ++i)
    Take(account, limit, 1, 100, now);
  BOOST_TEST((Take(account, limit, 1, 100, now).retry_after <= 30s));
}

BOOST_AUTO_TEST_CASE(what_did_not_run_is_given_back) {
  const auto limit = Limit(1, 1000);
  limiter_state account = MakeLimiter(limit, true, kStart);
  account.bucket.level = 1000;
  const auto now = kStart + 1s;
  BOOST_TEST(
      (Take(account, limit, 1, 1000, now).verdict == limit_verdict::kGranted));
  Release(account, 1000);
  BOOST_TEST(
      (Take(account, limit, 1, 1000, now).verdict == limit_verdict::kGranted));
  Release(account, 50'000);
  BOOST_TEST(account.bucket.level <= 1000);
  Release(account, -1);
  BOOST_TEST(account.bucket.level == 1000);
}

BOOST_AUTO_TEST_CASE(without_its_owner_a_host_goes_on_for_a_moment) {
  limit_allowance allowance;
  BOOST_TEST(!TryAcquireWithoutOwner(allowance, 10, 0.5, kStart));
  for (auto now = 0ms; now < 10s; now += 10ms) {
    NoteRequest(allowance, kStart + now);
    NoteGranted(allowance, 10, kStart + now);
  }
  double given = 0;
  for (auto now = 10s + 0ms; now < 20s; now += 1ms)
    given += TryAcquireWithoutOwner(allowance, 10, 1, kStart + now) ? 10 : 0;
  // It was given 1,000 a second.
  BOOST_TEST(given >= 1900);
  BOOST_TEST(given <= 2100);
}

BOOST_AUTO_TEST_CASE(a_host_that_asks_seldom_goes_on_with_less) {
  limit_allowance allowance;
  for (auto now = 0ms; now < 10s; now += 500ms) {
    NoteRequest(allowance, kStart + now);
    NoteGranted(allowance, 500, kStart + now);
  }
  // It has its whole rate while the limit is not short.
  BOOST_TEST(UsualRate(allowance, kStart + 10s) >= 800);
  NoteExceeded(allowance, kStart + 10s);
  BOOST_TEST(UsualRate(allowance, kStart + 10s) <= 300);
  double given = 0;
  for (auto now = 10s + 0ms; now < 20s; now += 1ms)
    given += TryAcquireWithoutOwner(allowance, 10, 1, kStart + now) ? 10 : 0;
  BOOST_TEST(given >= 200);
  BOOST_TEST(given <= 350);
}

// A new owner gives what the hosts that come to it were given before, and no
// more, until it knows which hosts are there.
BOOST_AUTO_TEST_CASE(a_new_owner_gives_what_was_given_before) {
  const auto limit = Limit(1000, 2000);
  limiter_state account = MakeLimiter(limit, false, kStart);
  double given = 0;
  for (auto now = 0ms; now < 3s; now += 5ms) {
    if (TryAcquire(account, limit, {1, 100, false}, {"h", 10, 300},
                   kStart + now)
            .verdict == limit_verdict::kGranted) {
      given += 10;
    }
  }
  BOOST_TEST(given >= 0.8 * 300 * 3);
  BOOST_TEST(given <= 1.1 * 300 * 3);
}

// Nobody is sent away for longer than it takes until more may be given.
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

// What a host was given that has fallen silent is not given to others.
BOOST_AUTO_TEST_CASE(the_part_of_a_silent_host_is_kept_back) {
  const auto limit = Limit(1000, 1000);
  limiter_state account = MakeLimiter(limit, true, kStart);
  const auto ask = [&](const char* host, std::chrono::milliseconds at) {
    return TryAcquire(account, limit, {1, 100, true}, {host, 10, 0},
                      kStart + at)
               .verdict == limit_verdict::kGranted;
  };
  for (auto now = 400ms; now < 10s; now += 5ms) {
    ask(now.count() % 20 < 10 ? "a" : "b", now);
    ask(now.count() % 20 < 10 ? "b" : "a", now);
  }
  double given = 0;
  for (auto now = 10s + 500ms; now < 12s + 500ms; now += 5ms)
    given += ask("a", now) ? 10 : 0;
  BOOST_TEST(given >= 800);
  // With what came together in the pause before.
  BOOST_TEST(given <= 1300);
  given = 0;
  for (auto now = 16s + 0ms; now < 18s; now += 5ms)
    given += ask("a", now) ? 10 : 0;
  BOOST_TEST(given >= 1900);
}

// A limit over 69 hosts, of which a workspace with a large and one with a small
// limit ask for 7.5 times their usual.
BOOST_AUTO_TEST_CASE(a_hot_workspace_uses_its_limit_and_no_more) {
  for (const double rate : {5000.0, 300'000.0}) {
    limit_day day;
    day.limit = Limit(rate, rate);
    day.usual = 0.45;
    day.hot = 7.5;
    const limit_outcome seen = PlayOwner(day);
    BOOST_TEST(seen.worst_overrun <= 1.0);
    BOOST_TEST(seen.used_when_hot >= 0.97);
    BOOST_TEST(seen.refused_below <= 0.005);
  }
}

// What must hold whatever happens to the owner and between the hosts: never
// more than what operators allow in any window of 8 s.
BOOST_AUTO_TEST_CASE(no_trouble_overruns_a_limit) {
  for (const limit_trouble trouble :
       {limit_trouble::kCutThird, limit_trouble::kOwnerKilled,
        limit_trouble::kOwnerFrozen, limit_trouble::kAllRestarted}) {
    for (const int hosts : {69, 300}) {
      limit_day day;
      day.hosts = hosts;
      day.limit = Limit(100'000, 100'000);
      day.hot = 7.5;
      day.trouble = trouble;
      BOOST_TEST(PlayOwner(day).worst_overrun <= 1.0);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
