// SPDX-License-Identifier: MIT
#include "decisions/adapter_plan.h"

#include <map>

#include <boost/test/unit_test.hpp>

namespace {

using namespace valeledge::decisions;

adapter_engine Engine(std::int64_t free_slots,
                      std::vector<std::size_t> models) {
  adapter_engine engine;
  engine.free_slots = free_slots;
  engine.models = std::move(models);
  return engine;
}

BOOST_AUTO_TEST_SUITE(adapter_plan)

BOOST_AUTO_TEST_CASE(each_adapter_of_a_busy_model_is_loaded) {
  const std::vector<adapter_model> models = {{9, 40}};
  const std::vector engines = {Engine(8, {0}), Engine(8, {0})};
  std::map<std::int64_t, int> engine_counts;
  for (const adapter_step& step : PlanAdapters(models, engines, 8))
    ++engine_counts[step.unit.adapter];
  BOOST_TEST(engine_counts.size() == 9u);
  for (const auto& [adapter, count] : engine_counts)
    BOOST_TEST(count <= 2);
}

// The number of loads ahead depends on demand, not on the number of engines.
BOOST_AUTO_TEST_CASE(loads_ahead_do_not_grow_with_engines) {
  const std::vector<adapter_model> models = {{14, 20}, {14, 2}};
  std::map<std::size_t, std::size_t> steps;
  for (const std::size_t count : {100u, 1000u, 4000u}) {
    const std::vector engines(count, Engine(8, {0, 1}));
    steps[count] = PlanAdapters(models, engines, 8).size();
  }
  BOOST_TEST(steps[1000] == steps[100]);
  BOOST_TEST(steps[4000] == steps[100]);
  BOOST_TEST(steps[100] >= 2 * (14u + 14u));
}

// A request may name an adapter that was not loaded ahead.
BOOST_AUTO_TEST_CASE(some_slots_stay_free) {
  const std::vector<adapter_model> models = {{30, 40}};
  const std::vector engines = {Engine(8, {0})};
  BOOST_TEST(PlanAdapters(models, engines, 30).size() == 6u);
  BOOST_TEST(PlanAdapters(models, engines, 4).size() == 4u);
  BOOST_TEST(PlanAdapters(models, {Engine(2, {0})}, 4).empty());
}

BOOST_AUTO_TEST_CASE(nothing_is_loaded_for_models_without_demand) {
  const std::vector<adapter_model> models = {{4, 0.1}, {4, 20}, {0, 50}};
  for (const adapter_step& step :
       PlanAdapters(models, {Engine(8, {0, 1, 2})}, 8)) {
    BOOST_TEST(step.unit.model == 1u);
  }
}

// An engine that is loading a model accepts no adapters, but the adapters that
// it has loaded count.
BOOST_AUTO_TEST_CASE(busy_engines_get_no_adapters) {
  const std::vector<adapter_model> models = {{2, 20}};
  std::vector engines = {Engine(8, {0}), Engine(8, {0})};
  engines[0].accepts_orders = false;
  engines[0].loaded = {{0, 0}};
  const auto steps = PlanAdapters(models, engines, 1);
  BOOST_REQUIRE(steps.size() == 1u);
  BOOST_TEST(steps.front().engine == 1u);
  BOOST_TEST(steps.front().unit.adapter == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
