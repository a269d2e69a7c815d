// SPDX-License-Identifier: MIT
#include "decisions/limit_queue.h"

#include <limits>
#include <map>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "limit_load.h"

namespace {

using namespace valeledge;
using namespace valeledge::decisions;
using namespace valeledge::test;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

const base::time_point kStart = base::time_point() + 1h;

constexpr token_wait kUrgent{1, 80ms};
constexpr token_wait kPatient{2, 4000ms};

// A limit of 1,000 tokens per second with a burst of 1,000, and its queue.
struct owned_limit {
  owned_limit() {
    limit.unit = catalog::limit_unit::kTokens;
    limit.rate = 1000;
    limit.burst = 1000;
    limiter = MakeLimiter(limit, true, kStart - 10s);
    Refill(limiter, limit, members, kStart);
    limiter.bucket.level = 0;
  }

  // Returns the number of a request that waits; 0 if it was decided at once.
  // Each is of another host, since hosts that send many requests and then none
  // count as unresponsive.
  std::int64_t Ask(double cost, const token_wait& wait, milliseconds at) {
    const limit_request request{std::to_string(++hosts), cost, 0};
    const auto number =
        Enqueue(queue, limiter, limit, members, request, wait, kStart + at);
    if (!number)
      refused = number.error();
    Serve(at);
    return number.value_or(0);
  }

  void Serve(milliseconds at) {
    for (const auto& [number, decision] :
         ServeQueue(queue, limiter, limit, members, kStart + at)) {
      decided[number] = {at, decision};
    }
  }

  // Serves the queue every millisecond.
  void ServeUntil(milliseconds begin, milliseconds end) {
    for (auto at = begin; at <= end; at += 1ms)
      Serve(at);
  }

  bool IsGranted(std::int64_t number) const {
    const auto found = decided.find(number);
    return found != decided.end() &&
           found->second.second.verdict == limit_verdict::kGranted;
  }

