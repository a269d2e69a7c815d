// SPDX-License-Identifier: MIT
// Reservations for returning callers, made and redeemed by the owner of a
// queue.
#include <chrono>
#include <string_view>

#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>

#include "queue_world.h"

namespace {

using namespace valeledge;
using namespace valeledge::test;
using namespace std::chrono_literals;

constexpr std::string_view kReservations =
    "valeledge_return_reservations_total";

// A request whose caller honours a delay of a second.
host::engine_place_request RefusableRequest() {
  auto request = queue_world::Request(1, 500ms);
  request.caller_left = 3s;
  return request;
}

// The caller that was refused at `refused_at` comes back.
host::engine_place_request ReturningRequest(base::time_point refused_at) {
  auto request = queue_world::Request(1, 1000ms);
  request.caller_left = std::chrono::duration_cast<std::chrono::milliseconds>(
      refused_at + 3s - std::chrono::steady_clock::now());
  return request;
}

// Has the owner refuse a request, and waits for as long as the caller is told.
// Returns when it asked.
base::time_point AwaitReturn(queue_world& world) {
  world.ReportLoad("e1", 4, 20'000);
  const auto asked_at = std::chrono::steady_clock::now();
  const auto refused = world.Ask(2, RefusableRequest());
  BOOST_TEST((world.Await(refused) == engine_place_verdict::kRefused));
  BOOST_TEST(refused->answer->retry_after.count() <= 990);
  boost::asio::steady_timer timer(world.context, refused->answer->retry_after);
  bool is_over = false;
  timer.async_wait([&](const boost::system::error_code&) { is_over = true; });
  world.RunUntil([&] { return is_over; });
  world.hosts[0].owner->Tick(std::chrono::steady_clock::now());
  return asked_at;
}

BOOST_AUTO_TEST_SUITE(engine_queue_services)

// Guards against returning callers that wait behind new requests.
BOOST_AUTO_TEST_CASE(a_returning_caller_redeems_its_reservation) {
  queue_world world;
  const auto refused_at = AwaitReturn(world);
  BOOST_TEST(world.CountOf(0, kReservations, "made") == 1);
  const auto earlier = world.AskQueued(1, queue_world::Request(1, 8s), 1);
  const auto back = world.AskQueued(2, ReturningRequest(refused_at), 2);
  BOOST_TEST(world.CountOf(0, kReservations, "redeemed") == 1);
  world.ReportLoad("e1", 4, 0);
  BOOST_TEST((world.Await(back) == engine_place_verdict::kGranted));
  BOOST_TEST(!earlier->answer);
}

// A host of an older build does not state the caller's deadline. Guards against
// requests of such hosts that are treated as returning.
BOOST_AUTO_TEST_CASE(requests_of_older_builds_count_as_new) {
  queue_world world;
  AwaitReturn(world);
  const auto earlier = world.AskQueued(1, queue_world::Request(1, 8s), 1);
  const auto back = world.AskQueued(2, queue_world::Request(1, 8s), 2);
  BOOST_TEST(world.CountOf(0, kReservations, "redeemed") == 0);
  world.ReportLoad("e1", 4, 0);
  BOOST_TEST((world.Await(earlier) == engine_place_verdict::kGranted));
  const auto refused = world.Ask(2, queue_world::Request(1, 10ms));
  BOOST_TEST((world.Await(refused) == engine_place_verdict::kRefused));
  world.hosts[0].owner->Tick(std::chrono::steady_clock::now() + 1s);
  BOOST_TEST(world.CountOf(0, kReservations, "made") == 1);
  // The reservation lapses, since nobody has redeemed it.
  BOOST_TEST(world.CountOf(0, kReservations, "lapsed") == 1);
}

// The owner that made the reservation is killed. Guards against a caller that
// the next owner refuses or does not serve.
BOOST_AUTO_TEST_CASE(the_next_owner_serves_callers_without_a_reservation) {
  queue_world world;
  const auto refused_at = AwaitReturn(world);
  world.hosts[0].state = queue_world::reachability::kFails;
  BOOST_TEST((world.Await(world.Ask(2, ReturningRequest(refused_at))) ==
              engine_place_verdict::kNoOwner));
  world.ReportLoad("e1", 4, 0);
  const auto back = world.Ask(2, ReturningRequest(refused_at));
  BOOST_TEST((world.Await(back) == engine_place_verdict::kGranted));
  world.hosts[1].owner->Tick(std::chrono::steady_clock::now());
  BOOST_TEST(world.CountOf(1, kReservations, "redeemed") == 0);
}

BOOST_AUTO_TEST_CASE(nothing_is_reserved_if_an_operator_disables_it) {
  queue_world world;
  world.hosts[0].core->settings.features.return_reservations =
      host::feature_mode::kOff;
  AwaitReturn(world);
  BOOST_TEST(world.CountOf(0, kReservations, "made") == 0);
}

// Guards against counts that are lost when the queue ends, and against
// reservations that were made and neither redeemed nor lapsed.
BOOST_AUTO_TEST_CASE(reservations_are_counted_when_the_queue_ends) {
  queue_world world;
  world.ReportLoad("e1", 4, 20'000);
  BOOST_TEST((world.Await(world.Ask(2, RefusableRequest())) ==
              engine_place_verdict::kRefused));
  world.hosts[0].core->settings.features.engine_queues =
      host::feature_mode::kOff;
  world.hosts[0].owner->Tick(std::chrono::steady_clock::now());
  BOOST_TEST(world.CountOf(0, kReservations, "made") == 1);
  BOOST_TEST(world.CountOf(0, kReservations, "lapsed") == 1);
  world.hosts[0].owner->Tick(std::chrono::steady_clock::now());
  BOOST_TEST(world.CountOf(0, kReservations, "lapsed") == 1);
}

// Guards against a deadline that cannot be valid.
BOOST_AUTO_TEST_CASE(a_bad_deadline_is_counted_and_treated_as_absent) {
  queue_world world;
  world.ReportLoad("e1", 4, 20'000);
  auto request = RefusableRequest();
  request.caller_left = std::chrono::milliseconds(-5);
  BOOST_TEST(
      (world.Await(world.Ask(2, request)) == engine_place_verdict::kRefused));
  world.hosts[0].owner->Tick(std::chrono::steady_clock::now());
  BOOST_TEST(world.CountOf(0, kReservations, "made") == 0);
  BOOST_TEST(world.CountOf(0, "valeledge_engine_queue_bad_values_total",
                           "deadline") == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
