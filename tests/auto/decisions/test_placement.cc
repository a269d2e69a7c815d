// SPDX-License-Identifier: MIT
#include <algorithm>
#include <map>

#include <boost/test/unit_test.hpp>

#include "decisions/placement.h"

namespace {

using namespace valeledge::decisions;
using namespace std::chrono_literals;

placement_server Server(const std::string& name,
                        const std::string& zone,
                        std::int64_t capacity) {
  placement_server each;
  each.name = name;
  each.zone = zone;
  each.capacity = 10;
  each.record.server = name;
  each.record.capacity_mb = capacity;
  each.record.doubled_load = false;
  each.record.incarnation = "run1";
  return each;
}

placement_model Model(const std::string& name, std::int64_t memory) {
  placement_model each;
  each.model = name;
  each.artifacts = {"model/" + name + "@1"};
  each.memory_mb = {memory};
  return each;
}

// A deployment whose engines execute every order at once.
class simulated_site {
 public:
  std::vector<placement_model> models;
  std::vector<placement_server> servers;
  placement_settings settings;
  std::int64_t moves = 0;
  std::int64_t fewest_replicas = 1000;

  // Plans and executes moves until a plan has none.
  placement_plan Run(int rounds = 50) {
    placement_plan plan;
    for (int i = 0; i < rounds; ++i) {
      plan = PlanPlacement(models, servers, settings);
      if (plan.moves.empty())
        return plan;
      for (const placement_move& move : plan.moves)
        Execute(move);
    }
    return plan;
  }

  std::int64_t Replicas(const std::string& artifact) const {
    return std::ranges::count_if(servers, [&](const auto& each) {
      return IsSteady(each.record, artifact);
    });
  }

  bool IsOvercommitted() const {
    return std::ranges::any_of(servers, [](const auto& each) {
      return ReservedMemory(each.record) > each.record.capacity_mb;
    });
  }

 private:
  void Execute(const placement_move& move) {
    auto& server =
        *std::ranges::find(servers, move.server, &placement_server::name);
    const std::string id = std::to_string(++moves);
    if (move.kind == order_kind::kLoad) {
      BOOST_TEST(CanLoad(server.record, move.artifact, move.memory_mb));
      RecordLoad(server.record, id, move.artifact, move.memory_mb);
    } else {
      RecordUnload(server.record, id, move.artifact);
    }
    Resolve(server.record, id, order_response::kDone, moves);
    BOOST_TEST(!IsOvercommitted());
    for (const placement_model& model : models) {
      const auto count = Replicas(model.artifacts.front());
      if (initialized)
        fewest_replicas = std::min(fewest_replicas, count);
    }
  }

 public:
  bool initialized = false;
};

}  // namespace

BOOST_AUTO_TEST_CASE(every_model_gets_its_replicas_in_different_zones) {
  simulated_site site;
  for (int i = 0; i < 6; ++i) {
    site.servers.push_back(
        Server("s" + std::to_string(i), i < 3 ? "a" : "b", 100));
  }
  for (int i = 0; i < 10; ++i) {
    site.models.push_back(Model("m" + std::to_string(i), 20));
    site.models.back().replicas = 2;
  }
  const auto plan = site.Run();
  BOOST_TEST(plan.unplaced_models.empty());
  for (const placement_model& model : site.models) {
    std::map<std::string, int> zones;
    for (const auto& server : site.servers) {
      if (IsSteady(server.record, model.artifacts.front()))
        ++zones[server.zone];
    }
    BOOST_TEST(zones["a"] == 1);
    BOOST_TEST(zones["b"] == 1);
  }
  // Nothing moves when nothing has changed.
  BOOST_TEST(
      PlanPlacement(site.models, site.servers, site.settings).moves.empty());
}

BOOST_AUTO_TEST_CASE(a_model_that_does_not_fit_is_reported) {
  simulated_site site;
  site.servers = {Server("s", "a", 10)};
  site.models = {Model("m", 20), Model("n", 5)};
  const auto plan = site.Run();
  BOOST_REQUIRE(plan.unplaced_models.size() == 1U);
  BOOST_TEST(plan.unplaced_models.front() == "m");
  BOOST_TEST(site.Replicas("model/n@1") == 1);
}

BOOST_AUTO_TEST_CASE(a_new_version_is_loaded_before_the_old_one_goes) {
  simulated_site site;
  site.servers = {Server("s1", "a", 50), Server("s2", "a", 50)};
  site.models = {Model("m", 20)};
  site.Run();
  site.models[0].artifacts = {"model/m@2"};
  bool reachable = true;
  for (int i = 0; i < 10; ++i) {
    site.Run(1);
    reachable = reachable && (site.Replicas("model/m@1") > 0 ||
                              site.Replicas("model/m@2") > 0);
  }
  BOOST_TEST(reachable);
  BOOST_TEST(site.Replicas("model/m@2") == 1);
  BOOST_TEST(site.Replicas("model/m@1") == 0);
}

