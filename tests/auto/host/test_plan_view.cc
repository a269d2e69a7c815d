// SPDX-License-Identifier: MIT
#include "host/process/plan_view.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace valeledge;
using namespace std::chrono_literals;
using phase = host::engine_model::phase;
using positions = std::vector<std::size_t>;

struct fixture {
  fixture() {
    kind.weights_mb = 200;
    for (const char* name : {"a", "b", "c", "d"}) {
      catalog::model model;
      model.name = name;
      model.weights_mb = 50;
      kind.models.push_back(model);
    }
    engine.server = std::make_shared<host::known_server>();
    engine.server->entry.zone = "z";
    engine.server->own.running = 2;
    engine.server->others.running = 3;
    engine.accepted = 1;
  }

  host::engine_model& AddModel(const std::string& name, phase now_in) {
    host::engine_model& model = engine.models[name];
    model.state = now_in;
    model.since = now - 10s;
    return model;
  }

  decisions::plan_engine View() const {
    return host::ViewOf(engine, host::IndexOf(kind), now);
  }

  catalog::engine kind;
  host::engine_record engine;
  base::time_point now = std::chrono::steady_clock::now();
};

BOOST_AUTO_TEST_SUITE(plan_view)

BOOST_AUTO_TEST_CASE(models_are_identified_by_their_position_in_the_list) {
  fixture setup;
  setup.AddModel("b", phase::kHeld);
  setup.AddModel("d", phase::kHeld).since = setup.now - 1s;
  setup.AddModel("c", phase::kWithdrawn);
  setup.engine.in_memory = {"c"};
  setup.engine.on_disk = {"a", "b", "gone"};
  const auto view = setup.View();
  BOOST_TEST(view.zone == "z");
  BOOST_TEST(view.serving);
  BOOST_TEST(view.accepts_orders);
  BOOST_TEST(view.free_mb == 50);
  BOOST_TEST(view.loaded == positions({1, 3}));
  BOOST_TEST(view.recently_loaded == positions({3}));
  BOOST_TEST(view.loading.empty());
  BOOST_TEST(view.in_memory == positions({2}));
  BOOST_TEST(view.on_disk == positions({0, 1}));
  BOOST_TEST(view.running == 5);
}

// A model removed from the configuration is not in the view, but its memory is
// counted.
BOOST_AUTO_TEST_CASE(unlisted_models_still_use_memory) {
  fixture setup;
  setup.AddModel("gone", phase::kHeld);
  const auto view = setup.View();
  BOOST_TEST(view.loaded.empty());
  BOOST_TEST(view.free_mb == 0);
}

// A planned load that waits for room counts as a load in progress, so that no
// other plan loads the same model.
BOOST_AUTO_TEST_CASE(planned_loads_count_like_loads_in_progress) {
  fixture setup;
  setup.engine.changing = true;
  setup.AddModel("a", phase::kLoading).from_store = true;
  auto view = setup.View();
  BOOST_TEST(!view.accepts_orders);
  BOOST_TEST(view.loading == positions({0}));
  BOOST_TEST(view.loads_from_store);
  setup.engine.models.clear();
  setup.engine.planned =
      host::planned_load{"c", decisions::weight_source::kDisk, setup.now};
  view = setup.View();
  BOOST_TEST(view.loading == positions({2}));
  BOOST_TEST(!view.loads_from_store);
  setup.engine.planned->source = decisions::weight_source::kStore;
  BOOST_TEST(setup.View().loads_from_store);
}

// The view has the loaded models in the configured order, with the adapters
// that are in the configuration.
BOOST_AUTO_TEST_CASE(adapters_are_identified_by_number) {
  using unit = decisions::adapter_unit;
  fixture setup;
  setup.kind.adapter_slots = 8;
  setup.kind.models[0].adapters = 3;
  setup.kind.models[3].adapters = 2;
  setup.AddModel("d", phase::kHeld).adapters = {{"a2", setup.now},
                                                {"a9", setup.now}};
  setup.AddModel("a", phase::kHeld).adapters = {{"a1", setup.now},
                                                {"a3", setup.now}};
  setup.AddModel("b", phase::kLoading);
  const auto view =
      host::AdapterViewOf(setup.engine, host::IndexOf(setup.kind));
  BOOST_TEST(view.accepts_orders);
  BOOST_TEST(view.free_slots == 4);
  BOOST_TEST(view.models == positions({0, 3}));
  const std::vector<unit> loaded = {{0, 0}, {0, 2}, {3, 1}};
  BOOST_TEST((view.loaded == loaded));
}

// With two adapter slots per engine, a model's third adapter requires a second
// replica. No replica is required beyond those for all adapters of the model.
BOOST_AUTO_TEST_CASE(adapters_require_replicas) {
  fixture setup;
  setup.kind.adapter_slots = 2;
  setup.kind.models[0].adapters = 10;
  setup.kind.models[1].adapters = 3;
  const auto second = std::make_shared<host::engine_record>();
  second->models["a"].adapters["a3"] = setup.now;
  second->models["b"].adapters["a3"] = setup.now;
  setup.engine.models["a"].adapters = {{"a1", setup.now}, {"a2", setup.now}};
  setup.engine.models["b"].adapters = {{"a1", setup.now}, {"a2", setup.now}};
  setup.engine.models["gone"].adapters["a1"] = setup.now;
  const auto first = std::make_shared<host::engine_record>(setup.engine);
  const auto index = host::IndexOf(setup.kind);
  const auto min_replicas = host::ReplicasForAdapters({first, second}, index);
  BOOST_TEST(min_replicas == std::vector<std::int64_t>({2, 2, 1, 1}));
}

// A model that is loaded only by a server with demand above its limit gets a
// replica elsewhere.
BOOST_AUTO_TEST_CASE(
    an_engine_with_demand_above_its_limit_does_not_serve_for_a_plan) {
  fixture setup;
  std::vector<std::shared_ptr<host::engine_record>> engines;
  for (int i = 0; i < 2; ++i) {
    engines.push_back(std::make_shared<host::engine_record>(setup.engine));
    engines.back()->server = std::make_shared<host::known_server>();
  }
  host::known_server& limited = *engines.front()->server;
  limited.advertised.limit = {1, setup.now};
  std::vector<decisions::plan_engine> views(2);
  host::ExcludeLimitedEngines(engines, setup.now, views);
  BOOST_TEST(views[0].serving);
  limited.limit_binds_until = setup.now + 1s;
  host::ExcludeLimitedEngines(engines, setup.now, views);
  BOOST_TEST(!views[0].serving);
  BOOST_TEST(views[1].serving);
}

BOOST_AUTO_TEST_CASE(engines_serve_for_a_plan_if_demand_exceeds_all_limits) {
  fixture setup;
  const auto engine = std::make_shared<host::engine_record>(setup.engine);
  engine->server->advertised.limit = {1, setup.now};
  engine->server->limit_binds_until = setup.now + 1s;
  std::vector<decisions::plan_engine> views(1);
  host::ExcludeLimitedEngines({engine}, setup.now, views);
  BOOST_TEST(views[0].serving);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
