// SPDX-License-Identifier: MIT
#include "decisions/return_reservations.h"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "decisions/engine_admission.h"
#include "decisions/engine_queue.h"

namespace {

using namespace valeledge;
using namespace valeledge::decisions;
using namespace std::chrono_literals;

constexpr double kTokensPerMs = 38.7;
constexpr std::chrono::duration<double, std::milli> kTokenTime{1 /
                                                               kTokensPerMs};
// Uncached part of the prompts of the audit routes: 75 ms of reading.
constexpr std::int64_t kPrompt = 2890;
constexpr auto kReadTime = kTokenTime * kPrompt;

// Time from the end of the reading of a prompt to its first event.
constexpr std::chrono::milliseconds kFirstEventDelay{35};

constexpr std::chrono::milliseconds kObjective{800};
constexpr std::chrono::milliseconds kDeadline{6000};

const base::time_point kStart = base::time_point() + 1h;

queued_request Request(std::int64_t number,
                       std::int64_t priority,
                       std::string workspace,
                       base::time_point now,
                       std::chrono::milliseconds objective = kObjective) {
  queued_request request;
  request.number = number;
  request.unit = "m";
  request.priority = priority;
  request.workspace = std::move(workspace);
  request.arrived = now;
  request.deadline = now + objective;
  request.weight = {kPrompt, kPrompt + 50, kTokenTime, {}};
  request.max_event_gap = 400ms;
  request.caller_deadline = now + kDeadline;
  return request;
}

queued_request Returning(queued_request request, base::time_point now) {
  request.number += 100'000;
  request.arrived = now;
  request.deadline = now + 1000ms;
  request.returning = true;
  request.caller_deadline.reset();
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
  queue.reserves_returns = true;
  SetHolders(queue, "m", {"e1"});
  SetEngine(queue, "e1", Engine(unread_tokens), kStart);
  return queue;
}

return_reservation Reservation(std::chrono::milliseconds returns_in,
                               std::int64_t priority = 1,
                               std::string workspace = "w") {
  return {"m", priority, std::move(workspace), kStart + returns_in, 75ms};
}

// Virtual time of some engines that serve one model, whose refused callers
// return once, when they were told to. The host of a returning request that the
// owner refuses sends it by itself.
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
    std::vector<std::string> names;
    for (std::size_t i = 0; i < engines; ++i)
      names.push_back(Name(i));
    SetHolders(queue_, "m", names);
  }

  // Requests per second that the engines can read.
  double Capacity() const {
    return static_cast<double>(engines_.size()) * kTokensPerMs * 1000 / kPrompt;
  }

  // Requests of one source arrive at random times, at a mean rate.
  void Run(
      std::chrono::milliseconds length,
      const std::map<std::pair<std::int64_t, std::string>, double>& rates) {
    for (const auto end = now_ + length; now_ < end; now_ += 1ms) {
      Read();
      SetStates();
      for (const auto& [key, rate] : rates) {
        std::poisson_distribution<int> arrivals(rate / 1000);
        for (int left = arrivals(random_); left > 0; --left)
          Arrive(Request(++last_number_, key.first, key.second, now_));
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
  struct engine {
    // Prompts that are being read, and tokens left of the first one.
    std::deque<queued_request> prompts;
    double left = 0;
    std::int64_t sent = 0;
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

  void SetStates() {
    for (std::size_t i = 0; i < engines_.size(); ++i)
      SetEngine(queue_, Name(i), StateOf(engines_[i]), now_);
  }

  void Read() {
    for (engine& each : engines_) {
      while (!each.read.empty() && each.read.front().first <= now_) {
        Record(each.read.front().second);
        each.read.pop_front();
      }
      if (each.prompts.empty())
        continue;
      each.left -= kTokensPerMs;
      if (each.left > 0)
        continue;
      each.read.emplace_back(now_ + kFirstEventDelay, each.prompts.front());
      each.prompts.pop_front();
      each.left = each.prompts.empty() ? 0 : kPrompt;
    }
  }

  void Record(const queued_request& done) {
    const bool on_time = now_ <= done.arrived + kObjective + kFirstEventDelay;
    outcome& of = OutcomeOf(done);
    if (done.returning)
      ++(on_time ? of.returned_on_time : of.returned_late);
    else
      ++(on_time ? of.on_time : of.late);
  }

  void Send(const queued_request& request, engine& to) {
    if (to.prompts.empty())
      to.left = kPrompt;
    to.prompts.push_back(request);
    ++to.sent;
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
    if (request.returning) {
      on_host_.push_back(request);
      return;
    }
    ++OutcomeOf(request).refused;
    if (!returning_(returns_random_))
      return;
    const auto honoured =
        (*request.caller_deadline - now_) * kHonouredDelayShare;
    const auto delay = std::min<base::time_point::duration>(
        refusal.retry_after,
        std::chrono::duration_cast<base::time_point::duration>(honoured));
    returns_.emplace(now_ + delay + 4ms, request);
  }

  void Return() {
    while (!returns_.empty() && returns_.begin()->first <= now_) {
      const queued_request request = Returning(returns_.begin()->second, now_);
      returns_.erase(returns_.begin());
      ++OutcomeOf(request).returned;
      if (Enqueue(queue_, request, now_))
        on_host_.push_back(request);
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
      Send(waiting_.at(each.number),
           engines_.at(std::stoul(each.engine.substr(1))));
      waiting_.erase(each.number);
    }
  }

  // Hosts check the requests that they send by themselves.
  void Poll() {
    std::erase_if(on_host_, [&](const queued_request& request) {
      if ((now_ - request.arrived) % 15ms != 0ms)
        return false;
      const auto best = std::ranges::min_element(
          engines_, {},
          [&](const engine& each) { return StateOf(each).load.unread_tokens; });
      const server_candidate load = StateOf(*best).load;
      engine_candidate turn;
      turn.waited = std::chrono::duration_cast<std::chrono::milliseconds>(
          now_ - request.arrived);
      turn.objective = kObjective;
      turn.response_in = ExpectedWait(load, request.weight);
      turn.prompt_backlog =
          kTokenTime * static_cast<double>(load.unread_tokens);
      turn.max_event_gap = request.max_event_gap;
      turn.recheck_interval = 15ms;
      turn.refusable = false;
      if (DecideAdmission(turn) == admission_decision::kWait)
        return false;
      Send(request, *best);
      return true;
    });
  }

  base::time_point now_ = kStart;
  std::vector<engine> engines_;
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

// Guards against reservations that others redeem, or that count twice.
BOOST_AUTO_TEST_CASE(a_reservation_is_redeemed_once_by_a_matching_request) {
  return_reservations of;
  AddReservation(of, Reservation(900ms));
  AddReservation(of, Reservation(600ms));
  const auto due = kStart + 650ms;
  BOOST_TEST(!RedeemReservation(of, "m", 1, "w", kStart + 599ms));
  BOOST_TEST(!RedeemReservation(of, "n", 1, "w", due));
  BOOST_TEST(!RedeemReservation(of, "m", 0, "w", due));
  BOOST_TEST(!RedeemReservation(of, "m", 1, "x", due));
  BOOST_TEST(RedeemReservation(of, "m", 1, "w", due));
  // The other one is not due yet.
  BOOST_TEST(!RedeemReservation(of, "m", 1, "w", due));
  BOOST_TEST(RedeemReservation(of, "m", 1, "w", kStart + 900ms));
  BOOST_TEST(of.units.empty());
}

// Guards against capacity that is kept for callers that do not return.
BOOST_AUTO_TEST_CASE(a_reservation_lapses_after_the_tolerance) {
  return_reservations of;
  AddReservation(of, Reservation(600ms));
  AddReservation(of, Reservation(900ms));
  BOOST_TEST(DropLapsed(of, kStart + 1100ms) == 0);
  BOOST_TEST(DropLapsed(of, kStart + 1101ms) == 1);
  BOOST_TEST(CountReservations(of) == 1);
  BOOST_TEST(DropLapsed(of, kStart + 10s) == 1);
  BOOST_TEST(of.units.empty());
}

// Guards against a visit to all reservations for each request, and against one
// that lapses late because another was added or redeemed.
BOOST_AUTO_TEST_CASE(the_earliest_time_of_the_reservations_is_known) {
  return_reservations of;
  AddReservation(of, Reservation(900ms));
  AddReservation(of, Reservation(600ms, 0));
  AddReservation(of, Reservation(1200ms, 1, "x"));
  BOOST_TEST((of.earliest == kStart + 600ms));
  BOOST_TEST(DropLapsed(of, kStart + 1101ms) == 1);
  BOOST_TEST((of.earliest == kStart + 900ms));
  BOOST_TEST(RedeemReservation(of, "m", 1, "w", kStart + 1101ms));
  BOOST_TEST(DropLapsed(of, kStart + 1700ms) == 0);
  BOOST_TEST((of.earliest == kStart + 1200ms));
  BOOST_TEST(DropLapsed(of, kStart + 1701ms) == 1);
  BOOST_TEST((of.earliest == base::time_point::max()));
}

// Guards against requests that are delayed by less urgent callers, or by those
// that return after their turn.
BOOST_AUTO_TEST_CASE(reserved_time_is_summed_by_time_and_priority) {
  return_reservations of;
  AddReservation(of, Reservation(600ms, 1));
  AddReservation(of, Reservation(700ms, 0));
  AddReservation(of, Reservation(800ms, 1, "x"));
  AddReservation(of, Reservation(900ms, 2));
  const auto sum = [&](std::int64_t priority, std::chrono::milliseconds until) {
    return ReservedReadTime(of, "m", priority, kStart + until).count();
  };
  BOOST_TEST(sum(2, 599ms) == 0);
  BOOST_TEST(sum(2, 600ms) == 75);
  BOOST_TEST(sum(0, 2s) == 75);
  BOOST_TEST(sum(1, 2s) == 225);
  BOOST_TEST(sum(2, 2s) == 300);
  BOOST_TEST(ReservedReadTime(of, "n", 2, kStart + 2s).count() == 0);
}

// Adds requests of the same source until one is refused.
engine_refusal FillQueue(engine_queue& queue,
                         std::int64_t& number,
                         base::time_point now) {
  while (true) {
    const auto refusal = Enqueue(queue, Request(++number, 1, "w", now), now);
    if (refusal)
      return *refusal;
  }
}

// Guards against new requests that use the capacity that a returning caller was
// told to return for, and against new ones that wait in vain for it.
BOOST_AUTO_TEST_CASE(new_requests_are_refused_until_after_the_reservations) {
  engine_queue queue = OneEngine(kPrompt);
  std::int64_t number = 0;
  const auto first = FillQueue(queue, number, kStart);
  BOOST_TEST(queue.returns.made == 1);
  // The queue has been served when the callers return.
  for (std::int64_t each = 1; each <= number; ++each)
    RemovePlace(queue, each);
  for (int i = 0; i < 10; ++i)
    AddReservation(queue.reserved, Reservation(first.retry_after));
  const auto now = kStart + first.retry_after;
  SetEngine(queue, "e1", Engine(kPrompt), now);
  // Eleven reservations are due, 825 ms of reading: the time for a new request
  // is after them.
  const auto refusal = Enqueue(queue, Request(100, 1, "w", now), now);
  BOOST_REQUIRE(refusal.has_value());
  BOOST_TEST((refusal->retry_after >= 825ms));
  BOOST_TEST(queue.returns.refusals == 1);
  // Nothing is reserved for this one, which is late anyway, and no capacity is
  // assigned to others without a reservation: its time is that of the reserved
  // work.
  auto other = Request(102, 1, "w", now, 10ms);
  other.caller_deadline.reset();
  queue.units.at("m").returns_until = {};
  const auto late = Enqueue(queue, other, now);
  BOOST_REQUIRE(late.has_value());
  BOOST_TEST((late->retry_after >= 825ms));
  BOOST_TEST((late->retry_after < 1485ms));
  // More urgent ones are not concerned.
  BOOST_TEST(!Enqueue(queue, Request(101, 0, "w", now), now));
}

// Guards against returning callers that wait behind new requests, or go before
// more urgent ones.
BOOST_AUTO_TEST_CASE(a_returning_caller_goes_before_new_ones_of_its_priority) {
  engine_queue queue = OneEngine(20'000);
  AddReservation(queue.reserved, Reservation(0ms));
  BOOST_TEST(!Enqueue(queue, Request(1, 1, "w", kStart, 5s), kStart));
  BOOST_TEST(!Enqueue(queue, Request(2, 0, "w", kStart, 5s), kStart));
  auto back = Returning(Request(3, 1, "w", kStart), kStart);
  // Later than the others, and too late to be added without a reservation.
  back.deadline = kStart + 700ms;
  BOOST_TEST(!Enqueue(queue, back, kStart));
  BOOST_TEST(queue.returns.redeemed == 1);
  // The next one has no reservation.
  auto next = back;
  ++next.number;
  BOOST_TEST(Enqueue(queue, next, kStart).has_value());
  std::vector<std::int64_t> order;
  for (int i = 1; i <= 3; ++i) {
    SetEngine(queue, "e1", Engine(0, i), kStart + i * 2ms);
    const auto decided = Decide(queue, kStart + i * 2ms);
    BOOST_REQUIRE_EQUAL(decided.grants.size(), 1u);
    order.push_back(decided.grants.front().number);
  }
  BOOST_TEST((order == std::vector<std::int64_t>{2, back.number, 1}));
}

// Guards against a request that is added because of its reservation and then
// refused because more urgent ones go before it.
BOOST_AUTO_TEST_CASE(a_redeemed_request_is_refused_only_if_it_is_late) {
  engine_queue queue = OneEngine(20'000);
  for (int i = 1; i <= 5; ++i)
    BOOST_TEST(!Enqueue(queue, Request(i, 0, "w", kStart, 5s), kStart));
  AddReservation(queue.reserved, Reservation(0ms));
  auto back = Returning(Request(6, 1, "w", kStart), kStart);
  back.deadline = kStart + 700ms;
  BOOST_TEST(!Enqueue(queue, back, kStart));
  BOOST_TEST(Decide(queue, kStart).refusals.empty());
  const auto decided = Decide(queue, kStart + 700ms);
  BOOST_REQUIRE_EQUAL(decided.refusals.size(), 1u);
  BOOST_TEST(decided.refusals.front().number == back.number);
}

// Guards against a reservation that is taken, or made, for a request that its
// host serves by itself: its caller is told nothing.
BOOST_AUTO_TEST_CASE(no_reservation_concerns_requests_without_an_engine) {
  engine_queue queue = OneEngine(0);
  auto request = Request(1, 1, "w", kStart);
  request.avoid = {"e1"};
  const auto refusal = Enqueue(queue, request, kStart);
  BOOST_REQUIRE(refusal.has_value());
  BOOST_TEST(refusal->without_engine);
  BOOST_TEST(queue.returns.made == 0);
  AddReservation(queue.reserved, Reservation(0ms));
  BOOST_TEST(Enqueue(queue, Returning(request, kStart), kStart).has_value());
  BOOST_TEST(queue.returns.redeemed == 0);
  BOOST_TEST(CountReservations(queue.reserved) == 1);
}

// Guards against work that counts as reserved and as arriving.
BOOST_AUTO_TEST_CASE(redeemed_requests_do_not_count_as_arriving) {
  engine_queue queue = OneEngine(20'000);
  AddReservation(queue.reserved, Reservation(0ms));
  const auto level = [&] {
    return queue.units.at("m").arriving.at({1, "w"}).level.count();
  };
  const auto back = Returning(Request(1, 1, "w", kStart), kStart);
  BOOST_TEST(!Enqueue(queue, back, kStart));
  BOOST_TEST(level() == 0);
  auto next = back;
  ++next.number;
  next.deadline = kStart + 5s;
  BOOST_TEST(!Enqueue(queue, next, kStart));
  BOOST_TEST(level() == kReadTime.count());
}

// Guards against requests that cannot be refused and are served later by their
// hosts because of reservations.
BOOST_AUTO_TEST_CASE(
    reservations_do_not_displace_requests_that_must_be_served) {
  engine_queue queue = OneEngine(13'000);
  for (int i = 0; i < 15; ++i)
    AddReservation(queue.reserved, Reservation(0ms, 0));
  const auto returning = Returning(Request(1, 1, "a", kStart), kStart);
  BOOST_TEST(!Enqueue(queue, returning, kStart));
  auto stated = Returning(Request(2, 1, "b", kStart), kStart);
  stated.caller_deadline = kStart + kDeadline;
  BOOST_TEST(!Enqueue(queue, stated, kStart));
  auto later_attempt = Request(3, 1, "c", kStart, 1s);
  later_attempt.caller_deadline.reset();
  BOOST_TEST(!Enqueue(queue, later_attempt, kStart));
  BOOST_TEST(Decide(queue, kStart).refusals.empty());
  BOOST_TEST(CountWaiting(queue) == 3);
  BOOST_TEST(queue.returns.refusals == 0);
  const auto refusable = Request(4, 1, "w", kStart, 1s);
  BOOST_TEST(Enqueue(queue, refusable, kStart).has_value());
  BOOST_TEST(queue.returns.refusals == 1);
}

// Guards against bursts of less urgent callers that leave nothing to reserve
// for urgent ones.
BOOST_AUTO_TEST_CASE(less_urgent_callers_do_not_use_up_what_may_be_reserved) {
  engine_queue queue = OneEngine(kPrompt);
  std::int64_t number = 0;
  const auto refuse = [&](std::int64_t priority) {
    const auto request = Request(++number, priority, "w", kStart, 10ms);
    BOOST_TEST(Enqueue(queue, request, kStart).has_value());
  };
  for (int i = 0; i < 200; ++i)
    refuse(2);
  const auto less_urgent = queue.returns.made;
  BOOST_TEST(less_urgent > 5);
  for (int i = 0; i < 200; ++i)
    refuse(0);
  BOOST_TEST(queue.returns.made == 2 * less_urgent);
  for (int i = 0; i < 200; ++i)
    refuse(2);
  BOOST_TEST(queue.returns.made == 2 * less_urgent);
}

// Guards against a burst of refusals that blocks new requests.
BOOST_AUTO_TEST_CASE(at_most_half_of_the_capacity_is_reserved) {
  engine_queue queue = OneEngine(kPrompt);
  std::int64_t number = 0;
  for (int i = 0; i < 200; ++i)
    FillQueue(queue, number, kStart);
  BOOST_TEST(queue.returns.made > 5);
  for (auto until = 0ms; until <= 6s; until += 10ms) {
    const auto reserved =
        ReservedReadTime(queue.reserved, "m", 9, kStart + until);
    BOOST_TEST(reserved.count() <= static_cast<double>(until.count()) / 2);
  }
}

// Guards against callers with long deadlines that leave nothing to reserve for
// others.
BOOST_AUTO_TEST_CASE(long_deadlines_do_not_use_up_what_may_be_reserved) {
  engine_queue queue = OneEngine(kPrompt);
  std::int64_t number = 0;
  const auto refuse = [&](std::chrono::milliseconds deadline) {
    auto request = Request(++number, 1, "w", kStart, 10ms);
    request.caller_deadline = kStart + deadline;
    BOOST_TEST(Enqueue(queue, request, kStart).has_value());
  };
  for (int i = 0; i < 200; ++i)
    refuse(15s);
  const auto patient = queue.returns.made;
  BOOST_TEST(patient > 10);
  for (int i = 0; i < 200; ++i)
    refuse(6s);
  BOOST_TEST(queue.returns.made > patient + 4);
  const auto reserved = ReservedReadTime(queue.reserved, "m", 9, kStart + 10s);
  BOOST_TEST(reserved.count() <= 0.7 * 5000);
}

// Guards against reservations for callers that return earlier, not at all, or
// that are not told the time.
BOOST_AUTO_TEST_CASE(nothing_is_reserved_for_callers_that_do_not_return_then) {
  engine_queue queue = OneEngine(40'000);
  auto request = Request(1, 1, "w", kStart);
  request.caller_deadline = kStart + 2s;
  BOOST_TEST(Enqueue(queue, request, kStart).has_value());
  request.caller_deadline.reset();
  BOOST_TEST(Enqueue(queue, request, kStart).has_value());
  request.caller_deadline = kStart + 6s;
  request.returning = true;
  BOOST_TEST(Enqueue(queue, request, kStart).has_value());
  request.returning = false;
  queue.reserves_returns = false;
  BOOST_TEST(Enqueue(queue, request, kStart).has_value());
  BOOST_TEST(queue.returns.made == 0);
  queue.reserves_returns = true;
  BOOST_TEST(Enqueue(queue, request, kStart).has_value());
  BOOST_TEST(queue.returns.made == 1);
  // The caller does not return.
  Decide(queue, kStart + 10s);
  BOOST_TEST(queue.returns.lapsed == 1);
}

// Guards against expected times that count engines that have ended.
BOOST_AUTO_TEST_CASE(reserved_time_is_divided_among_the_remaining_engines) {
  engine_queue queue = OneEngine(0);
  SetHolders(queue, "m", {"e1", "e2"});
  SetEngine(queue, "e2", Engine(0), kStart);
  for (int i = 0; i < 15; ++i)
    AddReservation(queue.reserved, Reservation(0ms));
  BOOST_TEST(!Enqueue(queue, Request(1, 1, "w", kStart), kStart));
  RemovePlace(queue, 1);
  SetHolders(queue, "m", {"e2"});
  BOOST_TEST(Enqueue(queue, Request(2, 1, "w", kStart), kStart).has_value());
}

// Guards against callers that return when they were told to and wait behind new
// requests.
BOOST_AUTO_TEST_CASE(callers_that_return_after_a_burst_are_served_in_time) {
  for (const double factor : {1.5, 2.0, 2.6}) {
    for (const int seed : {1, 2, 3}) {
      const auto before = Total(PlayBursts(false, factor, seed));
      const auto after = Total(PlayBursts(true, factor, seed));
      BOOST_TEST(after.returned_late * 2 <= before.returned_late);
      BOOST_TEST(after.refused <= before.refused);
      BOOST_TEST(after.on_time + after.returned_on_time >
                 before.on_time + before.returned_on_time);
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
