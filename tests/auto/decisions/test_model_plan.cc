// SPDX-License-Identifier: MIT
#include "decisions/model_plan.h"

#include <algorithm>
#include <random>

#include <boost/test/unit_test.hpp>

#include "decisions/replica_value.h"

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

plan_engine Engine(std::int64_t free_mb, std::vector<std::size_t> loaded) {
  plan_engine engine;
  engine.zone = "a";
  engine.free_mb = free_mb;
  engine.loaded = std::move(loaded);
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
  plan_limits idle_limits = Limits(2);
  idle_limits.no_demand = true;
  BOOST_TEST(PlanModels(models, engines, idle_limits).size() == 2u);
  idle_limits.store_loads = 0;
  BOOST_TEST(PlanModels(models, engines, idle_limits).empty());
  BOOST_TEST(PlanModels(models, engines, Limits(0)).empty());
}

// An engine that loads from the weight store accepts no other order for
// seconds.
BOOST_AUTO_TEST_CASE(a_quarter_of_the_engines_load_from_the_store_at_one_time) {
  const std::vector models = {Model(60, 2000, 10), Model(60, 2000, 10)};
  std::vector engines(8, Engine(60, {1}));
  BOOST_TEST(PlanModels(models, engines, Limits(8)).size() == 2u);
  engines[0].loads_from_store = true;
  BOOST_TEST(PlanModels(models, engines, Limits(8)).size() == 1u);
  // Loads from disk are not limited.
  for (plan_engine& each : engines)
    each.on_disk = {0};
  BOOST_TEST(PlanModels(models, engines, Limits(8)).size() == 8u);
}

// An engine without any weights serves nothing else while it loads. A restarted
// engine has weight copies and loads faster from them.
BOOST_AUTO_TEST_CASE(empty_engines_all_load_from_the_store) {
  const std::vector models = {Model(60, 2000, 10), Model(60, 2000, 10)};
  std::vector engines(8, Engine(60, {}));
  BOOST_TEST(PlanModels(models, engines, Limits(8)).size() == 8u);
  BOOST_TEST(PlanModels(models, engines, Limits(3)).size() == 3u);
  // In addition, a quarter of all engines among those that have weights.
  for (std::size_t i = 0; i < 4; ++i)
    engines[i].loaded = {1};
  engines[0].loads_from_store = true;
  BOOST_TEST(PlanModels(models, engines, Limits(8)).size() == 5u);
  for (std::size_t i = 4; i < 8; ++i)
    engines[i].on_disk = {2};
  BOOST_TEST(PlanModels(models, engines, Limits(8)).size() == 1u);
}

// A replica on an engine without free slots adds little value.
BOOST_AUTO_TEST_CASE(a_replica_goes_where_slots_are_free) {
  const std::vector models = {Model(60, 1000, 40)};
  std::vector engines = {Engine(0, {0}), Engine(60, {}), Engine(60, {})};
  engines[1].in_memory = {0};
  engines[1].running = 46;
  engines[2].on_disk = {0};
  const auto steps = PlanModels(models, engines, Limits(0));
  BOOST_REQUIRE(!steps.empty());
  BOOST_TEST(steps.front().engine == 2u);
}

// Before there is any demand, second weight copies are made of models that only
// one engine has. Nothing that engines hold is given up for them.
BOOST_AUTO_TEST_CASE(copies_are_made_ahead_where_there_is_room) {
  const std::vector models = {Model(60, 0, 0), Model(60, 0, 0)};
  std::vector engines = {Engine(0, {0}), Engine(60, {0}), Engine(0, {1})};
  for (plan_engine& each : engines) {
    each.on_disk = each.loaded;
    each.running = 1;
  }
  plan_limits idle_limits = Limits(4);
  idle_limits.no_demand = true;
  const auto steps = PlanModels(models, engines, idle_limits);
  BOOST_REQUIRE(steps.size() == 1u);
  BOOST_TEST(steps.front().load);
  BOOST_TEST(steps.front().model == 1u);
  BOOST_TEST(steps.front().engine == 1u);
  // Some loads are reserved for the first requests.
  idle_limits.store_loads = 3;
  BOOST_TEST(PlanModels(models, engines, idle_limits).empty());
  BOOST_TEST(PlanModels(models, engines, Limits(4)).empty());
  idle_limits.store_loads = 4;
  engines[1].free_mb = 0;
  BOOST_TEST(PlanModels(models, engines, idle_limits).empty());
}

