// SPDX-License-Identifier: MIT
#include "host/process/demand_forecast.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace valeledge;
using std::chrono::milliseconds;

// A service of three models that load from a disk within 1.3 s.
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

wire::model_load Asked(const std::string& model,
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
  const host::demand_meter own;
  host::demand_forecast forecast(own);
  const auto service = ThreeModels();
  BOOST_TEST(forecast.quiet());
  forecast.Take("h1", {Asked("a", 10, 400)});
  forecast.Take("h2", {Asked("a", 30, 400)});
  BOOST_TEST(forecast.Models(service)[0].arrival_rate == 40);
  BOOST_TEST(!forecast.quiet());
  // 40 prompts of 800 tokens a second, 25 ms for a thousand tokens.
  BOOST_TEST(forecast.Models(service)[0].work == 800);
  forecast.Forget("h2");
  BOOST_TEST(forecast.Models(service)[0].arrival_rate == 10);
}

// One caller who cannot wait for a load is enough, and stays known.
BOOST_AUTO_TEST_CASE(a_model_is_patient_if_all_who_ask_are) {
  const host::demand_meter own;
  host::demand_forecast forecast(own);
  const auto service = ThreeModels();
  forecast.Take("h1", {Asked("a", 1, 5000), Asked("b", 1, 5000)});
  forecast.Take("h2", {Asked("b", 1, 400)});
  auto models = forecast.Models(service);
  BOOST_TEST(models[0].deferrable);
  BOOST_TEST(!models[1].deferrable);
  // Nothing is known of those who will ask for this one.
  BOOST_TEST(!models[2].deferrable);
  forecast.Forget("h2");
  models = forecast.Models(service);
  BOOST_TEST(!models[1].deferrable);
}

// Before there are requests busy models are known by their replicas, and what
// follows them in the list is prepared for.
BOOST_AUTO_TEST_CASE(first_replicas_stand_for_demand) {
  const host::demand_meter own;
  host::demand_forecast forecast(own);
  for (int i = 0; i < 6; ++i)
    forecast.AddFirstReplica("a");
  forecast.AddFirstReplica("b");
  forecast.AddFirstReplica("c");
  const auto models = forecast.Models(ThreeModels());
  BOOST_TEST(models[0].arrival_rate > 10);
  BOOST_TEST(models[1].arrival_rate == 0);
  BOOST_TEST(models[1].future_rate > 10);
  BOOST_TEST(models[2].future_rate > 10);
  BOOST_TEST(forecast.quiet());
}

// Loads before the first request do not grow with the engines.
BOOST_AUTO_TEST_CASE(successors_are_prepared_for_alike_in_any_fleet) {
  double at_100 = 0;
  for (const int replicas : {100, 1000}) {
    const host::demand_meter own;
    host::demand_forecast forecast(own);
    for (int i = 0; i < replicas; ++i)
      forecast.AddFirstReplica("a");
    const auto models = forecast.Models(ThreeModels());
    if (at_100 == 0)
      at_100 = models[1].future_work;
    BOOST_TEST(models[1].future_work == at_100);
    // What is there stays.
    BOOST_TEST(models[0].arrival_rate == 5 * replicas);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
