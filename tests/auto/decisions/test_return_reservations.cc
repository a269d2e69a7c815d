// SPDX-License-Identifier: MIT
#include "decisions/return_reservations.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "queue_requests.h"

namespace {

using namespace valeledge;
using namespace valeledge::decisions;
using namespace valeledge::test;
using namespace std::chrono_literals;

constexpr auto kReadTime = kTokenTime * kPrompt;

engine_queue ReservingQueue(std::int64_t unread_tokens) {
  engine_queue queue = OneEngine(unread_tokens);
  queue.reserves_returns = true;
  return queue;
}

// When the callers that were refused before give up.
const auto kRefusedDeadline = kStart + 4s;

return_reservation Reservation(std::chrono::milliseconds returns_in,
                               std::int64_t priority = 1,
                               std::string workspace = "w") {
  return {.unit = "m",
          .priority = priority,
          .workspace = std::move(workspace),
          .returns_at = kStart + returns_in,
          .read_time = 75ms,
          .caller_deadline = kRefusedDeadline};
}

// The caller of a reservation returns with this request.
queued_request ReturningFor(queued_request request, base::time_point now) {
  request = Returning(std::move(request), now);
  request.caller_deadline = kRefusedDeadline;
  return request;
}

// A caller that gives up at this time returns at that one.
bool Redeem(return_reservations& of,
            base::time_point now,
            base::time_point caller_deadline) {
  return RedeemReservation(of, {"m", 1, "w", now, 75ms, caller_deadline});
}

BOOST_AUTO_TEST_SUITE(returning_callers)

// Guards against reservations that others redeem, or that count twice.
BOOST_AUTO_TEST_CASE(a_reservation_is_redeemed_once_by_a_matching_request) {
  return_reservations of;
  AddReservation(of, Reservation(900ms));
  AddReservation(of, Reservation(600ms));
  const auto due = kStart + 650ms;
  const auto deadline = kRefusedDeadline;
  BOOST_TEST(!Redeem(of, kStart + 599ms, deadline));
  BOOST_TEST(!RedeemReservation(of, {"n", 1, "w", due, 75ms, deadline}));
  BOOST_TEST(!RedeemReservation(of, {"m", 0, "w", due, 75ms, deadline}));
  BOOST_TEST(!RedeemReservation(of, {"m", 1, "x", due, 75ms, deadline}));
  BOOST_TEST(Redeem(of, due, deadline));
  // The other one is not due yet.
  BOOST_TEST(!Redeem(of, due, deadline));
  BOOST_TEST(Redeem(of, kStart + 900ms, deadline));
  BOOST_TEST(of.units.empty());
}

// Guards against a caller that takes what was reserved for another one, also
// if the time that it has is shorter than that of others.
BOOST_AUTO_TEST_CASE(a_caller_is_recognized_by_its_deadline) {
  return_reservations of;
  auto other = Reservation(600ms);
  other.caller_deadline = kStart + 6s;
  AddReservation(of, other);
  AddReservation(of, Reservation(600ms));
  const auto due = kStart + 700ms;
  BOOST_TEST(!Redeem(of, due, kStart + 5s));
  BOOST_TEST(!Redeem(of, due, due + kDeadline));
  // What the message took differs from one to the next.
  BOOST_TEST(Redeem(of, due, kRefusedDeadline + 60ms));
  BOOST_TEST(!Redeem(of, due, kRefusedDeadline));
  BOOST_TEST(Redeem(of, due, kStart + 6s - 60ms));
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
  BOOST_TEST(Redeem(of, kStart + 1101ms, kRefusedDeadline));
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
    const auto refusal =
        Enqueue(queue, RefusableRequest(++number, 1, "w", now), now);
    if (refusal)
      return *refusal;
  }
}

// Guards against new requests that use the capacity that a returning caller was
// told to return for, and against new ones that wait in vain for it.
BOOST_AUTO_TEST_CASE(new_requests_are_refused_until_after_the_reservations) {
  engine_queue queue = ReservingQueue(kPrompt);
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
  const auto refusal = Enqueue(queue, RefusableRequest(100, 1, "w", now), now);
  BOOST_REQUIRE(refusal.has_value());
  BOOST_TEST((refusal->retry_after >= 825ms));
  BOOST_TEST(queue.returns.refusals == 1);
  // Nothing is reserved for this one, which is late anyway, and no capacity is
  // assigned to others without a reservation: its time is that of the reserved
  // work.
  auto other = RefusableRequest(102, 1, "w", now, 10ms);
  other.caller_deadline.reset();
  queue.units.at("m").returns_until = {};
  const auto late = Enqueue(queue, other, now);
  BOOST_REQUIRE(late.has_value());
  BOOST_TEST((late->retry_after >= 825ms));
  BOOST_TEST((late->retry_after < 1485ms));
  // More urgent ones are not concerned.
  BOOST_TEST(!Enqueue(queue, RefusableRequest(101, 0, "w", now), now));
}

