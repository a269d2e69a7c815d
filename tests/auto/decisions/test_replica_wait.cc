// SPDX-License-Identifier: MIT
#include "decisions/replica_wait.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace valeledge::decisions;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(replica_wait)

BOOST_AUTO_TEST_CASE(a_replica_that_comes_in_time_is_awaited) {
  absent_model model;
  model.objective = 5000ms;
  model.due_in = 1200ms;
  BOOST_TEST(ShouldAwaitReplica(model));
  model.waited = 3600ms;
  BOOST_TEST(!ShouldAwaitReplica(model));
}

BOOST_AUTO_TEST_CASE(a_load_is_awaited_only_until_it_should_be_ordered) {
  absent_model model;
  model.objective = 5000ms;
  BOOST_TEST(!ShouldAwaitReplica(model));
  model.load_at_hand = 1300ms;
  BOOST_TEST(ShouldAwaitReplica(model));
  model.waited = 950ms;
  BOOST_TEST(!ShouldAwaitReplica(model));
}

// Whoever cannot be served in time hears so at once, and when to come.
BOOST_AUTO_TEST_CASE(a_short_objective_is_refused_at_once) {
  absent_model model;
  model.objective = 400ms;
  model.load_at_hand = 1300ms;
  BOOST_TEST(!ShouldAwaitReplica(model));
  BOOST_TEST((ReplicaExpectedIn(model).value() > 1300ms));
  model.due_in = 500ms;
  BOOST_TEST(!ShouldAwaitReplica(model));
  BOOST_TEST((ReplicaExpectedIn(model).value() < 1000ms));
  BOOST_TEST(!ReplicaExpectedIn({}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
