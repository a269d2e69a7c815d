// SPDX-License-Identifier: MIT
// Bursts of requests at engines in virtual time, with and without a queue.
#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "engine_simulation.h"

namespace {

using namespace valeledge;
using namespace valeledge::decisions;
using namespace valeledge::test;
using namespace std::chrono_literals;

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
    AddHolders(queue_, engines_.size());
  }

  double Capacity() const { return test::Capacity(engines_); }

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
      Read(engines_, now_, [this](const auto& done) { Record(done); });
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

  outcome& OutcomeOf(const queued_request& request) {
    return outcomes[{request.priority, request.workspace}];
  }

  // The owner is asked for the time until the prompt has been read.
  void Record(const queued_request& done) {
    ++(now_ <= done.deadline + kFirstEventDelay ? OutcomeOf(done).on_time
                                                : OutcomeOf(done).late);
  }

  void Send(const queued_request& request, simulated_engine& to) {
    const auto response_in = ExpectedWait(StateOf(to).load, request.weight);
    const bool overtakes = std::ranges::any_of(waiting_, [&](const auto& each) {
      const queued_request& other = each.second;
      return other.priority == request.priority &&
             other.workspace == request.workspace &&
             other.arrived < request.arrived &&
             now_ + response_in <= other.deadline;
    });
    overtaken += overtakes ? 1 : 0;
    test::Send(to, request);
  }

  void Arrive(const queued_request& request) {
    ++OutcomeOf(request).arrived;
    if (with_queue_) {
      SetStates(queue_, engines_, now_);
      if (Enqueue(queue_, request, now_)) {
        ++OutcomeOf(request).refused;
        return;
      }
    }
    waiting_[request.number] = request;
  }

  void Pass() {
    SetStates(queue_, engines_, now_);
    const queue_decisions decided = Decide(queue_, now_);
    for (const engine_refusal& each : decided.refusals) {
      ++OutcomeOf(waiting_.at(each.number)).refused;
      ++OutcomeOf(waiting_.at(each.number)).refused_late;
      waiting_.erase(each.number);
    }
    for (const engine_grant& each : decided.grants) {
      const queued_request request = waiting_.at(each.number);
      waiting_.erase(each.number);
      Send(request, engines_.at(EngineIndex(each.engine)));
    }
  }

  // Hosts check their requests independently of each other.
  void Poll() {
    std::vector<std::int64_t> done;
    for (const auto& [number, request] : waiting_) {
      if ((now_ - request.arrived) % 15ms != 0ms)
        continue;
      simulated_engine& best = LeastLoaded(engines_);
      const auto decided = DecideOnHost(
          best, request, request.deadline - request.arrived, true, now_);
      if (decided == admission_decision::kWait)
        continue;
      done.push_back(number);
      if (decided == admission_decision::kRefuse)
        ++OutcomeOf(request).refused;
      else
        Send(request, best);
    }
    for (const std::int64_t number : done)
      waiting_.erase(number);
  }

  bool with_queue_;
  base::time_point now_ = kStart;
  simulated_engines engines_;
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

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