  catalog::workspace_limit limit;
  limit_members members{1, 1, true, true};
  limiter_state limiter;
  limit_queue queue;
  int hosts = 0;
  limit_decision refused;
  std::map<std::int64_t, std::pair<milliseconds, limit_decision>> decided;
};

// The first deployment's routes; both cost 9,190 tokens.
limit_load_route Urgent(double tokens_per_second) {
  return {1, 800ms, 6s, 9190, tokens_per_second};
}

limit_load_route Patient(double tokens_per_second) {
  return {2, 8s, 12s, 9190, tokens_per_second};
}

struct both_plays {
  limit_load_outcome with_queue;
  limit_load_outcome without;
};

both_plays Play(limit_load load) {
  both_plays out;
  out.with_queue = PlayLimitLoad(load);
  load.has_queue = false;
  out.without = PlayLimitLoad(load);
  for (const auto& [name, outcome] : {std::pair("with", &out.with_queue),
                                      std::pair("without", &out.without)}) {
    for (const limit_load_result& each : outcome->routes) {
      BOOST_TEST_MESSAGE(name << " the queue: asked " << each.asked
                              << ", granted " << each.GrantedShare()
                              << ", refused at once " << each.refused_at_once
                              << ", after waiting " << each.refused_later
                              << ", used " << outcome->used << ", worst window "
                              << outcome->worst_window);
    }
    BOOST_TEST(outcome->worst_window <= 1);
    BOOST_TEST(outcome->used >= 0.97);
  }
  return out;
}

BOOST_AUTO_TEST_SUITE(limit_queues)

BOOST_AUTO_TEST_CASE(urgent_requests_are_granted_before_patient_ones) {
  owned_limit here;
  const auto patient = here.Ask(100, kPatient, 0ms);
  const auto urgent = here.Ask(50, kUrgent, 10ms);
  BOOST_TEST(patient != 0);
  BOOST_TEST(urgent != 0);
  here.ServeUntil(10ms, 1000ms);
  BOOST_REQUIRE(here.IsGranted(patient));
  BOOST_REQUIRE(here.IsGranted(urgent));
  BOOST_TEST((here.decided[urgent].first == 50ms));
  BOOST_TEST((here.decided[patient].first >= 150ms));
}

BOOST_AUTO_TEST_CASE(requests_of_one_priority_are_granted_by_deadline) {
  owned_limit here;
  const auto first = here.Ask(100, {2, 4000ms}, 0ms);
  const auto second = here.Ask(100, {2, 4000ms}, 1ms);
  const auto sooner = here.Ask(100, {2, 2000ms}, 2ms);
  here.ServeUntil(2ms, 1000ms);
  BOOST_REQUIRE(here.IsGranted(first));
  BOOST_REQUIRE(here.IsGranted(second));
  BOOST_REQUIRE(here.IsGranted(sooner));
  BOOST_TEST((here.decided[sooner].first < here.decided[first].first));
  BOOST_TEST((here.decided[first].first < here.decided[second].first));
}

// A small request would otherwise take the tokens that a large one waits for.
BOOST_AUTO_TEST_CASE(a_new_request_does_not_overtake_a_waiting_one) {
  owned_limit here;
  const auto large = here.Ask(500, kPatient, 0ms);
  const auto small = here.Ask(1, kPatient, 100ms);
  BOOST_TEST(large != 0);
  BOOST_TEST(small != 0);
  here.ServeUntil(100ms, 499ms);
  BOOST_TEST(here.decided.empty());
  here.ServeUntil(500ms, 502ms);
  BOOST_TEST(here.IsGranted(large));
  BOOST_TEST(here.IsGranted(small));
}

BOOST_AUTO_TEST_CASE(a_new_request_makes_no_waiting_one_of_its_priority_late) {
  owned_limit here;
  const auto first = here.Ask(900, {2, 1000ms}, 0ms);
  BOOST_TEST(first != 0);
  // Its deadline is earlier, and there are tokens for one of them only.
  BOOST_TEST(here.Ask(200, {2, 900ms}, 10ms) == 0);
  BOOST_TEST((here.refused.verdict == limit_verdict::kExceeded));
  here.ServeUntil(10ms, 1000ms);
  BOOST_TEST(here.IsGranted(first));
}

BOOST_AUTO_TEST_CASE(what_cannot_be_granted_in_time_is_refused_at_once) {
  owned_limit here;
  BOOST_TEST(here.Ask(100, kUrgent, 0ms) == 0);
  BOOST_TEST((here.refused.verdict == limit_verdict::kExceeded));
  BOOST_TEST((here.refused.retry_after >= 100ms));
  BOOST_TEST(here.Ask(100, {1, 0ms}, 0ms) == 0);
}

BOOST_AUTO_TEST_CASE(a_refused_request_learns_when_there_are_tokens_for_it) {
  owned_limit here;
  for (int i = 0; i < 4; ++i)
    BOOST_TEST(here.Ask(1000, kPatient, 0ms) != 0);
  BOOST_TEST(here.Ask(1000, kPatient, 0ms) == 0);
  // There are tokens for it behind the four that wait.
  BOOST_TEST((here.refused.retry_after >= 5s));
  BOOST_TEST((here.refused.retry_after <= 6s));
}

// Callers that come back at the time that they were told are not refused again.
BOOST_AUTO_TEST_CASE(refused_callers_find_tokens_when_they_come_back) {
  owned_limit here;
  std::multimap<milliseconds, int> retries;
  for (int i = 0; i < 100; ++i) {
    if (here.Ask(100, kPatient, 0ms) == 0)
      retries.emplace(here.refused.retry_after, i);
  }
  BOOST_TEST(retries.size() == 60u);
  BOOST_TEST((retries.rbegin()->first <= 10'200ms));
  std::vector<std::int64_t> numbers;
  for (auto at = 0ms; at <= 15s; at += 1ms) {
    here.Serve(at);
    const auto [begin, end] = retries.equal_range(at);
    // One at a time, in the order in which they were refused.
    BOOST_TEST(std::distance(begin, end) <= 1);
    for (auto each = begin; each != end; ++each)
      numbers.push_back(here.Ask(100, {2, 200ms}, at));
  }
  for (const std::int64_t number : numbers)
    BOOST_TEST(here.IsGranted(number));
}

// A limit that is lowered leaves a queue that is far too long for it.
BOOST_AUTO_TEST_CASE(waiting_requests_that_no_longer_fit_are_refused_at_once) {
  owned_limit here;
  std::vector<std::int64_t> numbers;
  for (int i = 0; i < 20; ++i)
    numbers.push_back(here.Ask(200, kPatient, 0ms));
  here.limit.rate = 250;
  here.Serve(1ms);
  BOOST_TEST(here.queue.waiting.size() == 5u);
  for (std::size_t i = 5; i < numbers.size(); ++i) {
    BOOST_REQUIRE(here.decided.contains(numbers[i]));
    const auto& decision = here.decided[numbers[i]].second;
    BOOST_TEST((decision.verdict == limit_verdict::kExceeded));
    BOOST_TEST((decision.retry_after >= 4s));
  }
  here.ServeUntil(1ms, 4s);
  for (std::size_t i = 0; i < 4; ++i)
    BOOST_TEST(here.IsGranted(numbers[i]));
}

// A host that was suspended grants nothing to requests whose hosts have asked
// another owner meanwhile.
BOOST_AUTO_TEST_CASE(overdue_requests_are_refused_before_any_are_granted) {
  owned_limit here;
  const auto overdue = here.Ask(500, kPatient, 0ms);
  const auto waiting = here.Ask(900, {2, 9000ms}, 0ms);
  here.Serve(4100ms);
  BOOST_TEST(here.decided.contains(overdue));
  BOOST_TEST(!here.IsGranted(overdue));
  BOOST_TEST(here.IsGranted(waiting));
}

BOOST_AUTO_TEST_CASE(a_new_owner_lets_patient_requests_wait_until_it_grants) {
  owned_limit here;
  here.limiter = MakeLimiter(here.limit, false, kStart);
  BOOST_TEST(here.Ask(10, kUrgent, 0ms) == 0);
  BOOST_TEST((here.refused.verdict == limit_verdict::kNotOwned));
  const auto patient = here.Ask(10, kPatient, 0ms);
  BOOST_TEST(patient != 0);
  here.ServeUntil(0ms, 349ms);
  BOOST_TEST(here.decided.empty());
  here.ServeUntil(350ms, 400ms);
  BOOST_TEST(here.IsGranted(patient));
}

// A new owner grants little until membership has converged. Guards against
// refusals, at once or after a wait, that are based on this rate.
BOOST_AUTO_TEST_CASE(a_new_owner_refuses_nothing_that_the_limit_has_room_for) {
  owned_limit here;
  here.limiter = MakeLimiter(here.limit, false, kStart);
  here.members = {1, 100, false, false};
  std::vector<std::int64_t> numbers;
  for (auto at = 1000ms; at < 2000ms; at += 100ms)
    numbers.push_back(here.Ask(50, kPatient, at));
  here.ServeUntil(2s, 3990ms);
  // Grants are not based on the expected rate.
  BOOST_TEST(here.limiter.granted <= 100);
  here.ServeUntil(3990ms, 5s);
  for (const std::int64_t number : numbers)
    BOOST_TEST(here.IsGranted(number));
}

// Guards against one request, whose caller states any cost, that counts as
// demand far above the limit for a minute.
BOOST_AUTO_TEST_CASE(a_huge_request_does_not_block_patient_ones) {
  for (const bool is_direct : {false, true}) {
    owned_limit here;
    if (is_direct)
      RecordDirectDemand(here.queue, here.limit, 1e8, kStart);
    else
      here.Ask(1e8, kUrgent, 0ms);
    // The bucket is almost empty, so that the wait depends on the demand.
    const auto patient = here.Ask(100, kPatient, 100ms);
    BOOST_TEST(patient != 0);
    here.ServeUntil(100ms, 4s);
    BOOST_TEST(here.IsGranted(patient));
  }
}

// What is refunded goes to the next request that waits.
BOOST_AUTO_TEST_CASE(refunded_tokens_are_granted_to_waiting_requests) {
  owned_limit here;
  const auto waiting = here.Ask(800, kPatient, 0ms);
  Release(here.limiter, 800);
  here.Serve(1ms);
  BOOST_TEST(here.IsGranted(waiting));
}

BOOST_AUTO_TEST_CASE(a_request_above_the_burst_waits_for_a_full_bucket) {
  owned_limit here;
  const auto large = here.Ask(1500, kPatient, 0ms);
  BOOST_TEST(large != 0);
  here.ServeUntil(0ms, 999ms);
  BOOST_TEST(here.decided.empty());
  here.ServeUntil(1000ms, 1001ms);
  BOOST_TEST(here.IsGranted(large));
  BOOST_TEST(here.limiter.bucket.level < 0);
}

// Older hosts are decided at once, and thus before everything that waits.
BOOST_AUTO_TEST_CASE(direct_demand_counts_as_more_urgent) {
  owned_limit here;
  for (auto at = 0ms; at < 10s; at += 10ms) {
    RecordDirectDemand(here.queue, here.limit, 20, kStart + at);
    TryAcquire(here.limiter, here.limit, here.members, {"old", 20, 0},
               kStart + at);
  }
  // It alone exceeds the limit.
  BOOST_TEST(here.Ask(10, kPatient, 10s) == 0);
  BOOST_TEST((here.refused.retry_after == 30s));
}

BOOST_AUTO_TEST_CASE(
    the_queue_is_served_when_its_first_request_can_be_granted) {
  owned_limit here;
  BOOST_TEST(!NextServing(here.queue, here.limiter, kStart).has_value());
  here.Ask(60, kPatient, 0ms);
  BOOST_TEST((*NextServing(here.queue, here.limiter, kStart) == kStart + 60ms));
  here.Ask(500, kPatient, 0ms);
  here.Serve(60ms);
  // Demand changes meanwhile.
  BOOST_TEST((*NextServing(here.queue, here.limiter, kStart + 60ms) ==
              kStart + 160ms));
}

BOOST_AUTO_TEST_CASE(statements_that_cannot_be_valid_count_as_absent) {
  constexpr auto kMax = std::numeric_limits<std::int64_t>::max();
  constexpr auto kMin = std::numeric_limits<std::int64_t>::min();
  BOOST_TEST(ReadTokenWait(0, 0).has_value());
  BOOST_TEST(ReadTokenWait(1000, 30'000).has_value());
  BOOST_TEST((ReadTokenWait(2, 4000)->patience == 4s));
  BOOST_TEST(!ReadTokenWait({}, 80).has_value());
  BOOST_TEST(!ReadTokenWait(1, {}).has_value());
  for (const std::int64_t bad : {kMin, std::int64_t{-1}, kMax})
    BOOST_TEST(!ReadTokenWait(bad, 80).has_value());
  for (const std::int64_t bad :
       {kMin, std::int64_t{-1}, std::int64_t{30'001}, kMax})
    BOOST_TEST(!ReadTokenWait(1, bad).has_value());
}

// Guards against waits that differ by more than the time that is left.
BOOST_AUTO_TEST_CASE(the_time_left_bounds_how_long_a_request_waits) {
  BOOST_TEST((MaxTokenWait(8s) == 4s));
  BOOST_TEST((MaxTokenWait(1s) == 500ms));
  BOOST_TEST((MaxTokenWait(990ms) == 495ms));
  BOOST_TEST((MaxTokenWait(20ms) == 10ms));
  BOOST_TEST((MaxTokenWait(-5ms) == 0ms));
  BOOST_TEST((MaxTokenWait(24h) == 30s));
}

BOOST_AUTO_TEST_SUITE_END()

// One workspace asks for 0.4 to 0.8 million tokens per second, and its limit is
// lowered from 548,813 to 152,449.
BOOST_AUTO_TEST_SUITE(an_exhausted_limit)

BOOST_AUTO_TEST_CASE(serves_urgent_requests_first) {
  const double asked[][2] = {
      {60e3, 340e3}, {100e3, 300e3}, {100e3, 700e3}, {120e3, 480e3}};
  for (const auto& [urgent, patient] : asked) {
    BOOST_TEST_CONTEXT(urgent << " urgent, " << patient << " patient") {
      const both_plays out =
          Play({.routes = {Urgent(urgent), Patient(patient)}});
      const auto& with_queue = out.with_queue.routes;
      BOOST_TEST(with_queue[0].GrantedShare() >= 0.97);
      BOOST_TEST(out.without.routes[0].GrantedShare() <= 0.5);
      // The limit is used up: patient requests get what remains. They get it
      // within the time that they can wait, and the rest is refused at once.
      BOOST_TEST(with_queue[1].granted_late == 0);
      const auto waited_in_vain = static_cast<double>(
          with_queue[0].refused_later + with_queue[1].refused_later);
      BOOST_TEST(waited_in_vain <=
                 0.01 * static_cast<double>(with_queue[1].asked) + 5);
    }
  }
}

BOOST_AUTO_TEST_CASE(grants_patient_requests_nothing_if_urgent_ones_exceed_it) {
  for (const double total : {400e3, 800e3}) {
    BOOST_TEST_CONTEXT(total) {
      // Four fifths are urgent, as on the first deployment.
      const both_plays out =
          Play({.routes = {Urgent(0.8 * total), Patient(0.2 * total)}});
      const auto& with_queue = out.with_queue.routes;
      BOOST_TEST(with_queue[0].GrantedShare() >=
                 0.95 * 152'449 / (0.8 * total));
      BOOST_TEST(with_queue[0].GrantedShare() >
                 1.15 * out.without.routes[0].GrantedShare());
      BOOST_TEST(with_queue[1].GrantedShare() <= 0.01);
      // They are told so at once.
      BOOST_TEST(with_queue[1].refused_later == 0);
    }
  }
}

// Objectives alone distinguish requests if all routes have one priority.
BOOST_AUTO_TEST_CASE(serves_urgent_requests_first_within_one_priority) {
  limit_load load;
  load.routes = {Urgent(100e3), Patient(300e3)};
  load.routes[1].priority = load.routes[0].priority;
  const both_plays out = Play(load);
  BOOST_TEST(out.with_queue.routes[0].GrantedShare() >= 0.95);
}

BOOST_AUTO_TEST_CASE(below_the_limit_nothing_is_refused) {
  limit_load load;
  load.routes = {Urgent(60e3), Patient(40e3)};
  const auto out = PlayLimitLoad(load);
  for (const limit_load_result& each : out.routes) {
    BOOST_TEST(each.GrantedShare() >= 0.99);
    BOOST_TEST(each.refused_later == 0);
  }
}

// Tokens that are kept for urgent requests are not kept from patient ones for
// longer than these can wait.
BOOST_AUTO_TEST_CASE(close_to_the_limit_patient_requests_are_still_granted) {
  limit_load load;
  load.routes = {Urgent(100e3), Patient(40e3)};
  const auto out = PlayLimitLoad(load);
  BOOST_TEST(out.routes[0].GrantedShare() >= 0.99);
  BOOST_TEST(out.routes[1].GrantedShare() >= 0.97);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
