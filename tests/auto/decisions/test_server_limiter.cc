// SPDX-License-Identifier: MIT
// What all hosts together send to a server that advertises a limit, in virtual
// time.
#include "decisions/server_limiter.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace {

using namespace valeledge;
using namespace valeledge::decisions;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

const base::time_point kStart = base::time_point() + 1h;
constexpr milliseconds kSpan = 60s;
constexpr milliseconds kStep = 10ms;
// A host that gets no reply, or one that grants nothing, asks again.
constexpr milliseconds kNoHolderPause = 250ms;
// What a permit takes to a host and its request to the server, at the most.
constexpr milliseconds kLongestDelay = 550ms;
constexpr std::int64_t kPriority = 1;

// One host that always has a request for the server.
struct host {
  base::time_point asks_at = kStart;
  base::time_point cut_until = kStart;
};

// A host that may grant permits, as it believes.
struct holder {
  server_limiter limiter;
  base::time_point from;
  base::time_point until;
};

enum class trouble {
  kNone,
  // The holder is replaced: by another host after the lease has lapsed, or by a
  // new process of the same host at once.
  kHolderLost,
  kHolderRestarts,
  // The holder is frozen beyond its lease, and goes on when another has it.
  kHolderFrozen,
  // A half of the hosts cannot reach the holder for some seconds.
  kHalfCut,
  // Hosts that know nothing appear all the time in the place of others.
  kHostsRestart,
};

constexpr trouble kTroubles[] = {
    trouble::kNone,         trouble::kHolderLost, trouble::kHolderRestarts,
    trouble::kHolderFrozen, trouble::kHalfCut,    trouble::kHostsRestart};

// The terms of all holders, none of which overlap: the lease sees to that.
std::vector<holder> Holders(trouble which, double rate) {
  std::vector<holder> out;
  const milliseconds term = which == trouble::kNone ? kSpan : milliseconds(5s);
  milliseconds gap = 0ms;
  if (which == trouble::kHolderLost || which == trouble::kHolderFrozen)
    gap = 3s;
  if (which == trouble::kHolderRestarts)
    gap = 50ms;
  for (auto from = kStart; from < kStart + kSpan; from += term + gap) {
    holder next{MakeServerLimiter(rate, from), from, from + term};
    out.push_back(next);
  }
  return out;
}

holder* HolderAt(std::vector<holder>& holders, base::time_point now) {
  for (holder& each : holders) {
    if (now >= each.from && now < each.until)
      return &each;
  }
  return nullptr;
}

void Disturb(std::vector<host>& fleet,
             trouble which,
             base::time_point now,
             std::mt19937_64& random) {
  const bool is_second = (now - kStart) % milliseconds(1s) == milliseconds(0);
  if (!is_second)
    return;
  std::bernoulli_distribution half(0.5);
  for (host& each : fleet) {
    if (which == trouble::kHalfCut && half(random))
      each.cut_until = now + 3s;
    if (which == trouble::kHostsRestart && half(random))
      each = {now, now};
  }
}

// All moments at which the server gets a request.
std::vector<base::time_point> Play(std::int64_t hosts,
                                   double rate,
                                   trouble which,
                                   std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::uniform_int_distribution<std::int64_t> delay(0, kLongestDelay.count());
  std::vector<host> fleet(static_cast<std::size_t>(hosts));
  std::vector<holder> holders = Holders(which, rate);
  std::vector<base::time_point> out;
  for (auto now = kStart; now < kStart + kSpan; now += kStep) {
    Disturb(fleet, which, now, random);
    holder* granting = HolderAt(holders, now);
    for (host& each : fleet) {
      if (now < each.asks_at || now < each.cut_until)
        continue;
      permit_verdict verdict{false, kNoHolderPause};
      if (granting != nullptr)
        verdict = TryAcquirePermit(granting->limiter, kPriority, now);
      if (verdict.granted)
        out.push_back(now + milliseconds(delay(random)));
      each.asks_at = now + verdict.retry_after;
    }
  }
  std::ranges::sort(out);
  return out;
}

std::int64_t MostIn(const std::vector<base::time_point>& arrivals,
                    milliseconds window) {
  std::int64_t most = 0;
  for (std::size_t first = 0, last = 0; last < arrivals.size(); ++last) {
    while (arrivals[last] - arrivals[first] >= window)
      ++first;
    most = std::max(most, static_cast<std::int64_t>(last - first + 1));
  }
  return most;
}

