// SPDX-License-Identifier: MIT
#include "host/process/plan_view.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace valeledge;
using namespace std::chrono_literals;
using phase = host::engine_model::phase;
using positions = std::vector<std::size_t>;

struct world {
  world() {
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

  host::engine_model& Put(const std::string& name, phase now_in) {
    host::engine_model& model = engine.models[name];
    model.now = now_in;
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

BOOST_AUTO_TEST_CASE(models_are_told_by_their_place_in_the_list) {
  world here;
  here.Put("b", phase::kHeld);
  here.Put("d", phase::kHeld).since = here.now - 1s;
  here.Put("c", phase::kWithdrawn);
  here.engine.in_memory = {"c"};
  here.engine.on_disk = {"a", "b", "gone"};
  const auto view = here.View();
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

// A model that the configuration no longer names is told of nowhere, but takes
// room all the same.
BOOST_AUTO_TEST_CASE(models_without_a_place_still_take_room) {
  world here;
  here.Put("gone", phase::kHeld);
  const auto view = here.View();
  BOOST_TEST(view.loaded.empty());
  BOOST_TEST(view.free_mb == 0);
}

// What room is being made for counts as a load, so that no other plan wants it.
BOOST_AUTO_TEST_CASE(loads_under_way_and_planned_ones_are_told_alike) {
  world here;
  here.engine.changing = true;
  here.Put("a", phase::kLoading).from_store = true;
  auto view = here.View();
  BOOST_TEST(!view.accepts_orders);
  BOOST_TEST(view.loading == positions({0}));
  BOOST_TEST(view.loads_from_store);
  here.engine.models.clear();
  here.engine.next =
      host::planned_load{"c", decisions::weight_source::kDisk, here.now};
  view = here.View();
  BOOST_TEST(view.loading == positions({2}));
  BOOST_TEST(!view.loads_from_store);
  here.engine.next->source = decisions::weight_source::kStore;
  BOOST_TEST(here.View().loads_from_store);
}

// Models that are held, in the order of the list, with the adapters that the
// configuration knows.
BOOST_AUTO_TEST_CASE(adapters_are_told_by_number) {
  using unit = decisions::adapter_unit;
  world here;
  here.kind.adapter_slots = 8;
  here.kind.models[0].adapters = 3;
  here.kind.models[3].adapters = 2;
  here.Put("d", phase::kHeld).adapters = {{"a2", here.now}, {"a9", here.now}};
  here.Put("a", phase::kHeld).adapters = {{"a1", here.now}, {"a3", here.now}};
  here.Put("b", phase::kLoading);
  const auto view = host::AdapterViewOf(here.engine, host::IndexOf(here.kind));
  BOOST_TEST(view.accepts_orders);
  BOOST_TEST(view.free_slots == 4);
  BOOST_TEST(view.models == positions({0, 3}));
  const std::vector<unit> held = {{0, 0}, {0, 2}, {3, 1}};
  BOOST_TEST((view.loaded == held));
}

// Two places for adapters on an engine: the third adapter of a model asks for a
// second replica, and no more than all its adapters for another.
BOOST_AUTO_TEST_CASE(adapters_ask_for_replicas) {
  world here;
  here.kind.adapter_slots = 2;
  here.kind.models[0].adapters = 10;
  here.kind.models[1].adapters = 3;
  const auto second = std::make_shared<host::engine_record>();
  second->models["a"].adapters["a3"] = here.now;
  second->models["b"].adapters["a3"] = here.now;
  here.engine.models["a"].adapters = {{"a1", here.now}, {"a2", here.now}};
  here.engine.models["b"].adapters = {{"a1", here.now}, {"a2", here.now}};
  here.engine.models["gone"].adapters["a1"] = here.now;
  const auto first = std::make_shared<host::engine_record>(here.engine);
  const auto index = host::IndexOf(here.kind);
  const auto least = host::ReplicasForAdapters({first, second}, index);
  BOOST_TEST(least == std::vector<std::int64_t>({2, 2, 1, 1}));
}

// A model that only a server in need holds gets a replica elsewhere.
BOOST_AUTO_TEST_CASE(an_engine_whose_limit_binds_does_not_serve_for_a_plan) {
  world here;
  std::vector<std::shared_ptr<host::engine_record>> engines;
  for (int i = 0; i < 2; ++i) {
    engines.push_back(std::make_shared<host::engine_record>(here.engine));
    engines.back()->server = std::make_shared<host::known_server>();
  }
  host::known_server& limited = *engines.front()->server;
  limited.advertised.limit = {1, here.now};
  std::vector<decisions::plan_engine> views(2);
  host::LeaveOutBound(engines, here.now, views);
  BOOST_TEST(views[0].serving);
  limited.limit_binds_until = here.now + 1s;
  host::LeaveOutBound(engines, here.now, views);
  BOOST_TEST(!views[0].serving);
  BOOST_TEST(views[1].serving);
}

BOOST_AUTO_TEST_CASE(engines_whose_limits_all_bind_serve_for_a_plan) {
  world here;
  const auto engine = std::make_shared<host::engine_record>(here.engine);
  engine->server->advertised.limit = {1, here.now};
  engine->server->limit_binds_until = here.now + 1s;
  std::vector<decisions::plan_engine> views(1);
  host::LeaveOutBound({engine}, here.now, views);
  BOOST_TEST(views[0].serving);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
