// SPDX-License-Identifier: MIT
// The lease holder's plans for requests that wait, with an engine that is
// scripted.
#include "host/process/patient_placement.h"

#include <boost/test/unit_test.hpp>

#include "backend_stand_in.h"
#include "request_codec.h"

namespace {

using namespace valeledge;
using namespace std::chrono_literals;
using std::chrono::steady_clock;

std::string StateOf(const std::string& models, int orders, bool busy) {
  const std::string state = R"({"Models":[)" + models + R"(],"Seq":)" +
                            std::to_string(orders) + R"(,"Busy":)" +
                            (busy ? "true" : "false") + "}";
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(state.size()) +
         "\r\n\r\n" + state;
}

const std::string kAccepted =
    "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";

// A lease holder with one engine of 100 MB that holds model "idle"; models take
// 100 MB and a load from the weight store 3 s.
struct holder_fixture {
  holder_fixture() {
    catalog::service service;
    service.name = "s";
    service.engines.weights_mb = 100;
    service.engines.slots = 4;
    service.engines.loads_per_second = 20;
    for (const char* name : {"idle", "m"}) {
      catalog::model model;
      model.name = name;
      model.weights_mb = 100;
      model.load_from_store = 3s;
      model.load_from_disk = 3s;
      model.load_from_memory = 3s;
      service.engines.models.push_back(model);
    }
    configuration.services.push_back(service);
    core.configuration =
        std::make_shared<const catalog::configuration>(configuration);
    core.settings.features.patient_loads = host::feature_mode::kOn;
    catalog::backend_server entry;
    entry.instance = "i-1";
    entry.service = "s";
    entry.address = backend.address();
    entry.models.push_back({"idle", 1, {}});
    entry.on_disk.push_back("idle");
    core.servers.Put(entry, steady_clock::now());
    dispatcher.BeginTerm(true);
    backend.script = {
        {StateOf(R"({"Name":"idle","Version":1,"Adapters":[]})", 0, false)},
        {kAccepted}};
    dispatcher.Refresh();
    RunUntil([this] { return engine().accepted.has_value(); });
    engine().on_disk = {"idle"};
  }

  host::engine_record& engine() { return *dispatcher.engines().at("i-1"); }

  void RunUntil(const std::function<bool()>& done) {
    while (!done())
      BOOST_REQUIRE_NE(context.run_one_for(20s), 0u);
  }

  void ReportWaiting(std::int32_t requests) {
    wire::model_load load;
    load.model = host::KeyOf("m");
    load.objective_ms = 8000;
    if (requests > 0) {
      load.__set_waiting(requests);
      load.__set_waiting_tokens(9000);
      load.__set_earliest_deadline_ms(7900);
    }
    forecast.Update("h1", {load});
  }

  void Plan() {
    const catalog::service& service = core.configuration->services.front();
    const auto index = host::IndexOf(service.engines);
    const auto now = steady_clock::now();
    const std::vector records = {dispatcher.engines().at("i-1")};
    const auto models = forecast.Models(service);
    std::vector views = {host::ViewOf(*records.front(), index, now)};
    const host::service_plan plan{service, index, models, records, now};
    patient.AdjustViews(plan, views);
    patient.Plan(plan, {}, views);
  }

  wire::placed_engine Published() {
    wire::placed_engine placed;
    patient.AddPlanned(engine(), steady_clock::now(), placed);
    return placed;
  }

