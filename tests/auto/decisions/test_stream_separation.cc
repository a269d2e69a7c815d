// SPDX-License-Identifier: MIT
#include "decisions/stream_separation.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <deque>
#include <limits>
#include <numeric>
#include <random>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "decisions/engine_admission.h"
#include "decisions/read_pacing.h"
#include "decisions/server_cost.h"

namespace {

using namespace valeledge::decisions;
using namespace std::chrono_literals;
using milliseconds = std::chrono::duration<double, std::milli>;

constexpr auto kGap = 400ms;
constexpr double kNaN = std::numeric_limits<double>::quiet_NaN();

separated_request LongPrompt() {
  return {225ms, 225ms, 0, kGap, 800ms};
}

separated_request LongStream() {
  return {20ms, 225ms, 58, kGap, 500ms};
}

BOOST_AUTO_TEST_SUITE(separation_of_streams)

BOOST_AUTO_TEST_CASE(kinds_depend_on_the_speed_and_the_accepted_gap) {
  BOOST_TEST(IsLongPrompt(225ms, 1, kGap));
  BOOST_TEST(!IsLongPrompt(75ms, 1, kGap));
  BOOST_TEST(IsLongPrompt(75ms, 1.8, kGap));
  BOOST_TEST(!IsLongPrompt(225ms, 1, 0ms));
  BOOST_TEST(IsLongStream(58));
  BOOST_TEST(!IsLongStream(10));
  BOOST_TEST(!IsLongStream(0));
}

BOOST_AUTO_TEST_CASE(prefill_decays_within_the_duration_of_a_stream) {
  const valeledge::base::time_point start{};
  long_prefill prefill;
  AddLongPrefill(prefill, 200ms, start);
  AddLongPrefill(prefill, 200ms, start);
  BOOST_TEST(PrefillLevel(prefill, start).count() == 400);
  BOOST_TEST(PrefillLevel(prefill, start + 2s).count() == 400 / std::exp(1.0),
             boost::test_tools::tolerance(1e-9));
  AddLongPrefill(prefill, -PrefillLevel(prefill, start + 1s) - 1ms, start + 1s);
  BOOST_TEST(PrefillLevel(prefill, start + 1s).count() == 0);
  AddLongPrefill(prefill, milliseconds(kNaN), start + 1s);
  BOOST_TEST(PrefillLevel(prefill, start + 1s).count() == 0);
}

BOOST_AUTO_TEST_CASE(stream_lengths_are_learned_from_responses) {
  stream_length length;
  RecordStreamLength(length, 0);
  BOOST_TEST(!IsLongStream(length.events));
  RecordStreamLength(length, 58);
  BOOST_TEST(IsLongStream(length.events));
  for (int i = 0; i < 30; ++i)
    RecordStreamLength(length, 10);
  BOOST_TEST(!IsLongStream(length.events));
}

BOOST_AUTO_TEST_CASE(each_kind_costs_more_where_the_other_one_is) {
  const separated_engine idle;
  const separated_engine with_streams{10, 200ms, 1, 0ms, 0ms};
  const separated_engine with_prompts{0, 1200ms, 1, 0ms, 0ms};
  BOOST_TEST(SeparationCost(idle, LongPrompt()).count() == 0);
  BOOST_TEST(SeparationCost(idle, LongStream()).count() == 0);
  BOOST_TEST(SeparationCost(with_prompts, LongPrompt()).count() == 0);
  BOOST_TEST(SeparationCost(with_streams, LongPrompt()).count() > 100);
  BOOST_TEST(SeparationCost(with_prompts, LongStream()).count() > 100);
  BOOST_TEST(SeparationCost(with_streams, LongStream()) <
             SeparationCost(with_prompts, LongStream()));
  const separated_request short_one{20ms, 225ms, 10, kGap, 500ms};
  BOOST_TEST(SeparationCost(with_streams, short_one).count() == 0);
  BOOST_TEST(SeparationCost(with_prompts, short_one).count() == 0);
}

// One prompt of 225 ms does not exceed the gap, but takes 405 ms at an engine
// of 0.55 of the speed.
BOOST_AUTO_TEST_CASE(one_prompt_is_enough_at_a_slow_engine) {
  separated_engine engine{10, 20ms, 1, 0ms, 0ms};
  const auto usual = SeparationCost(engine, LongPrompt());
  engine.slowdown = 1.8;
  BOOST_TEST(SeparationCost(engine, LongPrompt()) > 2 * usual);
}

// Guards requests against becoming late because they avoid an engine.
BOOST_AUTO_TEST_CASE(the_cost_leaves_a_part_of_the_objective) {
  separated_engine engine{1000, 1200ms, 1.8, 0ms, 300ms};
  separated_request request = LongPrompt();
  BOOST_TEST(SeparationCost(engine, request).count() <= 375);
  request.time_left = 300ms;
  BOOST_TEST(SeparationCost(engine, request).count() == 0);
  request.time_left = milliseconds(kNaN);
  BOOST_TEST(SeparationCost(engine, request).count() == 0);
}

BOOST_AUTO_TEST_CASE(invalid_values_count_as_absent) {
  const double huge = std::numeric_limits<double>::infinity();
  for (const double bad : {-1.0, kNaN, huge, 1e12}) {
    BOOST_TEST(
        SeparationCost({bad, 200ms, 1, 0ms, 0ms}, LongPrompt()).count() == 0);
    BOOST_TEST(SeparationCost({5, milliseconds(bad), 1, 0ms, 0ms}, LongStream())
                   .count() == 0);
    BOOST_TEST(SeparationCost({5, 200ms, bad, 0ms, 0ms}, LongPrompt()) ==
               SeparationCost({5, 200ms, 1, 0ms, 0ms}, LongPrompt()));
    separated_request request = LongPrompt();
    request.prefill = milliseconds(bad);
    BOOST_TEST(SeparationCost({5, 200ms, 1, 0ms, 0ms}, request).count() == 0);
  }
  separated_request request = LongStream();
  request.typical_prefill = milliseconds(kNaN);
  BOOST_TEST(
      std::isfinite(SeparationCost({5, 200ms, 1, 0ms, 0ms}, request).count()));
}

// Engines of one model in virtual time. A step generates one token of each
// running stream and processes at most one prompt as a whole; an event has 5
// tokens.
constexpr milliseconds kStep{5.5};
constexpr int kTokensPerEvent = 5;
constexpr int kEvents = 58;
constexpr int kPromptEvents = 10;
constexpr milliseconds kPromptRead{225};
constexpr milliseconds kChatRead{20};
constexpr auto kPromptObjective = 800ms;
constexpr auto kStreamObjective = 500ms;

struct played_request {
  bool is_stream = false;
  milliseconds arrived{0};
  milliseconds read{0};
  int tokens_left = 0;
  int tokens = 0;
  milliseconds first_event{0};
  milliseconds last_event{0};
  milliseconds max_gap{0};
};

struct played_engine {
  double slowdown = 1;
  milliseconds now{0};
  std::deque<played_request> unread;
  std::vector<played_request> running;
  read_pacing pace;
  long_prefill prompts;
};

struct played_result {
  std::vector<double> prompt_delays;
  std::vector<double> stream_delays;
  int streams = 0;
  int streams_with_long_gap = 0;
  int prompts = 0;
  // Refused, with a late first event or with a gap that is too long.
  int late_prompts = 0;

