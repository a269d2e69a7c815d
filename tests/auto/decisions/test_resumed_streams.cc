// SPDX-License-Identifier: MIT
// Streams that are resumed after engines of their software version are lost, in
// the queue for the remaining engines.
#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "decisions/engine_queue.h"
#include "decisions/stream_patience.h"
#include "queue_requests.h"

namespace {

using namespace valeledge;
using namespace valeledge::decisions;
using namespace valeledge::test;
using namespace std::chrono_literals;

constexpr std::int64_t kSlots = 12;

queue_engine EngineWith(std::int64_t running, std::int64_t sent = 0) {
  queue_engine engine = Engine(0, sent);
  engine.load.slots = kSlots;
  engine.load.running = running;
  return engine;
}

queued_request Resumed(std::int64_t number, base::time_point now) {
  queued_request request = Request(number, 1, "", now, 3200ms);
  request.priority = kResumedPriority;
  request.resumes = true;
  request.weight.prompt_tokens = 40;
  return request;
}

// A queue of two engines, of which resumed streams may use the first one.
engine_queue TwoEngines(std::int64_t running) {
  engine_queue queue;
  SetHolders(queue, "m", {"e1", "e2"});
  SetEngine(queue, "e1", EngineWith(running), kStart);
  SetEngine(queue, "e2", EngineWith(running), kStart);
  return queue;
}

queued_request ResumedAtFirst(std::int64_t number, base::time_point now) {
  queued_request request = Resumed(number, now);
  request.avoid = {"e2"};
  return request;
}

BOOST_AUTO_TEST_SUITE(resumed_streams)

// Guards against resumed streams that are sent to full engines and rejected.
BOOST_AUTO_TEST_CASE(a_resumed_stream_is_granted_when_there_is_room) {
  engine_queue queue = TwoEngines(kSlots);
  BOOST_TEST(!Enqueue(queue, ResumedAtFirst(1, kStart), kStart));
  auto decided = Decide(queue, kStart + 3000ms);
  BOOST_TEST(decided.grants.empty());
  BOOST_TEST(decided.refusals.empty());
  SetEngine(queue, "e1", EngineWith(kSlots - 1), kStart + 3100ms);
  decided = Decide(queue, kStart + 3100ms);
  BOOST_REQUIRE_EQUAL(decided.grants.size(), 1u);
  BOOST_TEST(decided.grants.front().engine == "e1");
}

BOOST_AUTO_TEST_CASE(a_resumed_stream_is_refused_at_the_end_of_its_time) {
  engine_queue queue = TwoEngines(kSlots);
  BOOST_TEST(!Enqueue(queue, ResumedAtFirst(1, kStart), kStart));
  BOOST_TEST(Decide(queue, kStart + 3200ms).refusals.size() == 1u);
}

// Guards against places that new requests take although only resumed streams
// are bound to the engine.
BOOST_AUTO_TEST_CASE(resumed_streams_go_before_new_requests) {
  engine_queue queue = TwoEngines(kSlots);
  queued_request urgent = Request(1, 0, "", kStart, 3200ms);
  BOOST_TEST(!Enqueue(queue, urgent, kStart));
  BOOST_TEST(!Enqueue(queue, ResumedAtFirst(2, kStart), kStart));
  SetEngine(queue, "e1", EngineWith(kSlots - 1), kStart + 100ms);
  const auto first = Decide(queue, kStart + 100ms);
  BOOST_REQUIRE_EQUAL(first.grants.size(), 1u);
  BOOST_TEST(first.grants.front().number == 2);
  SetEngine(queue, "e2", EngineWith(kSlots - 1), kStart + 200ms);
  const auto second = Decide(queue, kStart + 200ms);
  BOOST_REQUIRE_EQUAL(second.grants.size(), 1u);
  BOOST_TEST(second.grants.front().engine == "e2");
}

BOOST_AUTO_TEST_CASE(a_resumed_stream_may_wait_in_the_queue_of_an_engine) {
  engine_queue queue = TwoEngines(kSlots);
  queue_engine engine = EngineWith(kSlots);
  engine.capacity = kSlots + 1;
  SetEngine(queue, "e1", engine, kStart);
  BOOST_TEST(!Enqueue(queue, ResumedAtFirst(1, kStart), kStart));
  BOOST_TEST(!Enqueue(queue, ResumedAtFirst(2, kStart), kStart));
  BOOST_TEST(Decide(queue, kStart).grants.size() == 1u);
}

// Guards against callers that wait although far too many wait before them.
BOOST_AUTO_TEST_CASE(a_resumed_stream_without_hope_is_refused_at_once) {
  engine_queue queue = TwoEngines(kSlots);
  std::int64_t accepted = 0;
  for (std::int64_t number = 1; number <= 100; ++number)
    accepted += Enqueue(queue, ResumedAtFirst(number, kStart), kStart) ? 0 : 1;
  BOOST_TEST(accepted > kSlots);
  BOOST_TEST(accepted < 50);
}

// Guards against new requests that avoid engines for which nobody waits.
BOOST_AUTO_TEST_CASE(resumed_streams_are_queued_only_for_their_version) {
  engine_queue queue = TwoEngines(kSlots);
  BOOST_TEST(!Enqueue(queue, ResumedAtFirst(1, kStart), kStart));
  const auto tokens = QueuedTokens(queue);
  BOOST_TEST(tokens.contains("e1"));
  BOOST_TEST(!tokens.contains("e2"));
  BOOST_TEST(CountResumed(queue) == 1);
}

// Engines of two versions in virtual time. Streams begin at a constant rate;
// then some engines of the first version end, and their streams are resumed.
struct lost_engines {
  double places_taken = 0.96;
  std::int64_t engines_per_version = 4;
  std::int64_t lost = 2;
  std::chrono::milliseconds length{6000};
  std::chrono::milliseconds objective{1000};
  // Whether the owner knows which requests are resumed streams.
  bool is_known = true;
};

struct served_shares {
  double resumed = 0;
  double begun = 0;
};

// A place at an engine.
struct running_stream {
  std::string engine;
  base::time_point ends;
};

served_shares Play(const lost_engines& play) {
  constexpr auto kStep = 5ms;
  constexpr auto kCounted = 5000ms;
  engine_queue queue;
  std::vector<std::string> engines;
  std::vector<std::string> others;
  for (std::int64_t at = 0; at < 2 * play.engines_per_version; ++at) {
    engines.push_back("e" + std::to_string(at));
    if (at >= play.engines_per_version)
      others.push_back(engines.back());
  }
  const double slots =
      static_cast<double>(kSlots) * static_cast<double>(engines.size());
  const auto running = static_cast<std::int64_t>(slots * play.places_taken);
  std::vector<running_stream> streams;
  for (std::int64_t at = 0; at < running; ++at) {
    const auto left =
        play.length * static_cast<int>(at + 1) / static_cast<int>(running);
    streams.push_back({engines[static_cast<std::size_t>(at) % engines.size()],
                       kStart + left});
  }
  std::map<std::int64_t, base::time_point> resumed;
  std::map<std::int64_t, base::time_point> begun;
  std::int64_t number = 0;
  const auto lost_from = engines.begin();
  const auto lost_to = lost_from + static_cast<std::ptrdiff_t>(play.lost);
  std::vector<std::chrono::milliseconds> rests;
  std::erase_if(streams, [&](const running_stream& each) {
    const bool is_lost = std::find(lost_from, lost_to, each.engine) != lost_to;
    if (is_lost)
      rests.push_back(
          std::chrono::ceil<std::chrono::milliseconds>(each.ends - kStart));
    return is_lost;
  });
  engines.erase(lost_from, lost_to);
  SetHolders(queue, "m", engines);
  std::map<std::string, std::int64_t> sent;
  const auto report = [&](base::time_point now) {
    for (const std::string& name : engines) {
      const auto count =
          std::ranges::count(streams, name, &running_stream::engine);
      SetEngine(queue, name, EngineWith(count, sent[name]), now);
    }
  };
  report(kStart);
  std::map<std::int64_t, std::chrono::milliseconds> lengths;
  const auto wait = MaxResumeWait(CallerPatience(play.objective, 300ms));
  for (const auto rest : rests) {
    queued_request request = Request(++number, 1, "", kStart, play.objective);
    request.weight.prompt_tokens = 40;
    request.avoid = others;
    if (play.is_known) {
      request.resumes = true;
      request.priority = kResumedPriority;
      request.deadline = kStart + wait;
    }
    lengths[number] = rest;
    resumed[number] = {};
    Enqueue(queue, request, kStart);
  }
  const auto interval = std::chrono::duration_cast<std::chrono::microseconds>(
      play.length / static_cast<double>(running));
  auto next = kStart;
  for (auto now = kStart; now < kStart + kCounted + wait; now += kStep) {
    std::erase_if(streams, [&](const auto& each) { return each.ends <= now; });
    for (; next <= now && next < kStart + kCounted; next += interval) {
      queued_request request = Request(++number, 1, "", now, play.objective);
      request.weight.prompt_tokens = 40;
      lengths[number] = play.length;
      begun[number] = {};
      Enqueue(queue, request, now);
    }
    report(now);
    for (const engine_grant& each : Decide(queue, now).grants) {
      streams.push_back({each.engine, now + lengths.at(each.number)});
      ++sent[each.engine];
      (resumed.contains(each.number) ? resumed : begun)[each.number] = now;
    }
    report(now);
  }
  const auto share = [](const auto& all) {
    const auto served = std::ranges::count_if(all, [](const auto& each) {
      return each.second != base::time_point();
    });
    return static_cast<double>(served) / static_cast<double>(all.size());
  };
  return {share(resumed), share(begun)};
}

// Guards against resumed streams of which less than half as many are served as
// of new ones.
BOOST_AUTO_TEST_CASE(resumed_streams_are_served_half_as_often_at_least) {
  for (const double taken : {0.80, 0.85, 0.90, 0.96, 1.0}) {
    for (const auto objective : {300ms, 1000ms}) {
      for (const auto length : {3000ms, 6000ms}) {
        lost_engines play;
        play.places_taken = taken;
        play.objective = objective;
        play.length = length;
        const served_shares now = Play(play);
        play.is_known = false;
        const served_shares before = Play(play);
        BOOST_TEST_MESSAGE("places " << taken << ", objective "
                                     << objective.count() << " ms, streams "
                                     << length.count() << " ms: resumed "
                                     << now.resumed << ", new " << now.begun
                                     << "; as other requests " << before.resumed
                                     << ", " << before.begun);
        BOOST_TEST(now.resumed >= now.begun / 2);
        BOOST_TEST(now.resumed >= before.resumed);
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
