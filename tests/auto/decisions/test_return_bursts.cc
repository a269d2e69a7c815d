// SPDX-License-Identifier: MIT
// Bursts of requests at engines in virtual time, whose refused callers return,
// with and without reservations.
#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "decisions/request_time.h"
#include "decisions/return_reservations.h"
#include "engine_simulation.h"

namespace {

using namespace valeledge;
using namespace valeledge::decisions;
using namespace valeledge::test;
using namespace std::chrono_literals;

// Virtual time of some engines that serve one model, whose refused callers
// return when they were told to. The host of a request that the owner refuses
// sends it by itself if its caller cannot come back in time.
class return_play {
 public:
  struct outcome {
    int arrived = 0;
    int on_time = 0;
    int late = 0;
    int refused = 0;
    // Callers that have returned, and what they got.
    int returned = 0;
    int returned_on_time = 0;
    int returned_late = 0;
  };

  // `returning`: share of the refused callers that return.
  return_play(bool reserves, std::size_t engines, int seed, double returning)
      : engines_(engines),
        random_(static_cast<unsigned>(seed)),
        returning_(returning) {
    queue_.reserves_returns = reserves;
    AddHolders(queue_, engines);
  }

  double Capacity() const { return test::Capacity(engines_); }

  // Requests of one source arrive at random times, at a mean rate.
  void Run(
      std::chrono::milliseconds length,
      const std::map<std::pair<std::int64_t, std::string>, double>& rates) {
    for (const auto end = now_ + length; now_ < end; now_ += 1ms) {
      Read(engines_, now_, [this](const auto& done) { Record(done); });
      SetStates(queue_, engines_, now_);
      for (const auto& [key, rate] : rates) {
        std::poisson_distribution<int> arrivals(rate / 1000);
        for (int left = arrivals(random_); left > 0; --left)
          Arrive(RefusableRequest(++last_number_, key.first, key.second, now_));
      }
      Return();
      Pass();
      Poll();
    }
  }

  // Runs until all requests have ended.
  void Finish() {
    while (!returns_.empty() || !waiting_.empty() || !on_host_.empty())
      Run(100ms, {});
    Run(30s, {});
  }

  const return_counts& counts() const { return queue_.returns; }

  std::map<std::pair<std::int64_t, std::string>, outcome> outcomes;

 private:
  outcome& OutcomeOf(const queued_request& request) {
    return outcomes[{request.priority, request.workspace}];
  }

  void Record(const queued_request& done) {
    const bool on_time = now_ <= done.arrived + kObjective + kFirstEventDelay;
    outcome& of = OutcomeOf(done);
    if (HasReturned(done))
      ++(on_time ? of.returned_on_time : of.returned_late);
    else
      ++(on_time ? of.on_time : of.late);
  }

  void Arrive(const queued_request& request) {
    ++OutcomeOf(request).arrived;
    if (const auto refusal = Enqueue(queue_, request, now_))
      OnRefused(request, *refusal);
    else
      waiting_[request.number] = request;
  }

  // A host tells no caller a delay that it would not honour.
  void OnRefused(const queued_request& request, const engine_refusal& refusal) {
    if (request.sent_anyway) {
      on_host_.push_back(request);
      return;
    }
    ++OutcomeOf(request).refused;
    if (!returning_(returns_random_))
      return;
    const auto delay =
        std::min(refusal.retry_after, MaxHonouredDelay(TimeLeft(request)));
    returns_.emplace(now_ + delay + 4ms, request);
  }

