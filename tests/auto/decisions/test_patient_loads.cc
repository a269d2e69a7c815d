// SPDX-License-Identifier: MIT
#include "decisions/patient_loads.h"

#include <algorithm>
#include <map>
#include <set>

#include <boost/test/unit_test.hpp>

namespace {

using namespace valeledge::decisions;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

plan_model Model(std::int64_t mb, double rate) {
  plan_model model;
  model.weights_mb = mb;
  model.load_from_memory = 1000ms;
  model.load_from_disk = 1300ms;
  model.load_from_store = 3000ms;
  model.arrival_rate = rate;
  model.steady_rate = rate;
  model.work = 30 * rate;
  return model;
}

plan_engine Engine(std::int64_t free_mb, std::vector<std::size_t> loaded) {
  plan_engine engine;
  engine.zone = "a";
  engine.free_mb = free_mb;
  engine.loaded = std::move(loaded);
  return engine;
}

// Engines of 200 MB and models of 100 MB, unless a test says otherwise.
struct plan_fixture {
  std::vector<plan_model> models;
  std::vector<plan_engine> engines;
  std::vector<waiting_model> waiting;
  std::set<std::size_t> patient_models;
  std::vector<milliseconds> idle_in;
  patient_limits limits{.slots = 32,
                        .store_loads = 10,
                        .store_loads_per_second = 20};