BOOST_AUTO_TEST_CASE(models_of_a_lost_server_are_loaded_elsewhere) {
  simulated_site site;
  site.servers = {Server("s1", "a", 50), Server("s2", "b", 50)};
  site.models = {Model("m", 20), Model("n", 20)};
  site.Run();
  site.servers[0].usable = false;
  site.Run();
  BOOST_TEST(IsSteady(site.servers[1].record, "model/m@1"));
  BOOST_TEST(IsSteady(site.servers[1].record, "model/n@1"));
}

BOOST_AUTO_TEST_CASE(replicas_spread_again_when_a_lost_zone_returns) {
  // Both replicas stayed in one availability zone after the other returned
  // (reachable.scn).
  simulated_site site;
  site.servers = {Server("s1", "a", 50), Server("s2", "b", 50),
                  Server("s3", "b", 50)};
  site.models = {Model("m", 20)};
  site.models[0].replicas = 2;
  site.Run();
  BOOST_TEST(IsSteady(site.servers[0].record, "model/m@1"));
  site.servers[0].usable = false;
  site.Run();
  BOOST_TEST(IsSteady(site.servers[1].record, "model/m@1"));
  BOOST_TEST(IsSteady(site.servers[2].record, "model/m@1"));
  site.servers[0] = Server("s1", "a", 50);
  site.Run();
  BOOST_TEST(IsSteady(site.servers[0].record, "model/m@1"));
  BOOST_TEST(
      PlanPlacement(site.models, site.servers, site.settings).moves.empty());
}

BOOST_AUTO_TEST_CASE(demand_adds_replicas_and_evicts_idle_ones) {
  simulated_site site;
  for (int i = 0; i < 4; ++i)
    site.servers.push_back(Server("s" + std::to_string(i), "a", 50));
  site.models = {Model("busy", 40), Model("quiet", 40)};
  site.models[0].demand = 20;
  site.Run();
  BOOST_TEST(site.Replicas("model/busy@1") == 3);
  site.initialized = true;
  // Demand moves from the first model to the second.
  site.models[0].demand = 0.1;
  site.models[1].demand = 20;
  site.Run();
  BOOST_TEST(site.Replicas("model/quiet@1") == 3);
  BOOST_TEST(site.Replicas("model/busy@1") == 1);
  BOOST_TEST(site.fewest_replicas >= 1);
}

BOOST_AUTO_TEST_CASE(a_move_that_costs_more_than_it_gains_is_not_made) {
  simulated_site site;
  site.servers = {Server("s1", "a", 50), Server("s2", "a", 50)};
  site.models = {Model("m", 40)};
  site.models[0].demand = 8;
  site.models[0].move_price = 1e6;
  site.Run();
  BOOST_TEST(site.Replicas("model/m@1") == 1);
  site.models[0].move_price = 1;
  site.Run();
  BOOST_TEST(site.Replicas("model/m@1") == 2);
}

BOOST_AUTO_TEST_CASE(a_stalled_load_is_repeated) {
  simulated_site site;
  site.servers = {Server("s1", "a", 50), Server("s2", "a", 100)};
  site.models = {Model("m", 40)};
  RecordLoad(site.servers[0].record, "lost", "model/m@1", 40);
  const auto plan = PlanPlacement(site.models, site.servers, site.settings);
  BOOST_REQUIRE(plan.moves.size() == 1U);
  BOOST_TEST(plan.moves.front().server == "s1");
  // Nothing is sent while its response may still arrive.
  site.servers[0].pending_orders.insert("lost");
  BOOST_TEST(
      PlanPlacement(site.models, site.servers, site.settings).moves.empty());
}

BOOST_AUTO_TEST_CASE(no_more_moves_at_once_than_allowed) {
  simulated_site site;
  site.servers = {Server("s1", "a", 1000)};
  for (int i = 0; i < 20; ++i)
    site.models.push_back(Model("m" + std::to_string(i), 20));
  site.settings.max_concurrent_moves = 3;
  BOOST_TEST(
      PlanPlacement(site.models, site.servers, site.settings).moves.size() ==
      3U);
}

BOOST_AUTO_TEST_CASE(a_forecast_follows_a_rise_at_once_and_a_fall_slowly) {
  demand_forecast forecast;
  Update(forecast, 1, 1s);
  Update(forecast, 10, 1s);
  BOOST_TEST(Predict(forecast, 5s) >= 10);
  BOOST_TEST(Predict(forecast, 5s) <= 20);
  Update(forecast, 0, 1s);
  BOOST_TEST(forecast.level > 8);
}
