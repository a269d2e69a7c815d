// SPDX-License-Identifier: MIT
// The lease holder's plans for requests that wait, with an engine that is
// scripted.
#include "host/process/patient_placement.h"

#include <boost/test/unit_test.hpp>

#include "backend_stand_in.h"
#include "fake_store.h"
#include "host/process/placement_controller.h"
#include "request_codec.h"

namespace {

using namespace valeledge;
using namespace std::chrono_literals;
using std::chrono::steady_clock;

std::string StateOf(const std::string& models, int orders, bool busy) {
  const std::string state = R"({"Models":[)" + models + R"(],"Seq":)" +
                            std::to_string(orders) + R"(,"Busy":)" +
                            (busy ? "true" : "false") +
                            R"(,"AtHand":{"InMemory":[],"OnDisk":["idle"]}})";
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
    const auto end = steady_clock::now() + 20s;
    while (!done()) {
      BOOST_REQUIRE_NE(context.run_one_for(20s), 0u);
      BOOST_REQUIRE((steady_clock::now() < end));
    }
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

// An eviction may end before the weight store's rate limit allows for the load.
// Guards against loads that are dropped then, after which another model may
// take the place.
BOOST_AUTO_TEST_CASE(a_planned_load_waits_for_the_weight_store) {
  holder_fixture setup;
  setup.ReportWaiting(1);
  setup.Plan();
  setup.RunUntil([&] { return setup.backend.requests.size() == 2; });
  BOOST_TEST(setup.patient.HasOrdered(setup.engine()));
  const auto engine = setup.dispatcher.engines().at("i-1");
  catalog::engine_state state;
  state.orders_accepted = 1;
  setup.RunUntil([&] { return !engine->sending; });
  host::ApplyState(*engine, state, steady_clock::now());
  engine->query_at.reset();
  BOOST_REQUIRE(host::IsIdle(*engine));
  catalog::engine kind = setup.core.configuration->services.front().engines;
  const auto start = [&](double loads_per_second, std::chrono::seconds after) {
    kind.loads_per_second = loads_per_second;
    setup.dispatcher.StartPlannedLoad(engine, kind,
                                      setup.patient.HasOrdered(*engine),
                                      steady_clock::now() + after);
  };
  start(0, 0s);
  BOOST_REQUIRE(engine->planned.has_value());
  const auto index = host::IndexOf(kind);
  BOOST_TEST(!host::ViewOf(*engine, index, steady_clock::now()).accepts_orders);
  const auto planned = engine->planned;
  start(0, 7s);
  BOOST_TEST(!engine->planned.has_value());
  engine->planned = planned;
  start(20, 0s);
  BOOST_TEST(!engine->planned.has_value());
  setup.RunUntil([&] { return engine->models.contains("m"); });
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

// Guards against gauges that show only the service that was planned last.
BOOST_AUTO_TEST_CASE(the_gauges_of_waiting_models_cover_all_services) {
  holder_fixture setup;
  const auto waiting = [&] {
    return setup.core.metrics.Gauge("valeledge_patient_models", "waiting")
        .value.load();
  };
  setup.ReportWaiting(1);
  setup.Plan();
  BOOST_TEST(waiting() == 1);
  catalog::service other = setup.core.configuration->services.front();
  other.name = "other";
  other.engines.models.clear();
  const auto index = host::IndexOf(other.engines);
  const auto now = steady_clock::now();
  setup.patient.Plan({other, index, {}, {}, now}, {}, {});
  BOOST_TEST(waiting() == 1);
  setup.ReportWaiting(0);
  setup.Plan();
  BOOST_TEST(waiting() == 0);
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

// The whole controller of one host.
struct controller_fixture : holder_fixture {
  controller_fixture() {
    core.settings.server_heartbeat = 100ms;
    store.grants_leases = true;
  }

  host::known_server& server() { return *core.servers.Find("i-1"); }

  wire::placement_news UpdateOf(std::int64_t term, bool with_plan) {
    wire::placement_news update;
    update.term = term;
    update.__set_holder("127.0.0.1:9");
    if (!with_plan)
      return update;
    update.engines.emplace_back();
    update.engines.front().server = server().key;
    wire::coming_model coming;
    coming.model = host::KeyOf("m");
    coming.due_ms = 4000;
    coming.__set_planned(true);
    update.engines.front().coming.push_back(coming);
    return update;
  }

  test::fake_store store{context};
  store::lease_keeper lease{context, store, "h", 10s, [] { return true; },
                            true};
  host::peer_link peers{context, core.settings, {}, core.peer_memory};
  host::placement_controller controller{core, lease, peers};
};

// What hosts report as waiting becomes an order to an engine, and a time that
// is known to the requests of the lease holder's own host as well.
BOOST_AUTO_TEST_CASE(a_lease_holder_orders_what_hosts_report_as_waiting) {
  controller_fixture setup;
  setup.backend.script.push_front(
      {StateOf(R"({"Name":"idle","Version":1,"Adapters":[]})", 0, false)});
  setup.lease.Start();
  setup.controller.Start();
  wire::model_load load;
  load.model = host::KeyOf("m");
  load.objective_ms = 8000;
  load.__set_waiting(2);
  load.__set_waiting_tokens(9000);
  load.__set_earliest_deadline_ms(7900);
  // Hosts report several times a second.
  setup.RunUntil([&] {
    setup.controller.UpdateDemand("h1", {load});
    return !setup.server().planned_loads_due.empty();
  });
  BOOST_TEST(setup.server().planned_loads_due.contains(host::KeyOf("m")));
  BOOST_TEST((steady_clock::now() - setup.core.holder.heard_at < 2s));
  const auto ordered = [&] {
    return std::ranges::any_of(setup.backend.requests, [](const auto& each) {
      return each.body().find("idle") != std::string::npos ||
             std::string(each.target()).find("idle") != std::string::npos;
    });
  };
  setup.RunUntil([&] {
    setup.controller.UpdateDemand("h1", {load});
    return ordered();
  });
}

// Guards against a lease that is given up because of another host's update
// where nobody takes leases over.
BOOST_AUTO_TEST_CASE(an_update_of_a_newer_term_ends_a_lease_that_may_be_taken) {
  const base::endpoint sender{"127.0.0.1", 9};
  for (const bool checks_fences : {false, true}) {
    for (const auto mode :
         {host::feature_mode::kOff, host::feature_mode::kOn}) {
      controller_fixture setup;
      setup.core.settings.engines_check_fences = checks_fences;
      setup.core.settings.features.lease_succession = mode;
      setup.lease.Start();
      setup.RunUntil([&] { return setup.lease.term() != 0; });
      const bool is_enabled = checks_fences && mode == host::feature_mode::kOn;
      setup.controller.ApplyUpdate(
          setup.UpdateOf(setup.lease.term() + 1, false), sender);
      BOOST_TEST((setup.lease.term() == 0) == is_enabled);
    }
  }
}

// Guards against requests that wait for loads which the former lease holder
// planned and the present one does not know of.
BOOST_AUTO_TEST_CASE(a_new_lease_holder_ends_the_plans_of_the_former_one) {
  controller_fixture setup;
  const base::endpoint sender{"127.0.0.1", 9};
  setup.controller.ApplyUpdate(setup.UpdateOf(4, true), sender);
  BOOST_TEST(setup.server().planned_loads_due.size() == 1u);
  // This host has started under this term, so it knows of no pause.
  BOOST_TEST((setup.core.holder.orders_from <= steady_clock::now()));
  setup.controller.ApplyUpdate(setup.UpdateOf(4, false), sender);
  BOOST_TEST(setup.server().planned_loads_due.size() == 1u);
  setup.controller.ApplyUpdate(setup.UpdateOf(5, false), sender);
  BOOST_TEST(setup.server().planned_loads_due.empty());
  BOOST_TEST((setup.core.holder.orders_from > steady_clock::now() + 2s));
  // Late updates of the former one are ignored.
  setup.controller.ApplyUpdate(setup.UpdateOf(4, true), sender);
  BOOST_TEST(setup.server().planned_loads_due.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
