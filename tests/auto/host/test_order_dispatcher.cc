// SPDX-License-Identifier: MIT
#include "host/process/order_dispatcher.h"

#include <boost/test/unit_test.hpp>

#include <boost/asio/steady_timer.hpp>

#include "backend_stand_in.h"
#include "request_codec.h"

namespace {

using namespace valeledge;
using namespace std::chrono_literals;

// An engine "i-1" that holds model m of service s, and a dispatcher that sends
// it orders.
struct engine_fixture {
  engine_fixture() {
    catalog::configuration configuration;
    catalog::service service;
    service.name = "s";
    service.engines.weights_mb = 1000;
    service.engines.adapter_slots = 4;
    catalog::model model;
    model.name = "m";
    model.weights_mb = 100;
    model.adapters = 4;
    service.engines.models.push_back(model);
    configuration.services.push_back(service);
    core.configuration =
        std::make_shared<const catalog::configuration>(configuration);
    catalog::backend_server entry;
    entry.instance = "i-1";
    entry.service = "s";
    entry.address = backend.address();
    entry.models.push_back({"m", 1, {}});
    core.servers.Put(entry, std::chrono::steady_clock::now());
    dispatcher.BeginTerm(true);
  }

  // Runs until the engine has reported its state.
  void DiscoverEngine() {
    const std::string state =
        R"({"Models":[{"Name":"m","Version":1,"Adapters":[]}],"Seq":0})";
    backend.script = {{"HTTP/1.1 200 OK\r\nContent-Length: " +
                       std::to_string(state.size()) + "\r\n\r\n" + state},
                      {"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"}};
    dispatcher.Refresh();
    while (!dispatcher.engines().at("i-1")->accepted)
      context.run_one();
  }

  // Requests an adapter. The returned value is set once the request completes.
  std::shared_ptr<std::optional<base::result<std::string>>> RequestAdapter(
      const std::string& adapter) {
    auto out = std::make_shared<std::optional<base::result<std::string>>>();
    boost::asio::co_spawn(
        context,
        [this, adapter, out]() -> boost::asio::awaitable<void> {
          *out = co_await dispatcher.EnsureAdapter("s", "m", adapter, {});
        },
        boost::asio::detached);
    return out;
  }