  patient_plan Plan() const {
    patient_plan_input input{models, engines, idle_in, {}, waiting, limits};
    input.idle_in.resize(engines.size());
    for (std::size_t i = 0; i < models.size(); ++i)
      input.patient_only.push_back(patient_models.contains(i));
    return PlanPatientLoads(input);
  }
};

BOOST_AUTO_TEST_SUITE(patient_loads)

BOOST_AUTO_TEST_CASE(
    a_model_with_waiting_requests_is_loaded_where_there_is_room) {
  plan_fixture setup;
  setup.models = {Model(100, 5), Model(100, 0.4)};
  setup.engines = {Engine(0, {0}), Engine(100, {0})};
  setup.waiting = {{1, 2, 7000ms}};
  const auto plan = setup.Plan();
  BOOST_REQUIRE_EQUAL(plan.steps.size(), 1u);
  BOOST_TEST(plan.steps.front().load);
  BOOST_TEST(plan.steps.front().engine == 1u);
  BOOST_TEST(plan.steps.front().model == 1u);
  BOOST_REQUIRE_EQUAL(plan.loads.size(), 1u);
  BOOST_TEST(plan.loads.front().in_time);
  BOOST_TEST((plan.loads.front().ready_in == 3200ms));
}

BOOST_AUTO_TEST_CASE(nothing_is_planned_for_models_that_are_loaded_or_loading) {
  plan_fixture setup;
  setup.models = {Model(100, 5), Model(100, 0.4)};
  setup.engines = {Engine(100, {0}), Engine(100, {})};
  setup.engines[1].loading = {1};
  setup.waiting = {{0, 2, 7000ms}, {1, 2, 7000ms}};
  BOOST_TEST(setup.Plan().loads.empty());
  // A replica on an engine that takes no requests does not count.
  setup.engines[0].serving = false;
  setup.engines[1].accepts_orders = false;
  setup.idle_in = {0ms, 2000ms};
  const auto plan = setup.Plan();
  BOOST_TEST(plan.steps.empty());
  BOOST_REQUIRE_EQUAL(plan.loads.size(), 1u);
  BOOST_TEST(plan.loads.front().model == 0u);
  BOOST_TEST((plan.loads.front().ready_in == 5200ms));
}

// Guards against evictions for patient requests that cost urgent ones their
// replica.
BOOST_AUTO_TEST_CASE(replicas_that_demand_needs_are_not_evicted) {
  plan_fixture setup;
  setup.models = {Model(100, 5), Model(100, 0.4), Model(100, 0.1)};
  setup.engines = {Engine(0, {0, 2})};
  setup.waiting = {{1, 9, 7000ms}};
  BOOST_TEST(setup.Plan().loads.empty());
  // Neither is the last copy of an idle model whose callers may be urgent.
  setup.models[2] = Model(100, 0);
  BOOST_TEST(setup.Plan().loads.empty());
  setup.engines[0].on_disk = {2};
  const auto plan = setup.Plan();
  BOOST_REQUIRE_EQUAL(plan.steps.size(), 1u);
  BOOST_TEST(!plan.steps.front().load);
  BOOST_TEST(plan.steps.front().model == 2u);
  BOOST_TEST(plan.steps.front().successor == 1u);
  BOOST_TEST((plan.loads.front().ready_in == kEvictionTime + 3200ms));
}

BOOST_AUTO_TEST_CASE(replicas_beyond_those_that_demand_needs_are_evicted) {
  plan_fixture setup;
  setup.models = {Model(100, 5), Model(100, 0.4)};
  setup.engines = {Engine(0, {0}), Engine(0, {0})};
  setup.waiting = {{1, 1, 7000ms}};
  const auto plan = setup.Plan();
  BOOST_REQUIRE_EQUAL(plan.steps.size(), 1u);
  BOOST_TEST(plan.steps.front().model == 0u);
  // The demand for two replicas.
  setup.models[0].work = 400;
  BOOST_TEST(setup.Plan().loads.empty());
}

// Guards against a plan that evicts all copies of an idle model whose callers
// may be urgent, because each of its loads counts the copies anew.
BOOST_AUTO_TEST_CASE(one_plan_does_not_evict_all_weight_copies_of_a_model) {
  plan_fixture setup;
  setup.models = {Model(100, 0), Model(200, 0.4), Model(200, 0.4),
                  Model(200, 5)};
  // Two of four engines may load at the same time, and only two have room.
  setup.models[3].work = 400;
  setup.engines = {Engine(100, {0}), Engine(100, {0}), Engine(0, {3}),
                   Engine(0, {3})};
  setup.waiting = {{1, 2, 7000ms}, {2, 2, 7000ms}};
  const auto plan = setup.Plan();
  BOOST_REQUIRE_EQUAL(plan.steps.size(), 1u);
  BOOST_TEST(!plan.steps.front().load);
  BOOST_TEST(plan.steps.front().model == 0u);
  // The second model follows the first one there.
  for (const expected_load& each : plan.loads)
    BOOST_TEST(each.engine == plan.steps.front().engine);
}

// Guards against an eviction that the model plan undoes, after which the next
// one follows.
BOOST_AUTO_TEST_CASE(replicas_for_a_burst_are_not_evicted) {
  plan_fixture setup;
  setup.models = {Model(100, 5), Model(100, 0.4)};
  setup.engines = {Engine(0, {0}), Engine(0, {0})};
  setup.waiting = {{1, 1, 7000ms}};
  BOOST_TEST(!setup.Plan().loads.empty());
  setup.models[0].steady_rate = 10;
  BOOST_TEST(setup.Plan().loads.empty());
}

BOOST_AUTO_TEST_CASE(without_a_weight_store_only_copies_are_loaded) {
  plan_fixture setup;
  setup.models = {Model(100, 0.4)};
  setup.engines = {Engine(100, {})};
  setup.waiting = {{0, 1, 7000ms}};
  setup.limits.store_loads = 0;
  setup.limits.store_loads_per_second = 0;
  BOOST_TEST(setup.Plan().loads.empty());
  setup.engines[0].on_disk = {0};
  BOOST_TEST(setup.Plan().steps.size() == 1u);
}

// Guards against waiting models that evict each other before any request has
// been served.
BOOST_AUTO_TEST_CASE(a_model_keeps_its_place_while_requests_wait_for_it) {
  plan_fixture setup;
  setup.models = {Model(100, 0.4), Model(100, 0.4)};
  setup.patient_models = {0, 1};
  setup.engines = {Engine(0, {0})};
  setup.waiting = {{0, 1, 3000ms}, {1, 5, 7000ms}};
  BOOST_TEST(setup.Plan().steps.empty());
  // The other one is told when the turn should have ended.
  BOOST_REQUIRE_EQUAL(setup.Plan().loads.size(), 1u);
  BOOST_TEST(
      (setup.Plan().loads.front().ready_in == 2000ms + kEvictionTime + 3200ms));
  // Its turn lasts some time also after they have been sent.
  setup.waiting = {{1, 5, 7000ms}};
  setup.engines[0].recently_loaded = {0};
  BOOST_TEST(setup.Plan().steps.empty());
  BOOST_TEST((setup.Plan().loads.front().ready_in ==
              kMinTurn + kEvictionTime + 3200ms));
  setup.engines[0].recently_loaded = {};
  BOOST_TEST(setup.Plan().steps.size() == 1u);
  // Requests that run are not interrupted.
  setup.models[0].running = 1;
  BOOST_TEST(setup.Plan().steps.empty());
  // A model with urgent callers has no turn that ends.
  setup.patient_models = {1};
  BOOST_TEST(setup.Plan().loads.empty());
}

BOOST_AUTO_TEST_CASE(models_with_less_time_left_are_loaded_first) {
  plan_fixture setup;
  setup.models = {Model(100, 0.4), Model(100, 0.4), Model(100, 0.4)};
  setup.engines = {Engine(100, {}), Engine(100, {})};
  setup.waiting = {{0, 1, 7900ms}, {1, 1, 7500ms}, {2, 1, 4000ms}};
  setup.limits.store_loads = 1;
  setup.limits.next_store_load = 300ms;
  const auto plan = setup.Plan();
  BOOST_REQUIRE_EQUAL(plan.steps.size(), 1u);
  BOOST_TEST(plan.steps.front().model == 2u);
  // The next one follows when the weight store allows and one of the two
  // engines may load; the third when a turn has ended.
  BOOST_REQUIRE_EQUAL(plan.loads.size(), 3u);
  BOOST_TEST(plan.loads[1].model == 1u);
  BOOST_TEST((plan.loads[1].ready_in == 6400ms));
  BOOST_TEST(plan.loads[1].in_time);
  BOOST_TEST(plan.loads[2].model == 0u);
  BOOST_TEST(!plan.loads[2].in_time);
}

// If not all can be in time, more requests are preferred to earlier ones.
BOOST_AUTO_TEST_CASE(
    models_with_more_requests_go_first_if_not_all_are_in_time) {
  plan_fixture setup;
  setup.models = {Model(100, 0.4), Model(100, 0.4)};
  setup.engines = {Engine(100, {})};
  setup.waiting = {{0, 1, 4000ms}, {1, 6, 4500ms}};
  const auto plan = setup.Plan();
  BOOST_REQUIRE_EQUAL(plan.steps.size(), 1u);
  BOOST_TEST(plan.steps.front().model == 1u);
}

// A request that is late in any case must not delay one that can be in time.
BOOST_AUTO_TEST_CASE(a_model_whose_first_request_is_late_goes_last) {
  plan_fixture setup;
  setup.models = {Model(100, 0.4), Model(100, 0.4)};
  setup.engines = {Engine(100, {})};
  setup.waiting = {{0, 1, 500ms}, {1, 1, 4500ms}};
  BOOST_TEST(setup.Plan().steps.front().model == 1u);
}

// An engine with a weight copy is selected if only that is in time.
BOOST_AUTO_TEST_CASE(a_weight_copy_is_used) {
  plan_fixture setup;
  setup.models = {Model(100, 0.4)};
  setup.engines = {Engine(100, {}), Engine(100, {})};
  setup.engines[1].on_disk = {0};
  setup.engines[1].running = 30;
  setup.waiting = {{0, 1, 2000ms}};
  const auto plan = setup.Plan();
  BOOST_REQUIRE_EQUAL(plan.steps.size(), 1u);
  BOOST_TEST(plan.steps.front().engine == 1u);
  BOOST_TEST((plan.steps.front().source == weight_source::kDisk));
}

BOOST_AUTO_TEST_CASE(nothing_is_loaded_beyond_the_limit_of_the_weight_store) {
  plan_fixture setup;
  setup.models.assign(8, Model(100, 0.4));
  setup.engines.assign(16, Engine(100, {}));
  for (std::size_t i = 0; i < 8; ++i)
    setup.waiting.push_back({i, 1, 7000ms});
  setup.limits.store_loads = 3;
  setup.limits.next_store_load = 1000ms;
  BOOST_TEST(setup.Plan().steps.size() == 3u);
  // A new lease holder has none for some seconds and publishes when it will.
  setup.limits.store_loads = 0;
  const auto plan = setup.Plan();
  BOOST_TEST(plan.steps.empty());
  BOOST_REQUIRE_EQUAL(plan.loads.size(), 8u);
  BOOST_TEST((plan.loads.front().ready_in == 4200ms));
}

// Guards against engines that are all busy with loads for patient requests when
// urgent demand shifts.
BOOST_AUTO_TEST_CASE(half_of_the_engines_load_at_one_time) {
  plan_fixture setup;
  setup.models.assign(8, Model(100, 0.4));
  setup.engines.assign(8, Engine(200, {}));
  for (std::size_t i = 1; i < 8; ++i)
    setup.waiting.push_back({i, 1, 7000ms});
  BOOST_TEST(setup.Plan().steps.size() == 4u);
  setup.engines[0].loading = {0};
  setup.engines[0].accepts_orders = false;
  setup.idle_in = {1500ms};
  BOOST_TEST(setup.Plan().steps.size() == 3u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