  double LatePrompts() const {
    return static_cast<double>(late_prompts) / prompts;
  }
  double LongGaps() const {
    return static_cast<double>(streams_with_long_gap) / streams;
  }
  double MeanStart() const {
    return std::accumulate(prompt_delays.begin(), prompt_delays.end(), 0.0) /
           static_cast<double>(prompt_delays.size());
  }
};

valeledge::base::time_point At(milliseconds time) {
  return valeledge::base::time_point() +
         std::chrono::duration_cast<valeledge::base::time_point::duration>(
             time);
}

std::chrono::milliseconds Objective(const played_request& request) {
  return request.is_stream ? kStreamObjective : kPromptObjective;
}

void RecordEnd(const played_request& request,
               bool refused,
               played_result& out) {
  const bool has_long_gap = request.max_gap > kGap;
  const bool late =
      refused || has_long_gap || request.first_event > Objective(request);
  if (request.is_stream) {
    ++out.streams;
    out.streams_with_long_gap += has_long_gap ? 1 : 0;
  } else {
    ++out.prompts;
    out.late_prompts += late ? 1 : 0;
  }
}

void RunStep(played_engine& engine, played_result& out) {
  milliseconds step = kStep * engine.slowdown;
  if (!engine.unread.empty()) {
    played_request read = engine.unread.front();
    engine.unread.pop_front();
    step += read.read * engine.slowdown;
    engine.running.push_back(read);
  }
  engine.now += step;
  for (played_request& each : engine.running) {
    ++each.tokens;
    --each.tokens_left;
    if (each.tokens % kTokensPerEvent != 0)
      continue;
    if (each.tokens == kTokensPerEvent) {
      (each.is_stream ? out.stream_delays : out.prompt_delays)
          .push_back((engine.now - each.arrived).count());
      each.first_event = engine.now - each.arrived;
    } else {
      each.max_gap = std::max(each.max_gap, engine.now - each.last_event);
    }
    each.last_event = engine.now;
  }
  std::erase_if(engine.running, [&](const played_request& each) {
    if (each.tokens_left > 0)
      return false;
    RecordEnd(each, false, out);
    return true;
  });
}

void RunUntil(played_engine& engine, milliseconds end, played_result& out) {
  while (engine.now < end) {
    if (engine.unread.empty() && engine.running.empty())
      engine.now = end;
    else
      RunStep(engine, out);
  }
}

// What the selection of an engine looks at.
struct played_offer {
  milliseconds wait{0};
  milliseconds backlog{0};
  milliseconds cost{0};
};

played_offer OfferAt(const played_engine& engine,
                     const played_request& request,
                     bool separates,
                     milliseconds now) {
  server_candidate load;
  load.slots = 32;
  load.slowdown = engine.slowdown;
  load.running = static_cast<std::int64_t>(engine.running.size()) +
                 static_cast<std::int64_t>(engine.unread.size());
  milliseconds unread{0};
  separated_engine at;
  for (const played_request& each : engine.unread) {
    unread += each.read;
    at.long_streams += each.is_stream ? 1 : 0;
  }
  for (const played_request& each : engine.running) {
    // Hosts report a prompt as unread until its first event.
    if (each.tokens < kTokensPerEvent)
      unread += each.read;
    at.long_streams +=
        each.is_stream && each.tokens_left > kFewEvents * kTokensPerEvent ? 1
                                                                          : 0;
  }
  // Tokens of 1 us.
  load.unread_tokens = static_cast<std::int64_t>(unread.count() * 1000);
  const request_weight weight{
      static_cast<std::int64_t>(request.read.count() * 1000), 0, 1us, {}};
  played_offer offer;
  offer.wait = ExpectedWait(load, weight);
  offer.backlog = unread * engine.slowdown;
  offer.cost = offer.wait + PauseCost(engine.pace, At(now)) * engine.slowdown;
  if (!separates)
    return offer;
  at.prefill_level = PrefillLevel(engine.prompts, At(now));
  at.slowdown = engine.slowdown;
  at.backlog = unread;
  at.expected_wait = offer.wait;
  if (!request.is_stream)
    offer.cost = offer.wait;
  offer.cost += SeparationCost(
      at, {request.read, kPromptRead, request.is_stream ? double(kEvents) : 10,
           kGap, Objective(request) - (now - request.arrived)});
  return offer;
}

// Requests of one host at several engines.
struct played_service {
  std::vector<played_engine> engines;
  std::vector<played_request> waiting;
  bool separates = false;
  std::mt19937_64 random{17};
  played_result result;
};

// Sends a request, or returns that it waits for an engine.
admission_decision TrySend(played_service& service,
                           const played_request& request,
                           milliseconds now) {
  std::uniform_real_distribution<double> jitter(0, 1);
  std::size_t best = 0;
  played_offer lowest;
  for (std::size_t i = 0; i < service.engines.size(); ++i) {
    played_offer offer =
        OfferAt(service.engines[i], request, service.separates, now);
    offer.cost += milliseconds(4 * jitter(service.random));
    if (i > 0 && offer.cost >= lowest.cost)
      continue;
    best = i;
    lowest = offer;
  }
  engine_candidate turn;
  turn.waited = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - request.arrived);
  turn.objective = Objective(request);
  turn.response_in = lowest.wait;
  turn.prompt_backlog = lowest.backlog;
  turn.max_event_gap = kGap;
  turn.recheck_interval = kAdmissionRecheckInterval;
  const admission_decision decided = DecideAdmission(turn);
  if (decided != admission_decision::kSend)
    return decided;
  played_engine& engine = service.engines[best];
  AddPromptRead(engine.pace, request.read, At(now));
  if (!request.is_stream)
    AddLongPrefill(engine.prompts, request.read, At(now));
  engine.unread.push_back(request);
  return decided;
}

