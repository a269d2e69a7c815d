// SPDX-License-Identifier: MIT
// Patient requests at one host: their wait for a load, and what the host
// reports of it.
#include <algorithm>
#include <chrono>
#include <limits>
#include <string>

#include <boost/beast/http.hpp>
#include <boost/test/unit_test.hpp>

#include "host/process/demand_forecast.h"
#include "host/process/patient_placement.h"
#include "host/process/waiting_demand.h"
#include "host/request/load_wait.h"
#include "relay_world.h"

namespace {

using namespace valeledge;
using namespace valeledge::test;
using namespace std::chrono_literals;
using std::chrono::steady_clock;
namespace http = boost::beast::http;

// Engines that load model "m" from the weight store within 150 ms and have no
// copy of it; the route's objective is 1.5 s. The lease holder is heard of.
struct patient_world : relay_world {
  patient_world() {
    engine = AddEngine(100ms);
    catalog::backend_server entry = engine->entry;
    entry.on_disk.clear();
    core->servers.Put(entry, steady_clock::now());
    catalog::engine& kind = configuration.services.front().engines;
    kind.models.front().load_from_store = 150ms;
    for (catalog::route& each : configuration.routes)
      each.objective = 1500ms;
    core->settings.features.patient_loads = host::feature_mode::kOn;
    core->holder.heard_at = steady_clock::now() + 60s;
  }

  void Plan(std::chrono::milliseconds due) {
    engine->planned_loads_due[host::KeyOf("m")] = steady_clock::now() + due;
  }
  void Hold() {
    engine->residency_overrides[host::KeyOf("m")] = {true, steady_clock::now()};
  }
  // What this host reports of the requests that wait for the model.
  wire::model_load Report() const {
    const auto loads = core->demand.Loads();
    return loads.empty() ? wire::model_load() : loads.front();
  }

