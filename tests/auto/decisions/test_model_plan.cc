// SPDX-License-Identifier: MIT
#include "decisions/model_plan.h"

#include <random>

#include <boost/test/unit_test.hpp>

namespace {

using namespace valeledge::decisions;
using std::chrono::milliseconds;

plan_model Model(std::int64_t mb, double work, double rate) {
  plan_model model;
  model.weights_mb = mb;
  model.load_from_memory = milliseconds(1000);
  model.load_from_disk = milliseconds(2000);
  model.load_from_store = milliseconds(9000);
  model.work = work;
  model.arrival_rate = rate;
  return model;
}

plan_engine Engine(std::int64_t free_mb, std::vector<std::size_t> held) {
  plan_engine engine;
  engine.zone = "a";
  engine.free_mb = free_mb;
  engine.held = std::move(held);
  return engine;
}

plan_limits Limits(std::int64_t store_loads) {
  plan_limits limits;
  limits.slots = 48;
  limits.store_loads = store_loads;
  return limits;
}

BOOST_AUTO_TEST_SUITE(model_plan)

BOOST_AUTO_TEST_CASE(a_model_without_replica_goes_first) {
  const std::vector models = {Model(60, 5000, 90), Model(60, 0, 0)};
  const std::vector engines = {Engine(60, {0})};
  const auto steps = PlanModels(models, engines, Limits(5));
  BOOST_REQUIRE(steps.size() == 1u);
  BOOST_TEST(steps.front().load);
  BOOST_TEST(steps.front().model == 1u);
}

BOOST_AUTO_TEST_CASE(a_copy_on_disk_is_preferred) {
  const std::vector models = {Model(60, 400, 10)};
  std::vector engines = {Engine(0, {0}), Engine(60, {}), Engine(60, {})};
  engines[2].on_disk = {0};
  const auto steps = PlanModels(models, engines, Limits(5));
  BOOST_REQUIRE(steps.size() == 1u);
  BOOST_TEST(steps.front().engine == 2u);
  BOOST_TEST((steps.front().source == weight_source::kDisk));
}

BOOST_AUTO_TEST_CASE(nothing_is_loaded_from_the_store_beyond_its_limit) {
  const std::vector models = {Model(60, 2000, 10)};
  const std::vector engines = {Engine(60, {}), Engine(60, {}), Engine(60, {})};
  BOOST_TEST(PlanModels(models, engines, Limits(2)).size() == 2u);
  BOOST_TEST(PlanModels(models, engines, Limits(0)).empty());
}

BOOST_AUTO_TEST_CASE(a_successor_is_prepared_where_nothing_else_needs_room) {
  std::vector models = {Model(60, 500, 20), Model(60, 0, 0)};
  models[1].future_work = 400;
  // Two replicas of the first are needed now; the third makes room.
  const std::vector engines = {Engine(0, {0}), Engine(0, {0}), Engine(0, {0}),
                               Engine(0, {1})};
  const auto steps = PlanModels(models, engines, Limits(5));
  BOOST_REQUIRE(steps.size() == 1u);
  BOOST_TEST(!steps.front().load);
  BOOST_TEST(steps.front().model == 0u);
}

// Whatever the demand: no model loses its last replica, no engine is given
// more than it holds, and none gets two orders.
BOOST_AUTO_TEST_CASE(plans_never_break_limits) {
  std::mt19937_64 random{7};
  const auto any = [&](std::int64_t from, std::int64_t to) {
    return std::uniform_int_distribution<std::int64_t>(from, to)(random);
  };
  for (int round = 0; round < 2000; ++round) {
    std::vector<plan_model> models;
    for (std::int64_t i = any(1, 8); i > 0; --i) {
      models.push_back(Model(any(40, 75), static_cast<double>(any(0, 3000)),
                             static_cast<double>(any(0, 60))));
      models.back().future_work = static_cast<double>(any(0, 3000));
    }
    std::vector<plan_engine> engines;
    for (std::int64_t i = any(1, 8); i > 0; --i) {
      plan_engine engine = Engine(200, {});
      engine.free = any(0, 3) > 0;
      engine.serving = any(0, 5) > 0;
      for (std::size_t model = 0; model < models.size(); ++model) {
        const bool fits = engine.free_mb >= models[model].weights_mb;
        if (!fits || any(0, 2) > 0)
          continue;
        engine.free_mb -= models[model].weights_mb;
        engine.held.push_back(model);
      }
      engines.push_back(engine);
    }
    std::vector<std::int64_t> replicas(models.size());
    for (const plan_engine& each : engines) {
      for (const std::size_t model : each.held)
        replicas[model] += each.serving ? 1 : 0;
    }
    std::vector<int> orders(engines.size());
    for (const plan_step& step : PlanModels(models, engines, Limits(4))) {
      const plan_engine& engine = engines[step.engine];
      BOOST_TEST(engine.free);
      BOOST_TEST(++orders[step.engine] == 1);
      if (step.load) {
        BOOST_TEST(models[step.model].weights_mb <= engine.free_mb);
      } else {
        BOOST_TEST(--replicas[step.model] >= 1);
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