// A model without demand is evicted for a model with demand if it can be loaded
// again from a weight copy.
// A model with one replica of each kind of software: streams can only go on at
// the version that began them.
BOOST_AUTO_TEST_CASE(a_second_replica_is_of_the_same_software) {
  const std::vector models = {Model(60, 400, 10)};
  std::vector engines = {Engine(0, {0}), Engine(60, {}), Engine(60, {})};
  engines[0].software = "v1";
  engines[1].software = "v2";
  engines[2].software = "v1";
  const auto steps = PlanModels(models, engines, Limits(5));
  BOOST_REQUIRE(steps.size() == 1u);
  BOOST_TEST(steps.front().engine == 2u);
}

BOOST_AUTO_TEST_CASE(no_pair_of_replicas_of_a_version_is_broken_up) {
  const std::vector models = {Model(60, 100, 3), Model(60, 100, 3),
                              Model(60, 900, 30)};
  std::vector engines = {Engine(0, {0}), Engine(0, {1}), Engine(0, {0}),
                         Engine(0, {1}), Engine(0, {1})};
  engines[0].software = engines[2].software = "v1";
  engines[1].software = engines[3].software = engines[4].software = "v2";
  for (plan_engine& engine : engines)
    engine.on_disk = {0, 1, 2};
  const auto steps = PlanModels(models, engines, Limits(0));
  BOOST_REQUIRE(!steps.empty());
  BOOST_TEST(!steps.front().load);
  BOOST_TEST(steps.front().model == 1u);
}

BOOST_AUTO_TEST_CASE(an_idle_model_is_evicted_if_another_engine_has_a_copy) {
  const std::vector models = {Model(60, 900, 30), Model(60, 0, 0)};
  std::vector engines = {Engine(0, {0}), Engine(0, {1}), Engine(0, {})};
  engines[1].on_disk = {0, 1};
  BOOST_TEST(PlanModels(models, engines, Limits(0)).empty());
  engines[2].on_disk = {1};
  const auto steps = PlanModels(models, engines, Limits(0));
  BOOST_REQUIRE(steps.size() == 1u);
  BOOST_TEST(steps.front().engine == 1u);
  BOOST_TEST(!steps.front().load);
  // The next plan uses the freed memory.
  engines[1].loaded.clear();
  engines[1].free_mb = 60;
  const auto next = PlanModels(models, engines, Limits(0));
  BOOST_REQUIRE(next.size() == 1u);
  BOOST_TEST(next.front().load);
  BOOST_TEST(next.front().model == 0u);
}

// After a tenfold rise of demand, one more replica has priority over the last
// replica of a rarely used model whose requests can wait for a load.
BOOST_AUTO_TEST_CASE(a_rise_evicts_deferrable_models) {
  std::vector models = {Model(60, 2500, 100), Model(60, 25, 0.5)};
  std::vector engines = {Engine(0, {0}), Engine(0, {1}), Engine(0, {})};
  engines[1].on_disk = {0, 1};
  engines[2].on_disk = {1};
  models[1].deferrable = true;
  BOOST_TEST(PlanModels(models, engines, Limits(0)).size() == 1u);
  // A recently loaded model is not evicted.
  engines[1].recently_loaded = {1};
  BOOST_TEST(PlanModels(models, engines, Limits(0)).empty());
}

