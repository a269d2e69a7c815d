// SPDX-License-Identifier: MIT
#include "decisions/engine_queue.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "queue_requests.h"

namespace {

using namespace valeledge;
using namespace valeledge::decisions;
using namespace valeledge::test;
using namespace std::chrono_literals;

// Lets the engine become free, and returns the request that is granted then.
std::int64_t NextGrant(engine_queue& queue, base::time_point now) {
  static std::int64_t sent = 0;
  SetEngine(queue, "e1", Engine(0, ++sent), now);
  const auto decided = Decide(queue, now);
  BOOST_REQUIRE_EQUAL(decided.grants.size(), 1u);
  return decided.grants.front().number;
}

BOOST_AUTO_TEST_SUITE(engine_queues)

// Guards against a workspace that is served alone after it has been idle.
BOOST_AUTO_TEST_CASE(an_idle_workspace_saves_nothing_up) {
  engine_queue queue = OneEngine(20'000);
  std::int64_t number = 0;
  auto now = kStart;
  // "idle" has one request, and then none while "busy" gets 20.
  BOOST_TEST(!Enqueue(queue, Request(++number, 1, "idle", now, 60s), now));
  for (int i = 0; i < 40; ++i)
    BOOST_TEST(!Enqueue(queue, Request(++number, 1, "busy", now, 60s), now));
  for (int i = 0; i < 21; ++i)
    NextGrant(queue, now += 75ms);
  std::int64_t first_idle = number + 1;
  for (int i = 0; i < 10; ++i)
    BOOST_TEST(!Enqueue(queue, Request(++number, 1, "idle", now, 60s), now));
  int idle = 0;
  for (int i = 0; i < 10; ++i)
    idle += NextGrant(queue, now += 75ms) >= first_idle ? 1 : 0;
  BOOST_TEST(idle == 5);
}

// Guards against shares that a configuration states and that have no effect.
BOOST_AUTO_TEST_CASE(workspaces_are_served_in_proportion_to_their_shares) {
  engine_queue queue = OneEngine(20'000);
  auto now = kStart;
  for (int i = 0; i < 40; ++i) {
    auto large = Request(1000 + i, 1, "large", now, 60s);
    large.share = 3;
    BOOST_TEST(!Enqueue(queue, large, now));
    BOOST_TEST(!Enqueue(queue, Request(i, 1, "small", now, 60s), now));
  }
  int large = 0;
  for (int i = 0; i < 20; ++i)
    large += NextGrant(queue, now += 75ms) >= 1000 ? 1 : 0;
  BOOST_TEST(large == 15);
}

BOOST_AUTO_TEST_CASE(requests_of_one_workspace_are_served_by_deadline) {
  engine_queue queue = OneEngine(20'000);
  auto now = kStart;
  BOOST_TEST(!Enqueue(queue, Request(1, 1, "", now, 5s), now));
  BOOST_TEST(!Enqueue(queue, Request(2, 1, "", now + 1ms, 2s), now + 1ms));
  BOOST_TEST(!Enqueue(queue, Request(3, 0, "", now + 2ms, 9s), now + 2ms));
  BOOST_TEST(NextGrant(queue, now += 75ms) == 3);
  BOOST_TEST(NextGrant(queue, now += 75ms) == 2);
  BOOST_TEST(NextGrant(queue, now += 75ms) == 1);
}

// Guards against an engine that gets several requests before the first of them
// is reported, and against a grant that is counted for ever if its host ends.
BOOST_AUTO_TEST_CASE(grants_count_until_they_are_reported) {
  engine_queue queue = OneEngine(0);
  auto now = kStart;
  for (int i = 1; i <= 3; ++i)
    BOOST_TEST(!Enqueue(queue, Request(i, 1, "", now, 2s), now));
  BOOST_TEST(Decide(queue, now).grants.size() == 1u);
  now += 2ms;
  BOOST_TEST(Decide(queue, now).grants.empty());
  // The report shows the request.
  SetEngine(queue, "e1", Engine(kPrompt, 1), now);
  BOOST_TEST(Decide(queue, now).grants.empty());
  now += 75ms;
  SetEngine(queue, "e1", Engine(0, 1), now);
  BOOST_TEST(Decide(queue, now).grants.size() == 1u);
  // No report shows the second one.
  BOOST_TEST(Decide(queue, now + 249ms).grants.empty());
  BOOST_TEST(Decide(queue, now + 250ms).grants.size() == 1u);
}

// Guards against capacity that stays unused after a caller has disconnected.
BOOST_AUTO_TEST_CASE(a_removed_place_is_granted_to_the_next_request) {
  engine_queue queue = OneEngine(0);
  for (int i = 1; i <= 3; ++i)
    BOOST_TEST(!Enqueue(queue, Request(i, 1, "", kStart, 2s), kStart));
  BOOST_TEST(Decide(queue, kStart).grants.front().number == 1);
  RemovePlace(queue, 2);
  RemovePlace(queue, 1);
  const auto decided = Decide(queue, kStart + 2ms);
  BOOST_REQUIRE_EQUAL(decided.grants.size(), 1u);
  BOOST_TEST(decided.grants.front().number == 3);
  BOOST_TEST(CountWaiting(queue) == 0);
}

// Guards against requests that are counted at an engine that has ended.
BOOST_AUTO_TEST_CASE(an_engine_that_has_ended_is_forgotten) {
  engine_queue queue = OneEngine(0);
  for (int i = 1; i <= 2; ++i)
    BOOST_TEST(!Enqueue(queue, Request(i, 1, "", kStart, 2s), kStart));
  BOOST_TEST(Decide(queue, kStart).grants.size() == 1u);
  SetHolders(queue, "m", {"e2"});
  SetEngine(queue, "e2", Engine(0), kStart);
  BOOST_TEST(!queue.engines.contains("e1"));
  // The request that was granted fails and is queued again without the engine.
  auto again = Request(1, 1, "", kStart, 2s);
  again.avoid = {"e1"};
  BOOST_TEST(!Enqueue(queue, again, kStart + 5ms));
  const auto decided = Decide(queue, kStart + 5ms);
  BOOST_REQUIRE_EQUAL(decided.grants.size(), 1u);
  BOOST_TEST(decided.grants.front().engine == "e2");
}

// Guards against requests that wait in vain because no engine is left.
BOOST_AUTO_TEST_CASE(requests_without_an_engine_are_refused) {
  engine_queue queue = OneEngine(20'000);
  BOOST_TEST(!Enqueue(queue, Request(1, 1, "", kStart, 2s), kStart));
  SetHolders(queue, "m", {});
  const auto decided = Decide(queue, kStart + 15ms);
  BOOST_REQUIRE_EQUAL(decided.refusals.size(), 1u);
  BOOST_TEST(decided.refusals.front().number == 1);
  BOOST_TEST(decided.refusals.front().without_engine);
  auto avoiding = Request(2, 1, "", kStart, 2s);
  SetHolders(queue, "m", {"e1"});
  avoiding.avoid = {"e1"};
  BOOST_TEST(Enqueue(queue, avoiding, kStart).has_value());
}

// Guards against callers that are refused together and return together, and
// against refusals only after the time to wait.
BOOST_AUTO_TEST_CASE(refusals_are_immediate_and_their_callers_return_in_turn) {
  engine_queue queue = OneEngine(kPrompt);
  std::chrono::milliseconds last{0};
  int refused = 0;
  for (int i = 0; i < 30; ++i) {
    const auto refusal =
        Enqueue(queue, Request(i, 1, "", kStart, 800ms), kStart);
    if (!refusal)
      continue;
    ++refused;
    BOOST_TEST(refusal->retry_after.count() >= 500);
    BOOST_TEST(refusal->retry_after.count() <= 5000);
    BOOST_TEST((refusal->retry_after >= last + 70ms));
    last = refusal->retry_after;
  }
  // The engine reads one prompt in 75 ms: seven of them in 0.7 times 800 ms,
  // and it is reading one already.
  BOOST_TEST(refused == 24);
}

// Guards against requests that wait until they are late: more urgent ones have
// taken their time.
BOOST_AUTO_TEST_CASE(displaced_requests_are_refused_while_they_wait) {
  engine_queue queue = OneEngine(kPrompt);
  auto now = kStart;
  BOOST_TEST(!Enqueue(queue, Request(1, 1, "", now, 800ms), now));
  for (int i = 2; i < 16; ++i)
    BOOST_TEST(!Enqueue(queue, Request(i, 0, "", now, 2s), now));
  now += 100ms;
  const auto decided = Decide(queue, now);
  BOOST_REQUIRE_EQUAL(decided.refusals.size(), 1u);
  BOOST_TEST(decided.refusals.front().number == 1);
}

// Guards against a request that is sent to an engine without a free slot and
// waits in the engine's own queue.
BOOST_AUTO_TEST_CASE(an_engine_without_a_free_slot_is_not_used) {
  engine_queue queue = OneEngine(0);
  queue_engine full = Engine(0);
  full.load.running = 32;
  SetEngine(queue, "e1", full, kStart);
  BOOST_TEST(!Enqueue(queue, Request(1, 1, "", kStart, 2s), kStart));
  BOOST_TEST(Decide(queue, kStart).grants.empty());
  full.load.running = 31;
  SetEngine(queue, "e1", full, kStart);
  BOOST_TEST(Decide(queue, kStart + 2ms).grants.size() == 1u);
}

// Guards against newcomers elsewhere that see free engines.
BOOST_AUTO_TEST_CASE(queued_tokens_are_divided_among_the_engines) {
  engine_queue queue;
  SetHolders(queue, "m", {"e1", "e2"});
  SetHolders(queue, "n", {"e2"});
  SetEngine(queue, "e1", Engine(20'000), kStart);
  SetEngine(queue, "e2", Engine(20'000), kStart);
  BOOST_TEST(!Enqueue(queue, Request(1, 1, "", kStart, 2s), kStart));
  auto other = Request(2, 1, "", kStart, 2s);
  other.unit = "n";
  BOOST_TEST(!Enqueue(queue, other, kStart));
  const auto tokens = QueuedTokens(queue);
  BOOST_TEST(tokens.at("e1") == kPrompt / 2);
  BOOST_TEST(tokens.at("e2") == kPrompt / 2 + kPrompt);
}

// Guards against an owner that has more engines than it can serve at 985 hosts.
BOOST_AUTO_TEST_CASE(engines_are_divided_into_groups_of_bounded_size) {
  BOOST_TEST(CountGroups(0) == 1);
  BOOST_TEST(CountGroups(140) == 1);
  const std::int64_t groups = CountGroups(4000);
  BOOST_TEST(groups == 32);
  std::vector<int> sizes(static_cast<std::size_t>(groups));
  for (int i = 0; i < 4000; ++i) {
    const auto group = GroupOf("engine-" + std::to_string(i), groups);
    ++sizes.at(static_cast<std::size_t>(group));
  }
  BOOST_TEST(*std::ranges::max_element(sizes) < 200);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