// Guards against returning callers that wait behind new requests, or go before
// more urgent ones.
BOOST_AUTO_TEST_CASE(a_returning_caller_goes_before_new_ones_of_its_priority) {
  engine_queue queue = ReservingQueue(20'000);
  AddReservation(queue.reserved, Reservation(0ms));
  BOOST_TEST(!Enqueue(queue, RefusableRequest(1, 1, "w", kStart, 5s), kStart));
  BOOST_TEST(!Enqueue(queue, RefusableRequest(2, 0, "w", kStart, 5s), kStart));
  auto back = ReturningFor(RefusableRequest(3, 1, "w", kStart), kStart);
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
  engine_queue queue = ReservingQueue(20'000);
  for (int i = 1; i <= 5; ++i)
    BOOST_TEST(
        !Enqueue(queue, RefusableRequest(i, 0, "w", kStart, 5s), kStart));
  AddReservation(queue.reserved, Reservation(0ms));
  auto back = ReturningFor(RefusableRequest(6, 1, "w", kStart), kStart);
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
  engine_queue queue = ReservingQueue(0);
  auto request = RefusableRequest(1, 1, "w", kStart);
  request.avoid = {"e1"};
  const auto refusal = Enqueue(queue, request, kStart);
  BOOST_REQUIRE(refusal.has_value());
  BOOST_TEST(refusal->without_engine);
  BOOST_TEST(queue.returns.made == 0);
  AddReservation(queue.reserved, Reservation(0ms));
  BOOST_TEST(Enqueue(queue, ReturningFor(request, kStart), kStart).has_value());
  BOOST_TEST(queue.returns.redeemed == 0);
  BOOST_TEST(CountReservations(queue.reserved) == 1);
}

// Guards against work that counts as reserved and as arriving.
BOOST_AUTO_TEST_CASE(redeemed_requests_do_not_count_as_arriving) {
  engine_queue queue = ReservingQueue(20'000);
  AddReservation(queue.reserved, Reservation(0ms));
  const auto level = [&] {
    return queue.units.at("m").arriving.at({1, "w"}).level.count();
  };
  const auto back = ReturningFor(RefusableRequest(1, 1, "w", kStart), kStart);
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
  engine_queue queue = ReservingQueue(13'000);
  for (int i = 0; i < 15; ++i)
    AddReservation(queue.reserved, Reservation(0ms, 0));
  auto sent_anyway = RefusableRequest(1, 1, "a", kStart, 1s);
  sent_anyway.sent_anyway = true;
  BOOST_TEST(!Enqueue(queue, sent_anyway, kStart));
  sent_anyway.number = 2;
  sent_anyway.workspace = "b";
  BOOST_TEST(!Enqueue(queue, sent_anyway, kStart));
  auto later_attempt = RefusableRequest(3, 1, "c", kStart, 1s);
  later_attempt.caller_deadline.reset();
  BOOST_TEST(!Enqueue(queue, later_attempt, kStart));
  BOOST_TEST(Decide(queue, kStart).refusals.empty());
  BOOST_TEST(CountWaiting(queue) == 3);
  BOOST_TEST(queue.returns.refusals == 0);
  const auto refusable = RefusableRequest(4, 1, "w", kStart, 1s);
  BOOST_TEST(Enqueue(queue, refusable, kStart).has_value());
  BOOST_TEST(queue.returns.refusals == 1);
}

// Guards against bursts of less urgent callers that leave nothing to reserve
// for urgent ones.
BOOST_AUTO_TEST_CASE(less_urgent_callers_do_not_use_up_what_may_be_reserved) {
  engine_queue queue = ReservingQueue(kPrompt);
  std::int64_t number = 0;
  const auto refuse = [&](std::int64_t priority) {
    const auto request =
        RefusableRequest(++number, priority, "w", kStart, 10ms);
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
  engine_queue queue = ReservingQueue(kPrompt);
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
  engine_queue queue = ReservingQueue(kPrompt);
  std::int64_t number = 0;
  const auto refuse = [&](std::chrono::milliseconds deadline) {
    auto request = RefusableRequest(++number, 1, "w", kStart, 10ms);
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
  engine_queue queue = ReservingQueue(40'000);
  auto request = RefusableRequest(1, 1, "w", kStart);
  request.caller_deadline = kStart + 2s;
  BOOST_TEST(Enqueue(queue, request, kStart).has_value());
  request.caller_deadline.reset();
  BOOST_TEST(Enqueue(queue, request, kStart).has_value());
  request.caller_deadline = kStart + 6s;
  request.sent_anyway = true;
  BOOST_TEST(Enqueue(queue, request, kStart).has_value());
  request.sent_anyway = false;
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
  engine_queue queue = ReservingQueue(0);
  SetHolders(queue, "m", {"e1", "e2"});
  SetEngine(queue, "e2", Engine(0), kStart);
  for (int i = 0; i < 15; ++i)
    AddReservation(queue.reserved, Reservation(0ms));
  BOOST_TEST(!Enqueue(queue, RefusableRequest(1, 1, "w", kStart), kStart));
  RemovePlace(queue, 1);
  SetHolders(queue, "m", {"e2"});
  BOOST_TEST(
      Enqueue(queue, RefusableRequest(2, 1, "w", kStart), kStart).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