void Handle(played_service& service,
            const played_request& request,
            milliseconds now) {
  for (played_engine& each : service.engines)
    RunUntil(each, now, service.result);
  const auto decided = TrySend(service, request, now);
  if (decided == admission_decision::kWait)
    service.waiting.push_back(request);
  if (decided == admission_decision::kRefuse)
    RecordEnd(request, true, service.result);
}

// Requests that wait are compared again in the order of their arrival.
void HandleWaiting(played_service& service, milliseconds now) {
  for (const played_request& each : std::exchange(service.waiting, {}))
    Handle(service, each, now);
}

// Plays prompts and streams that arrive at random for two minutes.
played_result Play(const std::vector<double>& slowdowns,
                   double prompts_per_second,
                   double streams_per_second,
                   bool separates,
                   unsigned seed = 17) {
  std::mt19937_64 random(seed);
  std::exponential_distribution<double> next_prompt(prompts_per_second / 1000);
  std::exponential_distribution<double> next_stream(streams_per_second / 1000);
  played_service service;
  service.separates = separates;
  service.engines.resize(slowdowns.size());
  for (std::size_t i = 0; i < slowdowns.size(); ++i)
    service.engines[i].slowdown = slowdowns[i];
  milliseconds prompt_at(next_prompt(random));
  milliseconds stream_at(next_stream(random));
  for (milliseconds recheck_at{0}; recheck_at < 120s;
       recheck_at += kAdmissionRecheckInterval) {
    while (std::min(prompt_at, stream_at) < recheck_at) {
      played_request request;
      request.arrived = std::min(prompt_at, stream_at);
      request.is_stream = stream_at <= prompt_at;
      request.read = request.is_stream ? kChatRead : kPromptRead;
      request.tokens_left =
          (request.is_stream ? kEvents : kPromptEvents) * kTokensPerEvent;
      if (request.is_stream)
        stream_at += milliseconds(next_stream(random));
      else
        prompt_at += milliseconds(next_prompt(random));
      Handle(service, request, request.arrived);
    }
    HandleWaiting(service, recheck_at);
  }
  for (played_engine& each : service.engines)
    RunUntil(each, 130s, service.result);
  return service.result;
}

