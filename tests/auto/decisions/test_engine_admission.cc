// SPDX-License-Identifier: MIT
#include "decisions/engine_admission.h"

#include <deque>

#include <boost/test/unit_test.hpp>

#include "decisions/server_cost.h"

namespace {

using namespace valeledge::decisions;
using namespace std::chrono_literals;
using milliseconds = std::chrono::duration<double, std::milli>;

engine_candidate Engine(milliseconds response_in, milliseconds prompt_backlog) {
  engine_candidate engine;
  engine.objective = 400ms;
  engine.response_in = response_in;
  engine.prompt_backlog = prompt_backlog;
  engine.max_event_gap = 250ms;
  engine.recheck_interval = 15ms;
  return engine;
}

BOOST_AUTO_TEST_SUITE(engine_admission)

BOOST_AUTO_TEST_CASE(a_free_engine_is_used_at_once) {
  BOOST_TEST((DecideAdmission(Engine(40ms, 0ms)) == admission_decision::kSend));
}

// A request is refused as soon as it is known to be late, not after waiting.
BOOST_AUTO_TEST_CASE(late_requests_are_refused_at_once) {
  BOOST_TEST(
      (DecideAdmission(Engine(500ms, 450ms)) == admission_decision::kRefuse));
}

BOOST_AUTO_TEST_CASE(a_request_waits_only_as_long_as_it_is_in_time) {
  engine_candidate engine = Engine(120ms, 80ms);
  BOOST_TEST((DecideAdmission(engine) == admission_decision::kWait));
  engine.waited = 270ms;
  BOOST_TEST((DecideAdmission(engine) == admission_decision::kSend));
  engine.waited = 300ms;
  BOOST_TEST((DecideAdmission(engine) == admission_decision::kRefuse));
}

// A late response is better than a refusal for a caller that cannot come back,
// as long as it waits.
BOOST_AUTO_TEST_CASE(a_request_that_cannot_come_back_is_served_late) {
  engine_candidate engine = Engine(500ms, 450ms);
  engine.refusable = false;
  engine.patience = 1000ms;
  BOOST_TEST((DecideAdmission(engine) == admission_decision::kWait));
  engine.waited = 990ms;
  BOOST_TEST((DecideAdmission(engine) == admission_decision::kSend));
}

// One of 48 slots becomes free after a 48th of a response time, not after a
// whole one: a full engine responds within an objective of 400 ms.
BOOST_AUTO_TEST_CASE(a_full_engine_is_no_reason_to_refuse) {
  server_candidate candidate;
  candidate.slots = 48;
  candidate.running = 48;
  request_weight weight;
  weight.prompt_tokens = 800;
  weight.time_per_token = milliseconds(0.025);
  BOOST_TEST(ExpectedWait(candidate, weight).count() < 200);
  candidate.running = 96;
  BOOST_TEST(ExpectedWait(candidate, weight).count() > 1000);
}

// A burst of 1.7 times the read capacity of one engine for 2 s: admitted
// requests are on time, refused ones are refused within the objective, and most
// of the capacity is used. Without refusals all but the first requests would be
// late.
BOOST_AUTO_TEST_CASE(a_burst_is_served_up_to_capacity) {
  constexpr auto kReadTime = 20ms;
  constexpr auto kArrivalInterval = 12ms;
  milliseconds busy_until{0};
  int on_time = 0;
  int refused = 0;
  std::deque<milliseconds> waiting;
  for (milliseconds now{0}; now < 2000ms; now += milliseconds(3)) {
    if (static_cast<int>(now.count()) % kArrivalInterval.count() == 0)
      waiting.push_back(now);
    std::deque<milliseconds> still;
    for (const milliseconds arrived : waiting) {
      const milliseconds ahead = std::max(busy_until - now, milliseconds(0));
      engine_candidate engine = Engine(ahead + kReadTime, ahead);
      engine.waited =
          std::chrono::ceil<std::chrono::milliseconds>(now - arrived);
      switch (DecideAdmission(engine)) {
        case admission_decision::kWait:
          still.push_back(arrived);
          break;
        case admission_decision::kRefuse:
          BOOST_TEST((now - arrived).count() <= 400);
          ++refused;
          break;
        case admission_decision::kSend:
          busy_until = std::max(busy_until, now) + kReadTime;
          BOOST_TEST((busy_until - arrived).count() <= 440);
          ++on_time;
          break;
      }
    }
    waiting = std::move(still);
  }
  BOOST_TEST(on_time >= 90);
  BOOST_TEST(refused > 30);
}

// Guards against a request that is sent behind a backlog although its caller
// would wait, so that urgent streams pause.
BOOST_AUTO_TEST_CASE(a_request_waits_as_long_as_its_caller) {
  engine_candidate engine;
  engine.waited = 3000ms;
  engine.objective = 1000ms;
  engine.response_in = 500ms;
  engine.prompt_backlog = 300ms;
  engine.max_event_gap = 400ms;
  engine.recheck_interval = 15ms;
  engine.refusable = false;
  engine.patience = 2000ms;
  BOOST_TEST((DecideAdmission(engine) == admission_decision::kSend));
  engine.patience = 8000ms;
  BOOST_TEST((DecideAdmission(engine) == admission_decision::kWait));
  engine.waited = 7500ms;
  BOOST_TEST((DecideAdmission(engine) == admission_decision::kSend));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
