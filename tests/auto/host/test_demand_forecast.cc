// SPDX-License-Identifier: MIT
#include "host/process/demand_forecast.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>

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

// Guards against demand that is assumed for models that nobody has asked for.
BOOST_AUTO_TEST_CASE(only_requests_are_demand) {
  const host::demand_tracker own;
  host::demand_forecast forecast(own);
  for (const decisions::plan_model& each : forecast.Models(ThreeModels())) {
    BOOST_TEST(each.arrival_rate == 0);
    BOOST_TEST(each.work == 0);
  }
  forecast.Update("h1", {LoadOf("b", 20, 400)});
  const auto models = forecast.Models(ThreeModels());
  BOOST_TEST(models[0].work == 0);
  BOOST_TEST(models[1].arrival_rate == 20);
  BOOST_TEST(models[2].work == 0);
}

// The order in which operators list models says nothing about demand.
BOOST_AUTO_TEST_CASE(the_order_of_the_configured_list_does_not_matter) {
  const auto input = [](const catalog::service& service) {
    const host::demand_tracker own;
    host::demand_forecast forecast(own);
    forecast.Update("h1", {LoadOf("b", 20, 400), LoadOf("c", 5, 5000)});
    std::map<std::string, decisions::plan_model> by_name;
    const auto models = forecast.Models(service);
    for (std::size_t i = 0; i < models.size(); ++i)
      by_name[service.engines.models[i].name] = models[i];
    return by_name;
  };
  auto service = ThreeModels();
  const auto expected = input(service);
  while (std::ranges::next_permutation(service.engines.models, {},
                                       &catalog::model::name)
             .found) {
    const auto permuted = input(service);
    for (const auto& [name, model] : expected) {
      const auto& other = permuted.at(name);
      // The rates are smoothed over the time between the calls.
      BOOST_TEST(other.arrival_rate == model.arrival_rate,
                 boost::test_tools::tolerance(0.01));
      BOOST_TEST(other.work == model.work, boost::test_tools::tolerance(0.01));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
