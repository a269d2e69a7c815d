// SPDX-License-Identifier: MIT
#include "host/process/demand_forecast.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace valeledge;
using std::chrono::milliseconds;

// A service of three models that load from disk in 1.3 s.
catalog::service ThreeModels() {
  catalog::service service;
  service.name = "s";
  for (const char* name : {"a", "b", "c"}) {
    catalog::model model;
    model.name = name;
    model.weights_mb = 100;
    model.load_from_disk = milliseconds(1300);
    service.engines.models.push_back(model);
  }
  return service;
}

wire::model_load LoadOf(const std::string& model,
                        std::int32_t a_second,
                        std::int32_t objective_ms) {
  wire::model_load load;
  load.model = host::KeyOf(model);
  load.arrival_rate = a_second * 1000;
  load.token_rate = a_second * 800;
  load.reading_us = 25'000;
  load.objective_ms = objective_ms;
  return load;
}

BOOST_AUTO_TEST_SUITE(demand_forecasts)

BOOST_AUTO_TEST_CASE(demand_of_all_hosts_is_summed_until_one_is_forgotten) {
  const host::demand_tracker own;
  host::demand_forecast forecast(own);
  const auto service = ThreeModels();
  BOOST_TEST(forecast.HasNoDemandYet());
  forecast.Update("h1", {LoadOf("a", 10, 400)});
  forecast.Update("h2", {LoadOf("a", 30, 400)});
  BOOST_TEST(forecast.Models(service)[0].arrival_rate == 40);
  BOOST_TEST(!forecast.HasNoDemandYet());
  // 40 prompts of 800 tokens per second, 25 ms per thousand tokens.
  BOOST_TEST(forecast.Models(service)[0].work == 800);
  forecast.Forget("h2");
  BOOST_TEST(forecast.Models(service)[0].arrival_rate == 10);
}

// One caller whose objective is too short for a load makes the model
// intolerant, also after its demand has ended.
BOOST_AUTO_TEST_CASE(a_model_tolerates_disk_loads_if_all_its_callers_do) {
  const host::demand_tracker own;
  host::demand_forecast forecast(own);
  const auto service = ThreeModels();
  forecast.Update("h1", {LoadOf("a", 1, 5000), LoadOf("b", 1, 5000)});
  forecast.Update("h2", {LoadOf("b", 1, 400)});
  auto models = forecast.Models(service);
  BOOST_TEST(models[0].deferrable);
  BOOST_TEST(!models[1].deferrable);
  // Nothing is known about the objectives of this model's callers.
  BOOST_TEST(!models[2].deferrable);
  forecast.Forget("h2");
  models = forecast.Models(service);
  BOOST_TEST(!models[1].deferrable);
}

// Before the first request, busy models are identified by their replicas, and
// replicas are prepared for their successors in the list.
BOOST_AUTO_TEST_CASE(initial_replicas_are_the_first_estimate_of_demand) {
  const host::demand_tracker own;
  host::demand_forecast forecast(own);
  for (int i = 0; i < 6; ++i)
    forecast.AddInitialReplica("a");
  forecast.AddInitialReplica("b");
  forecast.AddInitialReplica("c");
  const auto models = forecast.Models(ThreeModels());
  BOOST_TEST(models[0].arrival_rate > 10);
  BOOST_TEST(models[1].arrival_rate == 0);
  BOOST_TEST(models[1].future_rate > 10);
  BOOST_TEST(models[2].future_rate > 10);
  BOOST_TEST(forecast.HasNoDemandYet());
}

// Guards against loads before the first request that grow with the number of
// engines.
BOOST_AUTO_TEST_CASE(preparation_for_successors_does_not_grow_with_the_fleet) {
  double at_100 = 0;
  for (const int replicas : {100, 1000}) {
    const host::demand_tracker own;
    host::demand_forecast forecast(own);
    for (int i = 0; i < replicas; ++i)
      forecast.AddInitialReplica("a");
    const auto models = forecast.Models(ThreeModels());
    if (at_100 == 0)
      at_100 = models[1].future_work;
    BOOST_TEST(models[1].future_work == at_100);
    // The existing replicas are kept.
    BOOST_TEST(models[0].arrival_rate == 5 * replicas);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
