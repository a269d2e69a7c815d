// SPDX-License-Identifier: MIT
#include "decisions/engine_admission.h"

#include <deque>

#include <boost/test/unit_test.hpp>

#include "decisions/server_cost.h"

namespace {

using namespace valeledge::decisions;
using namespace std::chrono_literals;
using milliseconds = std::chrono::duration<double, std::milli>;

engine_turn Turn(milliseconds answers_in, milliseconds reading_ahead) {
  engine_turn turn;
  turn.objective = 400ms;
  turn.answers_in = answers_in;
  turn.reading_ahead = reading_ahead;
  turn.event_gap = 250ms;
  turn.look_again = 15ms;
  return turn;
}

BOOST_AUTO_TEST_SUITE(engine_admission)

BOOST_AUTO_TEST_CASE(a_free_engine_is_used_at_once) {
  BOOST_TEST((DecideTurn(Turn(40ms, 0ms)) == turn_decision::kSend));
}

// It is refused as soon as that is known, and not after a part of its time.
BOOST_AUTO_TEST_CASE(what_would_be_late_is_refused_at_once) {
  BOOST_TEST((DecideTurn(Turn(500ms, 450ms)) == turn_decision::kRefuse));
}

BOOST_AUTO_TEST_CASE(a_request_waits_only_as_long_as_it_is_in_time) {
  engine_turn turn = Turn(120ms, 80ms);
  BOOST_TEST((DecideTurn(turn) == turn_decision::kWait));
  turn.waited = 270ms;
  BOOST_TEST((DecideTurn(turn) == turn_decision::kSend));
  turn.waited = 300ms;
  BOOST_TEST((DecideTurn(turn) == turn_decision::kRefuse));
}

// A second refusal is the worst that a caller can get.
BOOST_AUTO_TEST_CASE(who_came_back_is_not_refused_for_being_late) {
  engine_turn turn = Turn(500ms, 450ms);
  turn.refusable = false;
  BOOST_TEST((DecideTurn(turn) == turn_decision::kWait));
  turn.waited = 990ms;
  BOOST_TEST((DecideTurn(turn) == turn_decision::kSend));
}

// A slot of 48 is free again after a 48th of an answer, not after a whole one:
// a full engine answers within an objective of 400 ms.
BOOST_AUTO_TEST_CASE(a_full_engine_is_no_reason_to_refuse) {
  server_offer offer;
  offer.slots = 48;
  offer.running = 48;
  request_weight weight;
  weight.prompt_tokens = 800;
  weight.per_token = milliseconds(0.025);
  BOOST_TEST(ExpectedWait(offer, weight).count() < 200);
  offer.running = 96;
  BOOST_TEST(ExpectedWait(offer, weight).count() > 1000);
}

// A burst of 1.7 times what one engine reads, for two seconds: whoever is
// admitted is on time, whoever is not hears so at once, and most of what can be
// read is served. Refusing nobody would make all but the first late.
BOOST_AUTO_TEST_CASE(a_burst_is_served_as_far_as_it_fits) {
  constexpr auto kReading = 20ms;
  constexpr auto kApart = 12ms;
  milliseconds busy_until{0};
  int on_time = 0;
  int refused = 0;
  std::deque<milliseconds> waiting;
  for (milliseconds now{0}; now < 2000ms; now += milliseconds(3)) {
    if (static_cast<int>(now.count()) % kApart.count() == 0)
      waiting.push_back(now);
    std::deque<milliseconds> still;
    for (const milliseconds arrived : waiting) {
      const milliseconds ahead = std::max(busy_until - now, milliseconds(0));
      engine_turn turn = Turn(ahead + kReading, ahead);
      turn.waited = std::chrono::ceil<std::chrono::milliseconds>(now - arrived);
      switch (DecideTurn(turn)) {
        case turn_decision::kWait:
          still.push_back(arrived);
          break;
        case turn_decision::kRefuse:
          BOOST_TEST((now - arrived).count() <= 400);
          ++refused;
          break;
        case turn_decision::kSend:
          busy_until = std::max(busy_until, now) + kReading;
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

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