// Guards against mixing both kinds at all engines: streams then meet two
// prompts in a row. Prompts must not pay for the separation. Their mean start
// may vary by 3 in 100 with the arrivals.
BOOST_AUTO_TEST_CASE(streams_meet_fewer_prompts_and_prompts_start_no_later) {
  const std::vector<double> slowdowns{1, 1, 1, 1.8};
  for (const unsigned seed : {1u, 2u, 3u, 17u}) {
    for (const double prompts : {3.0, 5.0, 7.0}) {
      const auto mixed = Play(slowdowns, prompts, 4, false, seed);
      const auto apart = Play(slowdowns, prompts, 4, true, seed);
      BOOST_TEST_MESSAGE(
          "seed " << seed << ", " << prompts
                  << " prompts/s, streams with a long gap: " << mixed.LongGaps()
                  << " -> " << apart.LongGaps() << ", late prompts: "
                  << mixed.LatePrompts() << " -> " << apart.LatePrompts()
                  << ", mean start of prompts: " << mixed.MeanStart() << " -> "
                  << apart.MeanStart() << " ms");
      BOOST_TEST(mixed.LongGaps() > 0.01);
      BOOST_TEST(apart.LongGaps() < 0.2 * mixed.LongGaps());
      BOOST_TEST(apart.LatePrompts() <= mixed.LatePrompts());
      BOOST_TEST(apart.MeanStart() <= 1.03 * mixed.MeanStart());
    }
  }
}

BOOST_AUTO_TEST_CASE(nothing_changes_with_one_engine) {
  const auto mixed = Play({1}, 1.5, 2, false);
  const auto apart = Play({1}, 1.5, 2, true);
  BOOST_TEST(mixed.prompt_delays == apart.prompt_delays);
  BOOST_TEST(mixed.stream_delays == apart.stream_delays);
  BOOST_TEST(mixed.LongGaps() == apart.LongGaps());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
