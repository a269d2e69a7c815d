// SPDX-License-Identifier: MIT
#include "decisions/engine_queue.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "decisions/engine_admission.h"

namespace {

using namespace valeledge;
using namespace valeledge::decisions;
using namespace std::chrono_literals;

constexpr double kTokensPerMs = 38.7;
constexpr std::chrono::duration<double, std::milli> kTokenTime{1 /
                                                               kTokensPerMs};
// Uncached part of the prompts of the audit and draft routes: 75 ms of reading.
constexpr std::int64_t kPrompt = 2890;

// Time from the end of the reading of a prompt to its first event.
constexpr std::chrono::milliseconds kFirstEventDelay{35};

const base::time_point kStart = base::time_point() + 1h;

queued_request Request(std::int64_t number,
                       std::int64_t priority,
                       std::string workspace,
                       base::time_point now,
                       std::chrono::milliseconds objective) {
  queued_request request;
  request.number = number;
  request.unit = "m";
  request.priority = priority;
  request.workspace = std::move(workspace);
  request.arrived = now;
  request.deadline = now + objective;
  request.weight = {kPrompt, kPrompt + 50, kTokenTime, {}};
  request.max_event_gap = 400ms;
  return request;
}

queue_engine Engine(std::int64_t unread_tokens, std::int64_t sent = 0) {
  queue_engine engine;
  engine.load.slots = 32;
  engine.load.running = unread_tokens > 0 ? 1 : 0;
  engine.load.unread_tokens = unread_tokens;
  engine.load.token_memory = 167'040;
  engine.requests_sent = sent;
  return engine;
}

engine_queue OneEngine(std::int64_t unread_tokens) {
  engine_queue queue;
  SetHolders(queue, "m", {"e1"});
  SetEngine(queue, "e1", Engine(unread_tokens), kStart);
  return queue;
}

// Lets the engine become free, and returns the request that is granted then.
std::int64_t NextGrant(engine_queue& queue, base::time_point now) {
  static std::int64_t sent = 0;
  SetEngine(queue, "e1", Engine(0, ++sent), now);
  const auto decided = Decide(queue, now);
  BOOST_REQUIRE_EQUAL(decided.grants.size(), 1u);
  return decided.grants.front().number;
}

// Virtual time of some engines that serve one model. Requests wait either in
// the queue, or on hosts that repeat the selection every 15 ms.
class burst_play {
 public:
  struct outcome {
    int arrived = 0;
    int on_time = 0;
    int late = 0;
    int refused = 0;
    // Refused after it has waited.
    int refused_late = 0;
  };

  burst_play(bool with_queue, int engines)
      : with_queue_(with_queue), engines_(static_cast<std::size_t>(engines)) {
    std::vector<std::string> names;
    for (int i = 0; i < engines; ++i)
      names.push_back(Name(static_cast<std::size_t>(i)));
    SetHolders(queue_, "m", names);
  }

  // Requests per second that the engines can read.
  double Capacity() const {
    return static_cast<double>(engines_.size()) * kTokensPerMs * 1000 / kPrompt;
  }

  void SetSpeed(std::size_t engine, double speed) {
    engines_[engine].speed = speed;
  }

  // Adds a source of requests at a constant rate.
  void AddSource(double rate,
                 std::int64_t priority,
                 const std::string& workspace,
                 std::chrono::milliseconds objective) {
    sources_.push_back({rate, 0, priority, workspace, objective});
  }

  void Run(std::chrono::milliseconds length) {
    for (const auto end = now_ + length; now_ < end; now_ += 1ms) {
      Read();
      for (source& each : sources_) {
        each.due += each.rate / 1000;
        for (; each.due >= 1; each.due -= 1)
          Arrive(Request(++last_number_, each.priority, each.workspace, now_,
                         each.objective));
      }
      if (with_queue_)
        Pass();
      else
        Poll();
    }
  }

  std::map<std::pair<std::int64_t, std::string>, outcome> outcomes;
  // Requests sent while one of the same source that arrived earlier waited,
  // and would have been in time at the same engine.
  int overtaken = 0;