  std::shared_ptr<host::known_server> engine;
};

BOOST_AUTO_TEST_SUITE(patient_requests)

BOOST_AUTO_TEST_CASE(a_patient_request_waits_for_a_load_and_is_reported) {
  patient_world here;
  wire::model_load reported;
  const received_response seen =
      here.SendRequest("/once/", [&](fake_responder&) {
        const wire::model_load now = here.Report();
        if (!now.__isset.waiting)
          return;
        reported = now;
        here.Plan(300ms);
        here.Hold();
      });
  BOOST_TEST(seen.status == 200);
  BOOST_TEST(reported.waiting == 1);
  BOOST_TEST(reported.earliest_deadline_ms > 0);
  BOOST_TEST(reported.earliest_deadline_ms <= 1500);
  BOOST_TEST(!here.Report().__isset.waiting);
}

// Guards against a change for services that do not call for it.
BOOST_AUTO_TEST_CASE(
    without_the_feature_nothing_waits_and_nothing_is_reported) {
  patient_world here;
  here.core->settings.features.patient_loads = host::feature_mode::kAuto;
  here.Plan(100ms);
  bool any_reported = false;
  const auto begun = steady_clock::now();
  const received_response seen =
      here.SendRequest("/once/", [&](fake_responder&) {
        any_reported = any_reported || here.Report().__isset.waiting;
      });
  BOOST_TEST(seen.status == 503);
  BOOST_TEST((steady_clock::now() - begun < 500ms));
  BOOST_TEST(!any_reported);
  BOOST_TEST(!here.Report().__isset.waiting);
}

BOOST_AUTO_TEST_CASE(an_urgent_request_is_rejected_at_once) {
  patient_world here;
  here.configuration.services.front().engines.models.front().load_from_store =
      800ms;
  here.Plan(100ms);
  const auto begun = steady_clock::now();
  BOOST_TEST(here.SendRequest("/once/").status == 503);
  BOOST_TEST((steady_clock::now() - begun < 500ms));
  BOOST_TEST(!here.Report().__isset.waiting);
}

// The caller comes back when the load has ended, so the load has to take place:
// the host reports the caller as one that waits.
BOOST_AUTO_TEST_CASE(a_request_whose_load_is_late_is_told_when_to_come_back) {
  patient_world here;
  here.timeout = 20s;
  for (catalog::route& each : here.configuration.routes)
    each.timeout = 20s;
  here.Plan(2000ms);
  const auto begun = steady_clock::now();
  const received_response seen = here.SendRequest("/once/");
  BOOST_TEST(seen.status == 503);
  BOOST_TEST((steady_clock::now() - begun < 500ms));
  const auto after = seen.fields[http::field::retry_after];
  BOOST_TEST(std::stod(std::string(after)) >= 2.0);
  BOOST_TEST(std::stod(std::string(after)) <= 4.0);
  BOOST_TEST(here.Report().waiting == 1);
  // Not for longer than the caller can be expected.
  here.core->demand.UpdateRates(steady_clock::now() + 6s);
  BOOST_TEST(!here.Report().__isset.waiting);
}

// Guards against loads that nobody waits for, and against callers with a
// deadline of their own that are taken for those who have come back before.
BOOST_AUTO_TEST_CASE(callers_are_expected_back_if_they_have_the_time) {
  for (const std::string deadline : {"1000", "10000"}) {
    patient_world here;
    here.timeout = 20s;
    for (catalog::route& each : here.configuration.routes)
      each.timeout = 20s;
    here.added_fields = {{"X-Deadline-Ms", deadline}};
    here.Plan(2000ms);
    BOOST_TEST(here.SendRequest("/once/").status == 503);
    BOOST_TEST(here.Report().__isset.waiting == (deadline == "10000"));
  }
}

// A load that fails is published no more; the request waits for the next one.
BOOST_AUTO_TEST_CASE(a_request_waits_for_another_load_if_one_has_failed) {
  patient_world here;
  here.Plan(100ms);
  const auto begun = steady_clock::now();
  const received_response seen =
      here.SendRequest("/once/", [&](fake_responder&) {
        const auto now = steady_clock::now();
        if (now - begun > 50ms)
          here.engine->planned_loads_due.clear();
        if (now - begun > 150ms)
          here.Hold();
      });
  BOOST_TEST(seen.status == 200);
}

BOOST_AUTO_TEST_CASE(without_a_lease_holder_it_waits_while_a_load_is_in_time) {
  patient_world here;
  here.core->holder.heard_at = {};
  const auto begun = steady_clock::now();
  BOOST_TEST(here.SendRequest("/once/").status == 503);
  const auto waited = steady_clock::now() - begun;
  // The objective less the load and the first event.
  BOOST_TEST((waited >= 1050ms));
  BOOST_TEST((waited < 1900ms));
}

// The time for which a load may have been planned, which limits the wait: it
// begins anew after the pause of a new lease holder and after a load that was
// known has failed.
BOOST_AUTO_TEST_CASE(the_time_for_a_plan_begins_when_one_can_be_made) {
  patient_world here;
  const auto arrived = steady_clock::now();
  host::routed_request routed;
  routed.configuration =
      std::make_shared<const catalog::configuration>(here.configuration);
  routed.route = &routed.configuration->routes.front();
  routed.service = &routed.configuration->services.front();
  routed.demand = &here.core->demand.DemandFor("m", 1ms);
  routed.arrived = arrived;
  routed.deadline = arrived + 2s;
  host::server_query query;
  query.service = "s";
  query.model = "m";
  host::load_wait wait(*here.core, routed, query);
  BOOST_REQUIRE(wait.IsPatient());
  const auto plannable_for = [&](std::chrono::milliseconds after) {
    decisions::unavailable_model model;
    wait.AddPlan(query, arrived + after, model);
    return model.plan->plannable_for;
  };
  here.core->holder.heard_at = arrived;
  BOOST_TEST((plannable_for(400ms) == 400ms));
  here.core->holder.orders_from = arrived + 1s;
  BOOST_TEST((plannable_for(600ms) == 0ms));
  BOOST_TEST((plannable_for(1300ms) == 300ms));
  here.engine->planned_loads_due[host::KeyOf("m")] = arrived + 2s;
  BOOST_TEST((plannable_for(1500ms) == 0ms));
  here.engine->planned_loads_due.clear();
  BOOST_TEST((plannable_for(1600ms) == 100ms));
  // Nothing has been heard of the lease holder for 3 s.
  BOOST_TEST(!plannable_for(3001ms).has_value());
}

BOOST_AUTO_TEST_CASE(a_caller_that_disconnects_waits_no_more) {
  patient_world here;
  bool waited = false;
  const auto begun = steady_clock::now();
  here.SendRequest("/once/", [&](fake_responder& caller) {
    if (!here.Report().__isset.waiting || caller.caller_gone())
      return;
    waited = true;
    caller.Disconnect();
  });
  BOOST_TEST(waited);
  BOOST_TEST((steady_clock::now() - begun < 500ms));
  BOOST_TEST(!here.Report().__isset.waiting);
}

// Guards against the refusal of requests whose response could still start
// within their objective, 1.5 s here, while the only engine with the model
// pauses.
BOOST_AUTO_TEST_CASE(a_request_waits_until_a_backoff_ends) {
  for (const auto mode : {host::feature_mode::kOff, host::feature_mode::kOn}) {
    patient_world here;
    here.core->settings.features.patient_loads = mode;
    here.Hold();
    here.engine->trust.suspended_until = steady_clock::now() + 500ms;
    BOOST_TEST(here.SendRequest("/once/").status == 200);
  }
}

// The same for a request whose objective is shorter than a load.
BOOST_AUTO_TEST_CASE(a_request_with_a_long_objective_outlasts_a_backoff) {
  for (const auto mode : {host::feature_mode::kOff, host::feature_mode::kOn}) {
    patient_world here;
    here.core->settings.features.patient_loads = mode;
    here.configuration.services.front().engines.models.front().load_from_store =
        6400ms;
    for (catalog::route& each : here.configuration.routes) {
      each.objective = 2500ms;
      each.timeout = 5s;
    }
    here.Hold();
    here.engine->trust.suspended_until = steady_clock::now() + 700ms;
    BOOST_TEST(here.SendRequest("/once/").status == 200);
  }
}

wire::model_load Waiting(std::int32_t requests, std::int32_t left_ms) {
  wire::model_load load;
  load.model = host::KeyOf("m");
  load.__set_waiting(requests);
  load.__set_waiting_tokens(static_cast<std::int32_t>(
      std::int64_t{9000} * std::max(requests, 0) % 1'000'000));
  load.__set_earliest_deadline_ms(left_ms);
  return load;
}

BOOST_AUTO_TEST_CASE(invalid_reports_of_waiting_requests_are_ignored) {
  constexpr auto kMax = std::numeric_limits<std::int32_t>::max();
  std::vector<wire::model_load> loads = {Waiting(2, 7000),  Waiting(-1, 7000),
                                         Waiting(kMax, 70), Waiting(2, -1),
                                         Waiting(2, kMax),  wire::model_load()};
  wire::model_load incomplete;
  incomplete.__set_waiting(3);
  loads.push_back(incomplete);
  loads.push_back(Waiting(2, 7000));
  loads.back().waiting_tokens = -4;
  BOOST_TEST(host::DropInvalidWaiting(loads) == 6);
  BOOST_TEST(bool(loads[0].__isset.waiting));
  for (std::size_t i = 1; i < loads.size(); ++i)
    BOOST_TEST(!loads[i].__isset.waiting);
}

BOOST_AUTO_TEST_CASE(invalid_times_of_planned_loads_are_ignored) {
  patient_world here;
  wire::placed_engine engine;
  for (const std::int32_t due :
       {300, -1, std::numeric_limits<std::int32_t>::max()}) {
    wire::coming_model coming;
    coming.model = due;
    coming.due_ms = due;
    coming.__set_planned(true);
    engine.coming.push_back(coming);
  }
  wire::coming_model started;
  started.model = 7;
  started.due_ms = 40;
  engine.coming.push_back(started);
  const auto now = steady_clock::now();
  host::ApplyComingLoads(engine, now, *here.core, *here.engine);
  BOOST_TEST(here.engine->planned_loads_due.size() == 1u);
  BOOST_TEST((here.engine->planned_loads_due.at(300) == now + 300ms));
  BOOST_TEST(here.engine->loads_due.size() == 1u);
  // The next state replaces it, also if nothing is planned any more.
  host::ApplyComingLoads({}, now, *here.core, *here.engine);
  BOOST_TEST(here.engine->planned_loads_due.empty());
}

BOOST_AUTO_TEST_CASE(waiting_requests_of_all_hosts_are_summed) {
  const host::demand_tracker own;
  host::demand_forecast forecast(own);
  catalog::service service;
  for (const char* name : {"other", "m"}) {
    service.engines.models.emplace_back();
    service.engines.models.back().name = name;
  }
  forecast.Update("h1", {Waiting(2, 7000)});
  forecast.Update("h2", {Waiting(3, 5000)});
  // A host of an older build.
  wire::model_load old;
  old.model = host::KeyOf("m");
  forecast.Update("h3", {old});
  const auto now = steady_clock::now();
  const auto waiting = forecast.Waiting(service, now + 900ms);
  BOOST_REQUIRE_EQUAL(waiting.size(), 1u);
  BOOST_TEST(waiting.front().model == 1u);
  BOOST_TEST(waiting.front().requests == 5);
  BOOST_TEST((waiting.front().time_left <= 4100ms));
  BOOST_TEST((waiting.front().time_left > 3100ms));
  // Hosts that report no more: their requests may have ended.
  BOOST_TEST(forecast.Waiting(service, now + 1001ms).empty());
  forecast.Forget("h1");
  forecast.Forget("h2");
  BOOST_TEST(forecast.Waiting(service, now).empty());
}

// Only the earliest deadline of a host's requests is reported. Guards against
// requests that are not loaded for because another one is due or late.
BOOST_AUTO_TEST_CASE(a_request_that_is_due_hides_no_others_of_its_host) {
  const host::demand_tracker own;
  host::demand_forecast forecast(own);
  catalog::service service;
  service.engines.models.emplace_back();
  service.engines.models.back().name = "m";
  forecast.Update("h1", {Waiting(7, 100)});
  forecast.Update("h2", {Waiting(1, 0)});
  const auto waiting = forecast.Waiting(service, steady_clock::now() + 200ms);
  BOOST_REQUIRE_EQUAL(waiting.size(), 1u);
  BOOST_TEST(waiting.front().requests == 8);
  BOOST_TEST((waiting.front().time_left == 0ms));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
