// SPDX-License-Identifier: MIT
#include "decisions/replica_wait.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace valeledge::decisions;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(replica_wait)

BOOST_AUTO_TEST_CASE(requests_wait_for_a_replica_that_is_ready_in_time) {
  unavailable_model model;
  model.objective = 5000ms;
  model.ready_in = 1200ms;
  BOOST_TEST(ShouldWaitForReplica(model));
  model.waited = 3600ms;
  BOOST_TEST(!ShouldWaitForReplica(model));
}

BOOST_AUTO_TEST_CASE(requests_wait_for_an_order_only_up_to_its_maximum_delay) {
  unavailable_model model;
  model.objective = 5000ms;
  BOOST_TEST(!ShouldWaitForReplica(model));
  model.local_load_time = 1300ms;
  BOOST_TEST(ShouldWaitForReplica(model));
  model.waited = 950ms;
  BOOST_TEST(!ShouldWaitForReplica(model));
}

// A request that cannot be served in time is refused at once with a retry-after
// delay.
BOOST_AUTO_TEST_CASE(a_short_objective_is_refused_at_once) {
  unavailable_model model;
  model.objective = 400ms;
  model.local_load_time = 1300ms;
  BOOST_TEST(!ShouldWaitForReplica(model));
  BOOST_TEST((TimeToReplica(model).value() > 1300ms));
  model.ready_in = 500ms;
  BOOST_TEST(!ShouldWaitForReplica(model));
  BOOST_TEST((TimeToReplica(model).value() < 1000ms));
  BOOST_TEST(!TimeToReplica({}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
