// SPDX-License-Identifier: MIT
#include "host/process/order_desk.h"

#include <boost/test/unit_test.hpp>

#include "request_codec.h"

namespace {

using namespace valeledge;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(order_desk)

// What the last holder of the lease has started is not known, and counts with
// what the new one starts.
BOOST_AUTO_TEST_CASE(a_new_holder_loads_nothing_from_the_store_at_first) {
  boost::asio::io_context context(1);
  host::host_settings settings;
  settings.load_window = 5000ms;
  host::host_core core(context, settings, platform::MakeDialect());
  host::order_desk desk(core, [] { return 1; });
  desk.Begin(true);
  BOOST_TEST(desk.StoreLoadsLeft(2.1) == 10);
  desk.Begin(false);
  BOOST_TEST(desk.StoreLoadsLeft(2.1) == 0);
}

BOOST_AUTO_TEST_CASE(adapters_take_room_from_weights) {
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
  // What the configuration no longer names still takes room: all there is.
  engine.models["gone"] = {};
  BOOST_TEST(host::UsedMemory(engine, kind) == 276);
}

BOOST_AUTO_TEST_CASE(an_engines_own_account_replaces_what_was_believed) {
  using phase = host::engine_model::phase;
  host::engine_record engine;
  engine.models["loading"].now = phase::kLoading;
  engine.models["lost"].now = phase::kHeld;
  catalog::engine_state state;
  state.orders_accepted = 4;
  state.busy = true;
  state.models.push_back({"held", 1, {"a1"}});
  const base::time_point now = std::chrono::steady_clock::now();
  host::TakeState(engine, state, now);
  BOOST_TEST(engine.accepted.value() == 4);
  BOOST_TEST(host::IsHeld(engine, "held"));
  BOOST_TEST(!host::IsHeld(engine, "loading"));
  BOOST_TEST(engine.models.contains("loading"));
  BOOST_TEST(!engine.models.contains("lost"));
  // Not busy any more: what was being loaded is there, or is not.
  state.busy = false;
  host::TakeState(engine, state, now);
  BOOST_TEST(!engine.models.contains("loading"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