  boost::asio::io_context context{1};
  test::backend_stand_in backend{context};
  catalog::configuration configuration;
  host::host_core core{context, host::host_settings(), platform::MakeDialect()};
  host::order_dispatcher dispatcher{core, [] { return 1; }};
  host::demand_tracker own;
  host::demand_forecast forecast{own};
  host::patient_placement patient{core, dispatcher, forecast};
};

BOOST_AUTO_TEST_SUITE(patient_placement)

BOOST_AUTO_TEST_CASE(a_load_for_waiting_requests_is_ordered_and_published) {
  holder_fixture setup;
  setup.ReportWaiting(2);
  BOOST_TEST(!setup.patient.HasUpdates(steady_clock::now()));
  setup.Plan();
  BOOST_REQUIRE(setup.engine().planned.has_value());
  BOOST_TEST(setup.engine().planned->model == "m");
  BOOST_TEST(setup.patient.HasUpdates(steady_clock::now()));
  const auto placed = setup.Published();
  BOOST_REQUIRE_EQUAL(placed.coming.size(), 1u);
  BOOST_TEST(placed.coming.front().planned);
  BOOST_TEST(placed.coming.front().model == host::KeyOf("m"));
  BOOST_TEST(placed.coming.front().due_ms > 3000);
  BOOST_TEST(placed.coming.front().due_ms < 4500);
  BOOST_TEST(setup.patient.TakeChanged("i-1"));
  BOOST_TEST(!setup.patient.TakeChanged("i-1"));
  setup.RunUntil([&] { return setup.backend.requests.size() == 2; });
}

BOOST_AUTO_TEST_CASE(without_the_feature_nothing_is_ordered_or_published) {
  holder_fixture setup;
  setup.core.settings.features.patient_loads = host::feature_mode::kAuto;
  setup.ReportWaiting(2);
  setup.Plan();
  BOOST_TEST(!setup.engine().planned.has_value());
  BOOST_TEST(!setup.patient.HasUpdates(steady_clock::now()));
  BOOST_TEST(setup.Published().coming.empty());
}

// A host of an older build reports no waiting requests.
BOOST_AUTO_TEST_CASE(nothing_is_ordered_if_no_request_is_reported_as_waiting) {
  holder_fixture setup;
  setup.ReportWaiting(0);
  setup.Plan();
  BOOST_TEST(!setup.engine().planned.has_value());
}

// The engine says that it is idle and holds nothing.
BOOST_AUTO_TEST_CASE(a_load_that_fails_is_planned_again) {
  holder_fixture setup;
  setup.ReportWaiting(1);
  host::engine_record& engine = setup.engine();
  catalog::engine_state state;
  state.orders_accepted = 2;
  host::ApplyState(engine, state, steady_clock::now());
  setup.Plan();
  BOOST_TEST(engine.changing);
  BOOST_TEST(!engine.planned.has_value());
  setup.RunUntil([&] { return engine.models.contains("m"); });
  BOOST_TEST(setup.Published().coming.size() == 1u);
  setup.RunUntil([&] { return !engine.sending; });
  state.orders_accepted = 3;
  host::ApplyState(engine, state, steady_clock::now());
  engine.query_at.reset();
  BOOST_TEST(!engine.models.contains("m"));
  setup.Plan();
  setup.RunUntil([&] { return engine.models.contains("m"); });
}

// A new lease holder loads nothing from the weight store for some seconds; what
// hosts report to it is planned and published nevertheless.
BOOST_AUTO_TEST_CASE(a_new_holder_publishes_when_it_will_load) {
  holder_fixture setup;
  setup.core.settings.load_window = 2000ms;
  const auto record = setup.dispatcher.engines().at("i-1");
  setup.dispatcher.BeginTerm(false);
  setup.patient.BeginTerm();
  setup.backend.script = {
      {StateOf(R"({"Name":"idle","Version":1,"Adapters":[]})", 0, false)}};
  setup.dispatcher.Refresh();
  setup.RunUntil([&] { return setup.engine().accepted.has_value(); });
  setup.engine().on_disk = {"idle"};
  setup.ReportWaiting(1);
  setup.Plan();
  BOOST_TEST(!setup.engine().planned.has_value());
  const auto placed = setup.Published();
  BOOST_REQUIRE_EQUAL(placed.coming.size(), 1u);
  BOOST_TEST(placed.coming.front().due_ms > 4500);
  BOOST_TEST(placed.coming.front().due_ms < 5500);
}

// Guards against a published load that no host forgets.
BOOST_AUTO_TEST_CASE(a_plan_that_is_dropped_is_published_as_such) {
  holder_fixture setup;
  setup.core.settings.load_window = 2000ms;
  for (int i = 0; i < 40; ++i)
    setup.dispatcher.Load(
        setup.dispatcher.engines().at("i-1"),
        setup.core.configuration->services.front().engines.models.front(),
        decisions::weight_source::kStore);
  setup.engine().changing = false;
  setup.ReportWaiting(1);
  setup.Plan();
  BOOST_TEST(setup.Published().coming.size() == 1u);
  BOOST_TEST(setup.patient.TakeChanged("i-1"));
  setup.ReportWaiting(0);
  setup.Plan();
  BOOST_TEST(setup.Published().coming.empty());
  BOOST_TEST(setup.patient.TakeChanged("i-1"));
  BOOST_TEST(!setup.patient.HasUpdates(steady_clock::now() + 1s));
}

// Requests protect a replica from the model plan, but not for long.
BOOST_AUTO_TEST_CASE(a_replica_that_requests_wait_for_is_kept_for_some_time) {
  holder_fixture setup;
  setup.ReportWaiting(1);
  const auto now = steady_clock::now();
  const catalog::service& service = setup.core.configuration->services.front();
  const auto index = host::IndexOf(service.engines);
  const std::vector records = {setup.dispatcher.engines().at("i-1")};
  const std::vector<decisions::plan_model> models(2);
  auto& held = records.front()->models;
  held.clear();
  for (const auto age : {4s, 7s}) {
    held["m"].since = now - age;
    std::vector views = {host::ViewOf(*records.front(), index, now)};
    BOOST_TEST(views.front().recently_loaded.empty());
    setup.patient.AdjustViews({service, index, models, records, now}, views);
    BOOST_TEST(views.front().recently_loaded.size() == (age == 4s ? 1u : 0u));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
