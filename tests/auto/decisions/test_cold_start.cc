// SPDX-License-Identifier: MIT
// Requests from all hosts together to a cold server, in virtual time.
#include "decisions/cold_start.h"

#include <algorithm>
#include <random>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace {

using namespace valeledge;
using namespace valeledge::decisions;
using namespace std::chrono_literals;

const base::time_point kStart = base::time_point() + 1h;

// The rate that a server tolerates and the limits on what it may receive, as
// stated by operators.
constexpr double kRate = 6.9;
constexpr double kOverloadFactor = 1.5;
constexpr std::int64_t kSlack = 5;

// A host that always has a request for the server.
struct host {
  cold_server server;
  cold_share share{kRate, 1, true};
  std::mt19937_64 random;
};

// Creates hosts that know the size of the fleet.
std::vector<host> Fleet(std::int64_t hosts, std::uint64_t seed) {
  std::vector<host> out(static_cast<std::size_t>(hosts));
  for (host& each : out) {
    each.share.hosts = hosts;
    each.random.seed(seed++);
  }
  return out;
}

// Returns all times at which the server receives a request while it is cold for
// `span`, including those of `allocators` that allocate its slots at the
// maximum rate.
std::vector<base::time_point> Arrivals(std::vector<host>& fleet,
                                       std::chrono::milliseconds span,
                                       int allocators) {
  std::vector<base::time_point> out;
  for (host& each : fleet)
    MarkCold(each.server, span, kStart);
  for (auto now = kStart; now < kStart + span; now += 10ms) {
    for (host& each : fleet) {
      if (TryStartColdSend(each.server, each.share, now, each.random))
        out.push_back(now);
    }
  }
  for (int allocator = 0; allocator < allocators; ++allocator) {
    for (auto at = kStart; at < kStart + span;
         at += ColdAllocationInterval(kRate))
      out.push_back(at);
  }
  std::ranges::sort(out);
  return out;
}

std::int64_t MaxPerSecond(const std::vector<base::time_point>& arrivals) {
  std::int64_t max_count = 0;
  for (std::size_t first = 0, last = 0; last < arrivals.size(); ++last) {
    while (arrivals[last] - arrivals[first] >= 1s)
      ++first;
    max_count =
        std::max(max_count, static_cast<std::int64_t>(last - first + 1));
  }
  return max_count;
}

BOOST_AUTO_TEST_SUITE(cold_starts)

BOOST_AUTO_TEST_CASE(the_request_rate_at_a_cold_server_stays_within_its_limit) {
  const auto bound =
      static_cast<std::int64_t>(kRate * kOverloadFactor) + kSlack;
  for (const std::int64_t hosts : {1, 7, 69, 985}) {
    std::int64_t worst = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      auto fleet = Fleet(hosts, seed * 10'000);
      worst = std::max(worst, MaxPerSecond(Arrivals(fleet, 4s, 2)));
    }
    BOOST_TEST_CONTEXT(hosts << " hosts")
    BOOST_TEST(worst <= bound);
  }
}

// A server that stays cold for long must still be used.
BOOST_AUTO_TEST_CASE(hosts_use_a_quarter_of_the_tolerated_rate) {
  auto fleet = Fleet(69, 5);
  const auto arrivals = Arrivals(fleet, 60s, 0);
  BOOST_TEST(arrivals.size() > 0.8 * 60 * kRate / 4);
}

BOOST_AUTO_TEST_CASE(a_host_that_has_just_started_sends_no_requests) {
  auto fleet = Fleet(69, 5);
  for (host& each : fleet)
    each.share = {kRate, 1, false};
  BOOST_TEST(Arrivals(fleet, 4s, 0).empty());
}

// The server states its remaining cold time with each update of its entry.
BOOST_AUTO_TEST_CASE(a_repeated_entry_does_not_reset_the_send_time) {
  auto fleet = Fleet(1, 5);
  host& one = fleet.front();
  one.share.hosts = 69;
  MarkCold(one.server, 60s, kStart);
  auto now = kStart;
  while (!TryStartColdSend(one.server, one.share, now, one.random))
    now += 10ms;
  MarkCold(one.server, 50s, now);
  BOOST_TEST(!TryStartColdSend(one.server, one.share, now + 10s, one.random));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