BOOST_AUTO_TEST_SUITE(server_limiters)

// The users' rule for any 4 s: one and a half times the limit and 5 requests.
BOOST_AUTO_TEST_CASE(
    a_servers_limit_is_not_overrun_by_all_hosts_in_any_trouble) {
  for (const std::int64_t hosts : {8, 69, 985}) {
    for (const double rate : {0.0, 0.1, 1.0, 2.3, 7.0, 50.0}) {
      const auto allowed = static_cast<std::int64_t>(1.5 * 4 * rate + 5);
      for (const trouble which : kTroubles) {
        const auto arrivals = Play(hosts, rate, which, 11);
        BOOST_TEST_CONTEXT(hosts << " hosts, limit " << rate << ", trouble "
                                 << static_cast<int>(which))
        BOOST_TEST(MostIn(arrivals, 4s) <= allowed);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(nine_tenths_of_a_limit_are_used_while_all_is_calm) {
  for (const std::int64_t hosts : {8, 69, 985}) {
    for (const double rate : {1.0, 2.3, 7.0, 50.0}) {
      const auto arrivals = Play(hosts, rate, trouble::kNone, 11);
      const double seconds = std::chrono::duration<double>(kSpan).count();
      BOOST_TEST_CONTEXT(hosts << " hosts, limit " << rate)
      BOOST_TEST(static_cast<double>(arrivals.size()) >= 0.9 * rate * seconds);
    }
  }
}

// Hosts that are refused do not all ask again at once.
BOOST_AUTO_TEST_CASE(refused_hosts_ask_a_bounded_number_of_times) {
  for (const std::int64_t hosts : {8, 69, 985}) {
    server_limiter limiter = MakeServerLimiter(1, kStart);
    std::vector<host> fleet(static_cast<std::size_t>(hosts));
    std::int64_t asked = 0;
    for (auto now = kStart; now < kStart + kSpan; now += kStep) {
      for (host& each : fleet) {
        if (now < each.asks_at)
          continue;
        ++asked;
        each.asks_at =
            now + TryAcquirePermit(limiter, kPriority, now).retry_after;
      }
    }
    const double a_second = static_cast<double>(asked) / 60;
    BOOST_TEST_CONTEXT(hosts << " hosts")
    BOOST_TEST(a_second <= 5 + static_cast<double>(hosts) / 4);
  }
}

BOOST_AUTO_TEST_CASE(a_new_limiter_has_no_permit_until_one_is_due) {
  server_limiter limiter = MakeServerLimiter(2, kStart);
  const auto first = TryAcquirePermit(limiter, kPriority, kStart);
  BOOST_TEST(!first.granted);
  BOOST_TEST((first.retry_after >= 500ms));
  BOOST_TEST(TryAcquirePermit(limiter, kPriority, kStart + 500ms).granted);
}

BOOST_AUTO_TEST_CASE(a_limit_of_zero_lets_one_request_in_ten_seconds_through) {
  const auto arrivals = Play(8, 0, trouble::kNone, 11);
  BOOST_TEST(arrivals.size() >= 4u);
  BOOST_TEST(arrivals.size() <= 6u);
}

BOOST_AUTO_TEST_CASE(an_urgent_request_that_was_refused_goes_first) {
  server_limiter limiter = MakeServerLimiter(1, kStart);
  const auto urgent = TryAcquirePermit(limiter, 0, kStart + 900ms);
  BOOST_REQUIRE(!urgent.granted);
  BOOST_TEST(!TryAcquirePermit(limiter, 3, kStart + 1010ms).granted);
  BOOST_TEST(TryAcquirePermit(limiter, 0, kStart + 1020ms).granted);
}

BOOST_AUTO_TEST_CASE(what_an_urgent_request_leaves_goes_to_others) {
  server_limiter limiter = MakeServerLimiter(1, kStart);
  TryAcquirePermit(limiter, 0, kStart + 900ms);
  BOOST_TEST(TryAcquirePermit(limiter, 3, kStart + 4s).granted);
}

BOOST_AUTO_TEST_CASE(a_lowered_limit_holds_at_once) {
  server_limiter limiter = MakeServerLimiter(50, kStart);
  SetRate(limiter, 1, kStart + 10s);
  int granted = 0;
  for (int i = 0; i < 100; ++i) {
    if (TryAcquirePermit(limiter, kPriority, kStart + 10s).granted)
      ++granted;
  }
  BOOST_TEST(granted == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