 private:
  struct source {
    double rate = 0;
    double due = 0;
    std::int64_t priority = 0;
    std::string workspace;
    std::chrono::milliseconds objective;
  };
  struct engine {
    // Prompts that are being read, and tokens left of the first one.
    std::deque<queued_request> prompts;
    double left = 0;
    std::int64_t sent = 0;
    double speed = 1;
    // Requests whose prompts have been read, and when their first events come.
    std::deque<std::pair<base::time_point, queued_request>> read;
  };

  static std::string Name(std::size_t index) {
    return "e" + std::to_string(index);
  }

  outcome& OutcomeOf(const queued_request& request) {
    return outcomes[{request.priority, request.workspace}];
  }

  // Prompts count as unread until their first event.
  queue_engine StateOf(const engine& of) const {
    queue_engine state = Engine(0, of.sent);
    state.load.running =
        static_cast<std::int64_t>(of.prompts.size() + of.read.size());
    state.load.unread_tokens = state.load.running * kPrompt;
    return state;
  }

  void Read() {
    for (engine& each : engines_) {
      while (!each.read.empty() && each.read.front().first <= now_) {
        // The owner is asked for the time until the prompt has been read.
        const queued_request& done = each.read.front().second;
        ++(now_ <= done.deadline + kFirstEventDelay ? OutcomeOf(done).on_time
                                                    : OutcomeOf(done).late);
        each.read.pop_front();
      }
      if (each.prompts.empty())
        continue;
      each.left -= kTokensPerMs * each.speed;
      if (each.left > 0)
        continue;
      each.read.emplace_back(now_ + kFirstEventDelay, each.prompts.front());
      each.prompts.pop_front();
      each.left = each.prompts.empty() ? 0 : kPrompt;
    }
  }

  void Send(const queued_request& request, std::size_t index) {
    engine& to = engines_[index];
    const auto response_in = ExpectedWait(StateOf(to).load, request.weight);
    const bool overtakes = std::ranges::any_of(waiting_, [&](const auto& each) {
      const queued_request& other = each.second;
      return other.priority == request.priority &&
             other.workspace == request.workspace &&
             other.arrived < request.arrived &&
             now_ + response_in <= other.deadline;
    });
    overtaken += overtakes ? 1 : 0;
    if (to.prompts.empty())
      to.left = kPrompt;
    to.prompts.push_back(request);
    ++to.sent;
  }

  void Arrive(const queued_request& request) {
    ++OutcomeOf(request).arrived;
    if (with_queue_) {
      SetStates();
      if (Enqueue(queue_, request, now_)) {
        ++OutcomeOf(request).refused;
        return;
      }
    }
    waiting_[request.number] = request;
  }

  void SetStates() {
    for (std::size_t i = 0; i < engines_.size(); ++i)
      SetEngine(queue_, Name(i), StateOf(engines_[i]), now_);
  }

  void Pass() {
    SetStates();
    const queue_decisions decided = Decide(queue_, now_);
    for (const engine_refusal& each : decided.refusals) {
      ++OutcomeOf(waiting_.at(each.number)).refused;
      ++OutcomeOf(waiting_.at(each.number)).refused_late;
      waiting_.erase(each.number);
    }
    for (const engine_grant& each : decided.grants) {
      const queued_request request = waiting_.at(each.number);
      waiting_.erase(each.number);
      Send(request, static_cast<std::size_t>(std::stoi(each.engine.substr(1))));
    }
  }

  // Hosts check their requests independently of each other.
  void Poll() {
    std::vector<std::int64_t> done;
    for (const auto& [number, request] : waiting_) {
      if ((now_ - request.arrived) % 15ms != 0ms)
        continue;
      const auto best = std::ranges::min_element(
          engines_, {},
          [&](const engine& each) { return StateOf(each).load.unread_tokens; });
      const server_candidate load = StateOf(*best).load;
      engine_candidate turn;
      turn.waited = std::chrono::duration_cast<std::chrono::milliseconds>(
          now_ - request.arrived);
      turn.objective = std::chrono::duration_cast<std::chrono::milliseconds>(
          request.deadline - request.arrived);
      turn.response_in = ExpectedWait(load, request.weight);
      turn.prompt_backlog =
          kTokenTime * static_cast<double>(load.unread_tokens);
      turn.max_event_gap = request.max_event_gap;
      turn.recheck_interval = 15ms;
      const auto decided = DecideAdmission(turn);
      if (decided == admission_decision::kWait)
        continue;
      done.push_back(number);
      if (decided == admission_decision::kRefuse)
        ++OutcomeOf(request).refused;
      else
        Send(request, static_cast<std::size_t>(best - engines_.begin()));
    }
    for (const std::int64_t number : done)
      waiting_.erase(number);
  }

