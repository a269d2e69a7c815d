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

// A model whose weights only the weight store has, for a request with an
// objective of 8 s.
unavailable_model PatientModel() {
  unavailable_model model;
  model.objective = 8000ms;
  model.plan = patient_plan_view{4200ms, std::nullopt, 0ms};
  return model;
}

BOOST_AUTO_TEST_CASE(a_request_is_patient_if_its_objective_allows_for_a_load) {
  BOOST_TEST(IsPatient(8000ms, std::nullopt, 4200ms));
  BOOST_TEST(!IsPatient(800ms, std::nullopt, 4200ms));
  BOOST_TEST(!IsPatient(5000ms, std::nullopt, 6400ms));
  BOOST_TEST(IsPatient(5000ms, 1300ms, 6400ms));
}

BOOST_AUTO_TEST_CASE(a_patient_request_waits_for_a_planned_load) {
  unavailable_model model = PatientModel();
  model.plan->planned_ready_in = 7000ms;
  model.plan->plannable_for = 5000ms;
  BOOST_TEST(ShouldWaitForReplica(model));
  model.waited = 701ms;
  BOOST_TEST(!ShouldWaitForReplica(model));
  BOOST_TEST((TimeToReplica(model).value() == 7300ms));
  // A load in progress that is ready earlier.
  model.ready_in = 1000ms;
  BOOST_TEST(ShouldWaitForReplica(model));
}

// Guards against requests that wait until their objective for a load that is
// not planned, such as that of a model for which there is no place.
BOOST_AUTO_TEST_CASE(a_patient_request_waits_for_a_plan_for_a_limited_time) {
  unavailable_model model = PatientModel();
  model.waited = 1900ms;
  model.plan->plannable_for = 1900ms;
  BOOST_TEST(ShouldWaitForReplica(model));
  model.plan->plannable_for = 1901ms;
  BOOST_TEST(!ShouldWaitForReplica(model));
  BOOST_TEST((TimeToReplica(model).value() == 5100ms));
}

BOOST_AUTO_TEST_CASE(without_a_lease_holder_it_waits_while_a_load_is_in_time) {
  unavailable_model model = PatientModel();
  model.plan->plannable_for = std::nullopt;
  model.waited = 3500ms;
  BOOST_TEST(ShouldWaitForReplica(model));
  model.waited = 3501ms;
  BOOST_TEST(!ShouldWaitForReplica(model));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