  std::chrono::milliseconds TimeLeft(const queued_request& request) const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        *request.caller_deadline - now_);
  }

  void Return() {
    while (!returns_.empty() && returns_.begin()->first <= now_) {
      queued_request request = Returning(returns_.begin()->second, now_);
      returns_.erase(returns_.begin());
      ++OutcomeOf(request).returned;
      request.sent_anyway =
          !CanRetryInTime({kObjective, TimeLeft(request), kObjective, {}});
      if (const auto refusal = Enqueue(queue_, request, now_))
        OnRefused(request, *refusal);
      else
        waiting_[request.number] = request;
    }
  }

  void Pass() {
    const queue_decisions decided = Decide(queue_, now_);
    for (const engine_refusal& each : decided.refusals) {
      OnRefused(waiting_.at(each.number), each);
      waiting_.erase(each.number);
    }
    for (const engine_grant& each : decided.grants) {
      Send(engines_.at(EngineIndex(each.engine)), waiting_.at(each.number));
      waiting_.erase(each.number);
    }
  }

  // Hosts check the requests that they send by themselves.
  void Poll() {
    std::erase_if(on_host_, [&](const queued_request& request) {
      if ((now_ - request.arrived) % 15ms != 0ms)
        return false;
      simulated_engine& best = LeastLoaded(engines_);
      if (DecideOnHost(best, request, kObjective, false, now_) ==
          admission_decision::kWait)
        return false;
      Send(best, request);
      return true;
    });
  }

  base::time_point now_ = kStart;
  simulated_engines engines_;
  engine_queue queue_;
  // Separate, so that the same requests arrive with and without reservations.
  std::mt19937 random_;
  std::mt19937 returns_random_{1};
  std::bernoulli_distribution returning_;
  std::map<std::int64_t, queued_request> waiting_;
  std::multimap<base::time_point, queued_request> returns_;
  std::vector<queued_request> on_host_;
  std::int64_t last_number_ = 0;
};

return_play::outcome Total(const return_play& play) {
  return_play::outcome sum;
  for (const auto& [key, of] : play.outcomes) {
    sum.arrived += of.arrived;
    sum.on_time += of.on_time;
    sum.late += of.late;
    sum.refused += of.refused;
    sum.returned += of.returned;
    sum.returned_on_time += of.returned_on_time;
    sum.returned_late += of.returned_late;
  }
  return sum;
}

// Bursts of an urgent route every 6 s, over a load of 0.6 of what the engines
// can read.
return_play PlayBursts(bool reserves,
                       double factor,
                       int seed,
                       double returning = 1) {
  return_play play(reserves, 4, seed, returning);
  const double capacity = play.Capacity();
  for (int burst = 0; burst < 20; ++burst) {
    play.Run(1000ms, {{{0, ""}, capacity * 0.2},
                      {{1, "a"}, capacity * (factor - 0.3)},
                      {{1, "b"}, capacity * 0.1}});
    play.Run(5000ms, {{{0, ""}, capacity * 0.2},
                      {{1, "a"}, capacity * 0.3},
                      {{1, "b"}, capacity * 0.1}});
  }
  play.Finish();
  const auto sum = Total(play);
  BOOST_TEST_MESSAGE(
      (reserves ? "reserved " : "unreserved ")
      << factor << " seed " << seed << " returning " << returning
      << ": arrived " << sum.arrived << ", on time " << sum.on_time << ", late "
      << sum.late << ", refused " << sum.refused << "; returned "
      << sum.returned << ", on time " << sum.returned_on_time << ", late "
      << sum.returned_late << "; made " << play.counts().made << ", redeemed "
      << play.counts().redeemed << ", lapsed " << play.counts().lapsed
      << ", refused for them " << play.counts().refusals);
  return play;
}

BOOST_AUTO_TEST_SUITE(returning_callers)

// Guards against callers that return when they were told to and wait behind new
// requests, or are refused again: without reservations all of them are served
// in the end, after more refusals.
BOOST_AUTO_TEST_CASE(callers_that_return_after_a_burst_are_served_in_time) {
  for (const double factor : {1.5, 2.0, 2.6}) {
    for (const int seed : {1, 2, 3}) {
      const auto before = Total(PlayBursts(false, factor, seed));
      const auto after = Total(PlayBursts(true, factor, seed));
      BOOST_TEST((after.late + after.returned_late) * 1000 <= after.arrived);
      BOOST_TEST((after.on_time + after.returned_on_time) * 1000 >=
                 after.arrived * 999);
      BOOST_TEST(after.refused * 4 <= before.refused * 3);
      BOOST_TEST(after.on_time >= before.on_time);
    }
  }
}

// Guards against capacity that is lost to callers that do not return. Until a
// reservation lapses, new requests are refused for it.
BOOST_AUTO_TEST_CASE(callers_that_do_not_return_cost_a_tenth_at_most) {
  for (const double factor : {1.5, 2.0, 2.6}) {
    const auto before = Total(PlayBursts(false, factor, 1, 0));
    const auto after = Total(PlayBursts(true, factor, 1, 0));
    BOOST_TEST(after.on_time * 10 >= before.on_time * 9);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
