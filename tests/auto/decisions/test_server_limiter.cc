// SPDX-License-Identifier: MIT
// Requests that all hosts together send to a server that advertises a limit, in
// simulated time.
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
// Delay before a host without a reply, or without a lease holder, retries.
constexpr milliseconds kNoLeaseHolderPause = 250ms;
// Maximum time for a permit to reach a host and for the request to reach the
// server.
constexpr milliseconds kMaxDelay = 550ms;
constexpr std::int64_t kPriority = 1;

// A host that always has a request for the server.
struct host {
  base::time_point next_request = kStart;
  base::time_point partitioned_until = kStart;
};

// A host that assumes it may grant permits.
struct lease_holder {
  server_limiter limiter;
  base::time_point from;
  base::time_point until;
};

enum class fault {
  kNone,
  // The lease holder is replaced: by another host after the lease has expired,
  // or by a new process of the same host immediately.
  kLeaseHolderLost,
  kLeaseHolderRestarts,
  // The lease holder is frozen beyond its lease and resumes when another host
  // has it.
  kLeaseHolderFrozen,
  // Half of the hosts cannot reach the lease holder for some seconds.
  kHalfPartitioned,
  // New hosts without any state continually replace others.
  kHostsRestart,
};

constexpr fault kFaults[] = {fault::kNone,
                             fault::kLeaseHolderLost,
                             fault::kLeaseHolderRestarts,
                             fault::kLeaseHolderFrozen,
                             fault::kHalfPartitioned,
                             fault::kHostsRestart};

// The terms of all lease holders. The lease ensures that none overlap.
std::vector<lease_holder> LeaseHolders(fault injected, double rate) {
  std::vector<lease_holder> out;
  const milliseconds term = injected == fault::kNone ? kSpan : milliseconds(5s);
  milliseconds gap = 0ms;
  if (injected == fault::kLeaseHolderLost ||
      injected == fault::kLeaseHolderFrozen)
    gap = 3s;
  if (injected == fault::kLeaseHolderRestarts)
    gap = 50ms;
  for (auto from = kStart; from < kStart + kSpan; from += term + gap) {
    lease_holder next{MakeServerLimiter(rate, from), from, from + term};
    out.push_back(next);
  }
  return out;
}

lease_holder* LeaseHolderAt(std::vector<lease_holder>& lease_holders,
                            base::time_point now) {
  for (lease_holder& each : lease_holders) {
    if (now >= each.from && now < each.until)
      return &each;
  }
  return nullptr;
}

void InjectFault(std::vector<host>& fleet,
                 fault injected,
                 base::time_point now,
                 std::mt19937_64& random) {
  const bool is_full_second =
      (now - kStart) % milliseconds(1s) == milliseconds(0);
  if (!is_full_second)
    return;
  std::bernoulli_distribution half(0.5);
  for (host& each : fleet) {
    if (injected == fault::kHalfPartitioned && half(random))
      each.partitioned_until = now + 3s;
    if (injected == fault::kHostsRestart && half(random))
      each = {now, now};
  }
}

// All times at which the server receives a request.
std::vector<base::time_point> Simulate(std::int64_t hosts,
                                       double rate,
                                       fault injected,
                                       std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::uniform_int_distribution<std::int64_t> delay(0, kMaxDelay.count());
  std::vector<host> fleet(static_cast<std::size_t>(hosts));
  std::vector<lease_holder> lease_holders = LeaseHolders(injected, rate);
  std::vector<base::time_point> out;
  for (auto now = kStart; now < kStart + kSpan; now += kStep) {
    InjectFault(fleet, injected, now, random);
    lease_holder* granting = LeaseHolderAt(lease_holders, now);
    for (host& each : fleet) {
      if (now < each.next_request || now < each.partitioned_until)
        continue;
      permit_verdict verdict{false, kNoLeaseHolderPause};
      if (granting != nullptr)
        verdict = TryAcquirePermit(granting->limiter, kPriority, now);
      if (verdict.granted)
        out.push_back(now + milliseconds(delay(random)));
      each.next_request = now + verdict.retry_after;
    }
  }
  std::ranges::sort(out);
  return out;
}

std::int64_t MaxInWindow(const std::vector<base::time_point>& arrivals,
                         milliseconds window) {
  std::int64_t max_count = 0;
  for (std::size_t first = 0, last = 0; last < arrivals.size(); ++last) {
    while (arrivals[last] - arrivals[first] >= window)
      ++first;
    max_count =
        std::max(max_count, static_cast<std::int64_t>(last - first + 1));
  }
  return max_count;
}

BOOST_AUTO_TEST_SUITE(server_limiters)

// The users' bound for any 4 s: 1.5 times the limit plus 5 requests.
BOOST_AUTO_TEST_CASE(
    a_servers_limit_is_not_overrun_by_all_hosts_under_any_fault) {
  for (const std::int64_t hosts : {8, 69, 985}) {
    for (const double rate : {0.0, 0.1, 1.0, 2.3, 7.0, 50.0}) {
      const auto allowed = static_cast<std::int64_t>(1.5 * 4 * rate + 5);
      for (const fault injected : kFaults) {
        const auto arrivals = Simulate(hosts, rate, injected, 11);
        BOOST_TEST_CONTEXT(hosts << " hosts, limit " << rate << ", fault "
                                 << static_cast<int>(injected))
        BOOST_TEST(MaxInWindow(arrivals, 4s) <= allowed);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(nine_tenths_of_a_limit_are_used_without_faults) {
  for (const std::int64_t hosts : {8, 69, 985}) {
    for (const double rate : {1.0, 2.3, 7.0, 50.0}) {
      const auto arrivals = Simulate(hosts, rate, fault::kNone, 11);
      const double seconds = std::chrono::duration<double>(kSpan).count();
      BOOST_TEST_CONTEXT(hosts << " hosts, limit " << rate)
      BOOST_TEST(static_cast<double>(arrivals.size()) >= 0.9 * rate * seconds);
    }
  }
}

// Refused hosts do not all retry at once.
BOOST_AUTO_TEST_CASE(refused_hosts_retry_a_bounded_number_of_times) {
  for (const std::int64_t hosts : {8, 69, 985}) {
    server_limiter limiter = MakeServerLimiter(1, kStart);
    std::vector<host> fleet(static_cast<std::size_t>(hosts));
    std::int64_t requested = 0;
    for (auto now = kStart; now < kStart + kSpan; now += kStep) {
      for (host& each : fleet) {
        if (now < each.next_request)
          continue;
        ++requested;
        each.next_request =
            now + TryAcquirePermit(limiter, kPriority, now).retry_after;
      }
    }
    const double per_second = static_cast<double>(requested) / 60;
    BOOST_TEST_CONTEXT(hosts << " hosts")
    BOOST_TEST(per_second <= 5 + static_cast<double>(hosts) / 4);
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
  const auto arrivals = Simulate(8, 0, fault::kNone, 11);
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

BOOST_AUTO_TEST_CASE(unused_urgent_permits_go_to_other_requests) {
  server_limiter limiter = MakeServerLimiter(1, kStart);
  TryAcquirePermit(limiter, 0, kStart + 900ms);
  BOOST_TEST(TryAcquirePermit(limiter, 3, kStart + 4s).granted);
}

BOOST_AUTO_TEST_CASE(a_lowered_limit_applies_immediately) {
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