// Of two models with the same demand, the one without a replica therefore comes
// first.
BOOST_AUTO_TEST_CASE(each_replica_adds_less_value) {
  const plan_model busy = Model(60, 750, 30);
  double last = 0;
  double gain = 1e9;
  for (std::int64_t count = 1; count <= 6; ++count) {
    const double value = ReplicaValue(busy, Limits(0), count, true);
    BOOST_TEST(value > last);
    BOOST_TEST(value - last <= gain + 1e-9);
    gain = value - last;
    last = value;
  }
  plan_model deferrable = busy;
  deferrable.deferrable = true;
  BOOST_TEST(ReplicaValue(busy, Limits(0), 0, true) == 0);
  BOOST_TEST(ReplicaValue(deferrable, Limits(0), 0, true) > 0);
  // Without a weight copy requests cannot wait for a load.
  BOOST_TEST(ReplicaValue(deferrable, Limits(0), 0, false) == 0);
}

// For any demand: a model loses its last replica only if another engine has a
// weight copy, loads fit into the engine's memory, and no engine gets two
// orders.
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
    }
    std::vector<plan_engine> engines;
    for (std::int64_t i = any(1, 8); i > 0; --i) {
      plan_engine engine = Engine(200, {});
      engine.accepts_orders = any(0, 3) > 0;
      engine.serving = any(0, 5) > 0;
      for (std::size_t model = 0; model < models.size(); ++model) {
        const bool fits = engine.free_mb >= models[model].weights_mb;
        if (!fits || any(0, 2) > 0)
          continue;
        engine.free_mb -= models[model].weights_mb;
        engine.loaded.push_back(model);
      }
      for (std::size_t model = 0; model < models.size(); ++model) {
        if (any(0, 3) == 0)
          engine.on_disk.push_back(model);
      }
      engines.push_back(engine);
    }
    std::vector<std::int64_t> replicas(models.size());
    for (const plan_engine& each : engines) {
      for (const std::size_t model : each.loaded)
        replicas[model] += each.serving ? 1 : 0;
    }
    std::vector<int> orders(engines.size());
    for (const plan_step& step : PlanModels(models, engines, Limits(4))) {
      const plan_engine& engine = engines[step.engine];
      BOOST_TEST(engine.accepts_orders);
      BOOST_TEST(++orders[step.engine] == 1);
      if (step.load) {
        BOOST_TEST(models[step.model].weights_mb <= engine.free_mb);
      } else {
        const bool elsewhere = [&] {
          for (std::size_t i = 0; i < engines.size(); ++i) {
            const auto& disk = engines[i].on_disk;
            const bool has = std::ranges::find(disk, step.model) != disk.end();
            if (has && i != step.engine && engines[i].serving)
              return true;
          }
          return false;
        }();
        BOOST_TEST((--replicas[step.model] >= 1 || elsewhere));
      }
    }
  }
}

// Plans for engines with random models, where the demand for every twelfth
// model exceeds the capacity.
plan_stats StatsOfPlan(std::size_t engine_count) {
  constexpr std::size_t kModels = 336;
  std::mt19937_64 random{5};
  std::uniform_int_distribution<std::size_t> any(0, kModels - 1);
  std::vector<plan_model> models;
  for (std::size_t i = 0; i < kModels; ++i) {
    const double rate = i % 12 == 0 ? static_cast<double>(engine_count) : 0;
    models.push_back(Model(60, rate * 20, rate));
  }
  std::vector<plan_engine> engines;
  for (std::size_t i = 0; i < engine_count; ++i) {
    engines.push_back(Engine(60, {any(random)}));
    engines.back().on_disk = {any(random), any(random), any(random)};
  }
  plan_stats stats;
  PlanModels(models, engines, Limits(50), &stats);
  BOOST_TEST(stats.scanned_engines > 0);
  return stats;
}

// Scanning every engine in each step makes the work of a plan quadratic in the
// number of engines.
BOOST_AUTO_TEST_CASE(the_work_of_a_plan_grows_no_faster_than_the_engines) {
  const auto scanned = [](std::size_t engines) {
    return static_cast<double>(StatsOfPlan(engines).scanned_engines);
  };
  const double at_1000 = scanned(1000);
  BOOST_TEST(scanned(4000) < 5 * at_1000);
  BOOST_TEST(scanned(8000) < 10 * at_1000);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
