// SPDX-License-Identifier: MIT
#include <boost/test/unit_test.hpp>

#include "decisions/server_room.h"

namespace {

using namespace valeledge;

constexpr std::int64_t kSlots = 12;

BOOST_AUTO_TEST_SUITE(server_room)

BOOST_AUTO_TEST_CASE(a_server_whose_queue_is_unknown_has_room_for_its_slots) {
  const decisions::server_room room;
  BOOST_TEST(!decisions::IsFull(room, kSlots, kSlots - 1));
  BOOST_TEST(decisions::IsFull(room, kSlots, kSlots));
  BOOST_TEST(!decisions::IsFull(room, 0, 0));
}

BOOST_AUTO_TEST_CASE(the_queue_of_a_server_is_learned_from_its_responses) {
  decisions::server_room room;
  decisions::RecordAccepted(room, kSlots + 4);
  decisions::RecordAccepted(room, 3);
  BOOST_TEST(!decisions::IsFull(room, kSlots, kSlots + 3));
  BOOST_TEST(decisions::IsFull(room, kSlots, kSlots + 4));
  decisions::RecordRejected(room, kSlots + 3);
  BOOST_TEST(!decisions::IsFull(room, kSlots, kSlots + 1));
  BOOST_TEST(decisions::IsFull(room, kSlots, kSlots + 2));
}

// It may have rejected a request that came together with those of other hosts.
BOOST_AUTO_TEST_CASE(a_rejection_does_not_take_away_slots) {
  decisions::server_room room;
  decisions::RecordRejected(room, 2);
  BOOST_TEST(!decisions::IsFull(room, kSlots, kSlots - 1));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