  bool with_queue_;
  base::time_point now_ = kStart;
  std::vector<engine> engines_;
  std::vector<source> sources_;
  engine_queue queue_;
  std::map<std::int64_t, queued_request> waiting_;
  std::int64_t last_number_ = 0;
};

double OnTimeShare(const burst_play::outcome& of) {
  return static_cast<double>(of.on_time) /
         std::max(of.on_time + of.late + of.refused, 1);
}

// Callers of an urgent route and of a less urgent one send 1.5 to 2.6 times as
// much as the engines read; one workspace sends most of it.
burst_play PlayBurst(bool with_queue, double factor) {
  burst_play play(with_queue, 4);
  const double rate = play.Capacity() * factor;
  play.AddSource(rate * 0.2, 0, "", 500ms);
  play.AddSource(rate * 0.6, 1, "flood", 800ms);
  play.AddSource(play.Capacity() * 0.15, 1, "small", 800ms);
  play.AddSource(rate * 0.2 - play.Capacity() * 0.15 + 1, 2, "", 8000ms);
  play.Run(20s);
  for (const auto& [key, of] : play.outcomes) {
    BOOST_TEST_MESSAGE((with_queue ? "queue " : "polling ")
                       << factor << ": priority " << key.first << " "
                       << key.second << ": arrived " << of.arrived
                       << ", on time " << of.on_time << ", late " << of.late
                       << ", refused " << of.refused
                       << ", of them after waiting " << of.refused_late);
  }
  BOOST_TEST_MESSAGE("overtaken " << play.overtaken);
  return play;
}

int OnTime(const burst_play& play) {
  int out = 0;
  for (const auto& [key, of] : play.outcomes)
    out += of.on_time;
  return out;
}

BOOST_AUTO_TEST_SUITE(engine_queues)

// Guards against a burst at which urgent callers are served no better than
// others, and a flooding workspace displaces a small one.
BOOST_AUTO_TEST_CASE(bursts_are_served_by_priority_and_workspace) {
  for (const double factor : {1.5, 2.0, 2.6}) {
    const burst_play queued = PlayBurst(true, factor);
    const burst_play polled = PlayBurst(false, factor);
    const auto& urgent = queued.outcomes.at({0, ""});
    const auto& small = queued.outcomes.at({1, "small"});
    BOOST_TEST(OnTimeShare(urgent) > 0.99);
    BOOST_TEST(OnTimeShare(small) > 0.95);
    BOOST_TEST(OnTimeShare(small) >
               OnTimeShare(queued.outcomes.at({1, "flood"})));
    BOOST_TEST(OnTimeShare(urgent) > OnTimeShare(polled.outcomes.at({0, ""})));
    BOOST_TEST(OnTimeShare(small) >
               OnTimeShare(polled.outcomes.at({1, "small"})));
    BOOST_TEST(OnTime(queued) > OnTime(polled));
  }
}

// Guards against new requests that are sent before those that wait.
BOOST_AUTO_TEST_CASE(no_newcomer_overtakes) {
  BOOST_TEST(PlayBurst(true, 2.0).overtaken == 0);
  BOOST_TEST(PlayBurst(false, 2.0).overtaken > 0);
}

// An engine reads at 0.55 of the speed, and the owner does not know it. Guards
// against requests that are sent to it faster than it reads.
BOOST_AUTO_TEST_CASE(a_slow_engine_is_not_sent_more_than_it_reads) {
  burst_play play(true, 4);
  play.SetSpeed(0, 0.55);
  play.AddSource(play.Capacity() * 2, 1, "", 800ms);
  play.Run(20s);
  const auto& of = play.outcomes.at({1, ""});
  BOOST_TEST_MESSAGE("on time " << of.on_time << ", late " << of.late
                                << ", refused " << of.refused);
  BOOST_TEST(of.late * 20 < of.on_time);
}

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