  boost::asio::io_context context{1};
  test::backend_stand_in backend{context};
  host::host_core core{context, host::host_settings(), platform::MakeDialect()};
  host::order_dispatcher dispatcher{core, [] { return 1; }};
};

BOOST_AUTO_TEST_SUITE(order_dispatcher)

// The second request waits for an adapter that is being loaded for the first
// one while the engine leaves: the dispatcher must not access the removed
// engine.
BOOST_AUTO_TEST_CASE(an_engine_may_leave_while_requests_wait_for_its_adapter) {
  engine_fixture setup;
  setup.DiscoverEngine();
  const auto first = setup.RequestAdapter("a1");
  while (setup.dispatcher.engines().at("i-1")->models.at("m").adapters.empty())
    setup.context.run_one();
  const auto second = setup.RequestAdapter("a1");
  setup.context.poll();
  setup.core.servers.Remove("i-1", false, 0ms,
                            std::chrono::steady_clock::now());
  setup.dispatcher.Refresh();
  BOOST_TEST(setup.dispatcher.engines().empty());
  while (!*first || !*second)
    setup.context.run_one();
  BOOST_TEST(!(*second)->has_value());
}

BOOST_AUTO_TEST_CASE(a_copy_of_a_refusal_is_no_reply_to_an_order) {
  engine_fixture setup;
  setup.backend.copies_refusals = true;
  setup.backend.script = {
      {"HTTP/1.1 421 Misdirected Request\r\nX-Not-Run: 1\r\n"
       "X-Request-Id: $ID\r\nContent-Length: 0\r\n\r\n"}};
  auto request = net::MakeRequest(boost::beast::http::verb::post, "/x");
  request.set("X-Request-Id", "9c41");
  bool refused = false;
  boost::asio::co_spawn(
      setup.context,
      [&]() -> boost::asio::awaitable<void> {
        co_await setup.core.http.Fetch(setup.backend.address(), request, 1s);
        refused = true;
      },
      boost::asio::detached);
  while (!refused)
    setup.context.run_one();
  setup.DiscoverEngine();
  setup.RequestAdapter("a1");
  const auto accepted = [&] {
    return setup.dispatcher.engines().at("i-1")->accepted == 1;
  };
  while (!accepted() && setup.backend.requests.size() < 4)
    BOOST_REQUIRE_NE(setup.context.run_one_for(5s), 0u);
  BOOST_TEST(accepted());
  BOOST_TEST(setup.backend.requests.size() == 3u);
}

// The order may have been carried out.
BOOST_AUTO_TEST_CASE(a_status_out_of_range_is_no_reply_to_an_order) {
  engine_fixture setup;
  setup.DiscoverEngine();
  const auto engine = setup.dispatcher.engines().at("i-1");
  setup.backend.script = {
      {"HTTP/1.1 000 Odd\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n"}};
  setup.RequestAdapter("a1");
  while (setup.backend.requests.size() < 2 || engine->sending)
    BOOST_REQUIRE_NE(setup.context.run_one_for(5s), 0u);
  BOOST_TEST(!engine->server->SaysLeaving());
  BOOST_TEST(*engine->accepted == 0);
  BOOST_TEST(
      setup.core.metrics.Counter("valeledge_orders_total", "unknown").value ==
      1);
}

BOOST_AUTO_TEST_CASE(the_next_order_for_an_adapter_finds_an_open_connection) {
  engine_fixture setup;
  setup.DiscoverEngine();
  for (const int number : {1, 2, 3}) {
    setup.RequestAdapter("a" + std::to_string(number));
    const auto is_done = [&] {
      return setup.dispatcher.engines().at("i-1")->accepted == number &&
             setup.core.http.idle_connections() == 1;
    };
    while (!is_done())
      BOOST_REQUIRE_NE(setup.context.run_one_for(5s), 0u);
  }
  // One for the state, one for each order, and the open one.
  BOOST_TEST(setup.backend.connections == 5);
}

// Adapters are preloaded while slots are free, by one order each.
BOOST_AUTO_TEST_CASE(adapters_are_preloaded_while_slots_are_free) {
  engine_fixture setup;
  setup.DiscoverEngine();
  setup.backend.script.assign(
      4, {"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"});
  const auto engine = setup.dispatcher.engines().at("i-1");
  setup.dispatcher.LoadAdapters(engine, "m", {"a1", "a2", "a3"}, 2);
  while (host::AdaptersHeld(*engine) < 2 || engine->sending)
    setup.context.run_one();
  setup.context.poll();
  BOOST_TEST(host::AdaptersHeld(*engine) == 2);
  BOOST_TEST(*engine->accepted == 2);
}

// The engine rewrites its entry when an order ends; its reported state follows
// later.
BOOST_AUTO_TEST_CASE(an_entry_shows_that_a_load_has_ended) {
  engine_fixture setup;
  setup.DiscoverEngine();
  const auto engine = setup.dispatcher.engines().at("i-1");
  catalog::model model;
  model.name = "n";
  model.load_from_disk = 60s;
  setup.dispatcher.Load(engine, model, decisions::weight_source::kDisk);
  while (!engine->models.contains("n") || engine->sending)
    setup.context.run_one();
  BOOST_REQUIRE(engine->models.at("n").acknowledged);
  setup.dispatcher.Refresh();
  BOOST_TEST(!host::IsHeld(*engine, "n"));
  catalog::backend_server entry = engine->server->entry;
  entry.models.push_back({"n", 1, {}});
  setup.core.servers.Put(entry, std::chrono::steady_clock::now());
  setup.dispatcher.Refresh();
  BOOST_TEST(host::IsHeld(*engine, "n"));
  BOOST_TEST(host::IsIdle(*engine));
}

// A host with a newer configuration may request adapters of a service that this
// host does not know.
BOOST_AUTO_TEST_CASE(an_adapter_of_an_unknown_service_is_refused) {
  engine_fixture setup;
  setup.DiscoverEngine();
  setup.core.configuration = std::make_shared<const catalog::configuration>();
  const auto outcome = setup.RequestAdapter("a1");
  while (!*outcome)
    setup.context.run_one();
  BOOST_TEST(!(*outcome)->has_value());
}

// Loads started by the previous lease holder are not known, but count against
// the same rate limit.
BOOST_AUTO_TEST_CASE(a_new_holder_loads_nothing_from_the_store_at_first) {
  boost::asio::io_context context(1);
  host::host_settings settings;
  settings.load_window = 5000ms;
  host::host_core core(context, settings, platform::MakeDialect());
  host::order_dispatcher dispatcher(core, [] { return 1; });
  dispatcher.BeginTerm(true);
  BOOST_TEST(dispatcher.StoreLoadsLeft(2.1) == 10);
  dispatcher.BeginTerm(false);
  BOOST_TEST(dispatcher.StoreLoadsLeft(2.1) == 0);
}

BOOST_AUTO_TEST_CASE(memory_for_adapters_is_reserved) {
  catalog::engine kind;
  kind.weights_mb = 200;
  kind.adapter_slots = 8;
  catalog::model model;
  model.name = "m";
  model.weights_mb = 60;
  model.adapters = 3;
  model.adapter_mb = 2;
  kind.models.push_back(model);
  host::engine_record engine;
  BOOST_TEST(host::UsedMemory(engine, kind) == 16);
  engine.models["m"].adapters["a1"] = {};
  BOOST_TEST(host::UsedMemory(engine, kind) == 76);
  BOOST_TEST(host::AdaptersHeld(engine) == 1);
  // A model removed from the configuration still uses memory. Since its size is
  // unknown, all memory for weights is counted.
  engine.models["gone"] = {};
  BOOST_TEST(host::UsedMemory(engine, kind) == 276);
}

BOOST_AUTO_TEST_CASE(a_reported_state_replaces_the_known_one) {
  using phase = host::engine_model::phase;
  host::engine_record engine;
  engine.models["loading"].state = phase::kLoading;
  engine.models["lost"].state = phase::kHeld;
  catalog::engine_state state;
  state.orders_accepted = 4;
  state.busy = true;
  state.models.push_back({"held", 1, {"a1"}});
  const base::time_point now = std::chrono::steady_clock::now();
  host::ApplyState(engine, state, now);
  BOOST_TEST(engine.accepted.value() == 4);
  BOOST_TEST(host::IsHeld(engine, "held"));
  BOOST_TEST(!host::IsHeld(engine, "loading"));
  BOOST_TEST(engine.models.contains("loading"));
  BOOST_TEST(!engine.models.contains("lost"));
  // Once the engine is idle, a load has either completed or failed.
  state.busy = false;
  host::ApplyState(engine, state, now);
  BOOST_TEST(!engine.models.contains("loading"));
}

// Responses to orders and queries state it like those to requests.
BOOST_AUTO_TEST_CASE(an_engine_whose_reply_says_it_leaves_is_known_to_leave) {
  engine_fixture setup;
  setup.DiscoverEngine();
  setup.backend.script = {
      {"HTTP/1.1 202 Accepted\r\nServer-Leaving: 1\r\n"
       "Content-Length: 0\r\n\r\n"}};
  const auto placed = setup.RequestAdapter("a1");
  while (!*placed)
    setup.context.run_one();
  BOOST_TEST(!setup.core.servers.Find("i-1")->TakesRequests());
}

BOOST_AUTO_TEST_CASE(an_engine_that_starts_again_under_its_id_is_empty) {
  engine_fixture setup;
  setup.DiscoverEngine();
  const auto before = setup.dispatcher.engines().at("i-1");
  const catalog::backend_server entry = before->server->entry;
  setup.core.servers.Remove("i-1", false, 0ms,
                            std::chrono::steady_clock::now());
  setup.core.servers.Put(entry, std::chrono::steady_clock::now());
  setup.dispatcher.Refresh();
  const auto after = setup.dispatcher.engines().at("i-1");
  BOOST_TEST((after->server == setup.core.servers.Find("i-1")));
  BOOST_TEST(!after->accepted.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
