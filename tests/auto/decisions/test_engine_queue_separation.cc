// SPDX-License-Identifier: MIT
// Separation of long prompts and long streams by a queue.
#include <chrono>
#include <cstdint>
#include <optional>

#include <boost/test/unit_test.hpp>

#include "queue_requests.h"

namespace {

using namespace valeledge;
using namespace valeledge::decisions;
using namespace valeledge::test;
using namespace std::chrono_literals;

// Two engines of which e1 runs long streams, and e2 processes a prompt.
engine_queue StreamsAndPrompts(double streams) {
  engine_queue queue;
  SetHolders(queue, "m", {"e1", "e2"});
  queue_engine first = Engine(0);
  first.separated = {streams, 300ms, 1, 0ms, 0ms};
  queue_engine second = Engine(kPrompt);
  second.separated = {0, 1000ms, 1, 0ms, 0ms};
  SetEngine(queue, "e1", first, kStart);
  SetEngine(queue, "e2", second, kStart);
  return queue;
}

queued_request LongPrompt(std::int64_t number) {
  queued_request request = Request(number, 1, "", kStart, 800ms);
  request.weight.prompt_tokens = 9190;
  request.is_separated = true;
  request.typical_prefill = 225ms;
  return request;
}

BOOST_AUTO_TEST_SUITE(engine_queues)

// Guards against a queue that undoes the selection of the hosts: it would send
// each long prompt to the first engine that is free.
BOOST_AUTO_TEST_CASE(a_long_prompt_waits_for_an_engine_without_streams) {
  engine_queue mixed = StreamsAndPrompts(0);
  BOOST_TEST(!Enqueue(mixed, LongPrompt(1), kStart));
  const auto at_once = Decide(mixed, kStart);
  BOOST_REQUIRE(at_once.grants.size() == 1);
  BOOST_TEST(at_once.grants.front().engine == "e1");
  BOOST_TEST((at_once.grants.front().separated == separated_kind::kNone));

  engine_queue queue = StreamsAndPrompts(10);
  BOOST_TEST(!Enqueue(queue, LongPrompt(1), kStart));
  BOOST_TEST(Decide(queue, kStart).grants.empty());
  queue_engine second = Engine(0, 1);
  second.separated = {0, 1000ms, 1, 0ms, 0ms};
  SetEngine(queue, "e2", second, kStart + 75ms);
  const auto decided = Decide(queue, kStart + 75ms);
  BOOST_REQUIRE(decided.grants.size() == 1);
  BOOST_TEST(decided.grants.front().engine == "e2");
  BOOST_TEST((decided.grants.front().separated == separated_kind::kLongPrompt));
}

BOOST_AUTO_TEST_CASE(a_long_stream_waits_for_an_engine_without_long_prompts) {
  engine_queue queue = StreamsAndPrompts(0);
  queue_engine busy = Engine(0);
  busy.separated = {0, 1800ms, 1, 0ms, 0ms};
  SetEngine(queue, "e1", busy, kStart);
  queue_engine calm = Engine(kPrompt);
  calm.separated = separated_engine();
  SetEngine(queue, "e2", calm, kStart);
  queued_request stream = Request(1, 0, "", kStart, 500ms);
  stream.weight.prompt_tokens = 826;
  stream.is_separated = true;
  stream.expected_events = 58;
  stream.typical_prefill = 225ms;
  BOOST_TEST(!Enqueue(queue, stream, kStart));
  BOOST_TEST(Decide(queue, kStart).grants.empty());
  calm.load = Engine(0).load;
  SetEngine(queue, "e2", calm, kStart + 60ms);
  const auto decided = Decide(queue, kStart + 60ms);
  BOOST_REQUIRE(decided.grants.size() == 1);
  BOOST_TEST(decided.grants.front().engine == "e2");
  BOOST_TEST((decided.grants.front().separated == separated_kind::kLongStream));
}

// Guards against requests that become late because they leave an engine to
// others: the other engine does not become free.
BOOST_AUTO_TEST_CASE(a_request_is_granted_in_time_if_the_other_engine_is_busy) {
  engine_queue queue = StreamsAndPrompts(1000);
  BOOST_TEST(!Enqueue(queue, LongPrompt(1), kStart));
  std::optional<base::time_point> granted_at;
  for (auto now = kStart; now < kStart + 800ms && !granted_at; now += 5ms) {
    const auto decided = Decide(queue, now);
    BOOST_TEST(decided.refusals.empty());
    if (!decided.grants.empty())
      granted_at = now;
  }
  BOOST_REQUIRE(granted_at.has_value());
  BOOST_TEST((*granted_at + 237ms + kFirstEventDelay < kStart + 800ms));
}

// Guards against requests that cannot be refused and are held although their
// response is late already: their deadline is no bound for the cost.
BOOST_AUTO_TEST_CASE(a_request_that_is_not_separated_is_granted_at_once) {
  engine_queue queue = StreamsAndPrompts(1000);
  queued_request request = LongPrompt(1);
  request.is_separated = false;
  request.deadline = kStart + 8s;
  BOOST_TEST(!Enqueue(queue, request, kStart));
  const auto decided = Decide(queue, kStart);
  BOOST_REQUIRE(decided.grants.size() == 1);
  BOOST_TEST(decided.grants.front().engine == "e1");
  BOOST_TEST((decided.grants.front().separated == separated_kind::kNone));
}

// Guards against less urgent and later requests that put a long prompt at the
// engine of the streams: they do not delay it at the other engine.
BOOST_AUTO_TEST_CASE(only_the_work_before_a_request_prevents_its_separation) {
  engine_queue queue = StreamsAndPrompts(10);
  BOOST_TEST(!Enqueue(queue, LongPrompt(1), kStart));
  for (int number = 2; number <= 7; ++number) {
    queued_request other = LongPrompt(number);
    other.priority = number % 2 == 0 ? 2 : 1;
    other.deadline = kStart + 20s;
    other.avoid = {"e1"};
    BOOST_TEST(!Enqueue(queue, other, kStart));
  }
  BOOST_TEST(Decide(queue, kStart).grants.empty());
}

// Guards against a request that each of two identical engines leaves to the
// other one: the read time of a flow can be slightly negative by rounding.
BOOST_AUTO_TEST_CASE(identical_engines_do_not_leave_a_request_to_each_other) {
  for (const double rounded : {0.0, -1e-6}) {
    engine_queue queue;
    SetHolders(queue, "m", {"e1", "e2", "e3"});
    queue_engine idle = Engine(0);
    idle.separated = {10, 1000ms, 1, 0ms, 0ms};
    SetEngine(queue, "e1", idle, kStart);
    SetEngine(queue, "e2", idle, kStart);
    SetEngine(queue, "e3", Engine(8000), kStart);
    queued_request urgent = Request(1, 0, "", kStart, 8s);
    urgent.weight.prompt_tokens = 0;
    urgent.avoid = {"e1", "e2"};
    BOOST_TEST(!Enqueue(queue, urgent, kStart));
    queue.units.at("m").flows.at({0, ""}).read_time =
        std::chrono::duration<double, std::milli>(rounded);
    BOOST_TEST(!Enqueue(queue, LongPrompt(2), kStart));
    const auto decided = Decide(queue, kStart);
    BOOST_REQUIRE(decided.grants.size() == 1);
    BOOST_TEST(decided.grants.front().number == 2);
    BOOST_TEST((decided.grants.front().separated == separated_kind::kNone));
  }
}

// In a burst all engines are needed, and with one engine there is no choice.
BOOST_AUTO_TEST_CASE(bursts_and_single_engines_are_served_without_separation) {
  engine_queue queue = StreamsAndPrompts(10);
  for (int number = 1; number <= 6; ++number) {
    queued_request request = LongPrompt(number);
    request.deadline = kStart + 5s;
    BOOST_TEST(!Enqueue(queue, request, kStart));
  }
  BOOST_TEST(Decide(queue, kStart).grants.size() == 1);

  engine_queue single;
  SetHolders(single, "m", {"e1"});
  queue_engine only = Engine(0);
  only.separated = {10, 1000ms, 1, 0ms, 0ms};
  SetEngine(single, "e1", only, kStart);
  BOOST_TEST(!Enqueue(single, LongPrompt(1), kStart));
  BOOST_TEST(Decide(single, kStart).grants.size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
