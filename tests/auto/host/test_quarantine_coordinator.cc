// SPDX-License-Identifier: MIT
// Several hosts that report crashes of servers to each other, in memory and on
// one event loop, with a store that all of them read.
#include "host/process/quarantine_coordinator.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/test/unit_test.hpp>

#include "fake_store.h"
#include "request_codec.h"
#include "wire/codec.h"

namespace {

using namespace valeledge;
using namespace std::chrono_literals;

constexpr std::uint64_t kRequest = 0xfedcba9876543210;
const std::string kKey = "valeledge/held/fedcba9876543210";

// The crash of a server immediately after an attempt was sent to it.
decisions::server_crash CrashOf(std::int32_t server) {
  const auto now = std::chrono::steady_clock::now();
  return {server, now, now};
}

class fleet {
 public:
  // Only the first `receivers` hosts receive crash reports; the others only
  // read the store.
  fleet(std::size_t count, std::size_t receivers) : receivers_(receivers) {
    store.grants_leases = true;
    for (std::size_t i = 0; i < count; ++i)
      AddHost();
  }

  void AddHost() {
    const std::size_t at = hosts_.size();
    one_host& added = *hosts_.emplace_back(std::make_unique<one_host>(context));
    host::quarantine_callbacks callbacks;
    callbacks.send = [this, at](const std::string& value,
                                const membership::direct_recipients&) {
      Deliver(at, value);
    };
    callbacks.is_first = [this, at](const std::string&) { return at == first; };
    added.coordinator = std::make_unique<host::quarantine_coordinator>(
        added.core, store, std::move(callbacks));
  }

  host::quarantine_coordinator& At(std::size_t i) {
    return *hosts_[i]->coordinator;
  }

  bool IsQuarantined(std::size_t i) {
    const auto now = std::chrono::steady_clock::now();
    return decisions::RemainingQuarantine(hosts_[i]->core.quarantine, kRequest,
                                          now)
        .has_value();
  }

  std::size_t CountQuarantining() {
    std::size_t count = 0;
    for (std::size_t i = 0; i < hosts_.size(); ++i)
      count += IsQuarantined(i) ? 1 : 0;
    return count;
  }

  // Completes pending work, and then lets all hosts read the store.
  void RunAndReadStore() {
    context.restart();
    while (context.poll_one() != 0) {
    }
    const bool is_stored = StoreHas();
    if (is_stored != stored_) {
      stored_ = is_stored;
      for (const auto& each : hosts_) {
        if (is_stored)
          each->coordinator->PutKey(kKey);
        else
          each->coordinator->RemoveKey(kKey, false);
      }
    }
  }

  // Runs until the store contains the quarantine key, or for ten seconds.
  void RunUntilStored() {
    const auto until = std::chrono::steady_clock::now() + 10s;
    while (!StoreHas() && std::chrono::steady_clock::now() < until) {
      context.restart();
      context.run_one_for(100ms);
    }
  }

  bool StoreHas() {
    store::kv_transaction query;
    query.on_success.push_back(store::Get(kKey));
    bool found = false;
    boost::asio::co_spawn(
        context,
        [&]() -> boost::asio::awaitable<void> {
          const auto response = co_await store.Run(std::move(query));
          found = response && !response->results.front().pairs.empty();
        },
        boost::asio::detached);
    context.restart();
    while (context.poll_one() != 0) {
    }
    return found;
  }

  boost::asio::io_context context{1};
  test::fake_store store{context};
  // The host that is chosen to write.
  std::size_t first = 0;
  // Hosts that can neither send nor receive.
  std::set<std::size_t> disconnected;
  // Number of updates sent.
  int sent = 0;

 private:
  struct one_host {
    explicit one_host(boost::asio::io_context& context)
        : core(context, host::host_settings(), platform::MakeDialect()) {}
    host::host_core core;
    std::unique_ptr<host::quarantine_coordinator> coordinator;
  };

  void Deliver(std::size_t from, const std::string& value) {
    ++sent;
    const auto update = wire::DecodeEndNews(value);
    BOOST_REQUIRE(update.has_value());
    for (std::size_t i = 0; i < receivers_; ++i) {
      if (i != from && !disconnected.contains(i) &&
          !disconnected.contains(from))
        hosts_[i]->coordinator->HandleUpdate(*update);
    }
  }

  std::size_t receivers_;
  std::vector<std::unique_ptr<one_host>> hosts_;
  bool stored_ = false;
};

BOOST_AUTO_TEST_SUITE(quarantine_coordination)

BOOST_AUTO_TEST_CASE(three_crashes_quarantine_a_request_at_all_hosts) {
  fleet here(8, 8);
  for (std::size_t i = 0; i < 3; ++i) {
    BOOST_TEST(here.CountQuarantining() == 0u);
    here.At(i).OnServerCrash(kRequest, CrashOf(static_cast<std::int32_t>(i)));
  }
  BOOST_TEST(here.CountQuarantining() == 8u);
}

BOOST_AUTO_TEST_CASE(
    hosts_without_updates_learn_of_a_quarantine_from_the_store) {
  fleet here(300, 16);
  for (std::size_t i = 0; i < 3; ++i)
    here.At(100 + i).OnServerCrash(kRequest,
                                   CrashOf(static_cast<std::int32_t>(i)));
  BOOST_TEST(here.CountQuarantining() == 16u);
  here.RunAndReadStore();
  BOOST_TEST(here.CountQuarantining() == 300u);
  // A host that starts later reads the same key.
  here.AddHost();
  here.At(300).PutKey(kKey);
  BOOST_TEST(here.IsQuarantined(300));
}

BOOST_AUTO_TEST_CASE(missed_updates_are_repeated) {
  fleet here(3, 3);
  here.disconnected = {2};
  for (std::int32_t server = 0; server < 3; ++server)
    here.At(0).OnServerCrash(kRequest, CrashOf(server));
  BOOST_TEST(here.CountQuarantining() == 2u);
  here.disconnected.clear();
  here.At(0).Republish();
  BOOST_TEST(here.IsQuarantined(2));
}

// Many requests are in progress at a single crash. Only those at a second crash
// are published repeatedly.
BOOST_AUTO_TEST_CASE(a_single_crash_is_published_once) {
  fleet here(3, 3);
  here.At(0).OnServerCrash(kRequest, CrashOf(1));
  const int sent = here.sent;
  for (int i = 0; i < 8; ++i)
    here.At(0).Republish();
  BOOST_TEST(here.sent == sent);
  here.At(1).OnServerCrash(kRequest, CrashOf(2));
  here.At(0).Republish();
  BOOST_TEST(here.sent == sent + 2);
}

BOOST_AUTO_TEST_CASE(
    hosts_quarantine_without_the_store_and_write_once_it_is_back) {
  fleet here(4, 4);
  here.store.down = true;
  here.store.grants_leases = false;
  for (std::int32_t server = 0; server < 3; ++server)
    here.At(1).OnServerCrash(kRequest, CrashOf(server));
  here.RunAndReadStore();
  BOOST_TEST(here.CountQuarantining() == 4u);
  here.store.down = false;
  here.store.grants_leases = true;
  here.RunUntilStored();
  BOOST_TEST(here.StoreHas());
}

BOOST_AUTO_TEST_CASE(others_write_if_the_chosen_host_does_not) {
  fleet here(3, 3);
  // The chosen host does not exist.
  here.first = 7;
  for (std::int32_t server = 0; server < 3; ++server)
    here.At(0).OnServerCrash(kRequest, CrashOf(server));
  here.RunUntilStored();
  BOOST_TEST(here.StoreHas());
}

BOOST_AUTO_TEST_CASE(a_completed_response_clears_a_request_everywhere) {
  fleet here(3, 3);
  here.At(0).OnServerCrash(kRequest, CrashOf(1));
  here.At(1).OnServerCrash(kRequest, CrashOf(2));
  here.At(2).OnCompletedResponse(kRequest);
  // The earlier crashes are no longer published.
  for (std::size_t i = 0; i < 3; ++i)
    here.At(i).Republish();
  here.At(0).OnServerCrash(kRequest, CrashOf(3));
  here.At(1).OnServerCrash(kRequest, CrashOf(4));
  BOOST_TEST(here.CountQuarantining() == 0u);
  here.At(2).OnServerCrash(kRequest, CrashOf(5));
  BOOST_TEST(here.CountQuarantining() == 3u);
}

BOOST_AUTO_TEST_CASE(a_deleted_key_ends_the_quarantine_unless_it_lapsed) {
  fleet here(2, 2);
  here.At(0).PutKey(kKey);
  here.At(1).PutKey(kKey);
  here.At(0).RemoveKey(kKey, true);
  here.At(1).RemoveKey(kKey, false);
  BOOST_TEST(here.IsQuarantined(0));
  BOOST_TEST(!here.IsQuarantined(1));
}

BOOST_AUTO_TEST_CASE(unrelated_keys_are_not_handled) {
  fleet here(1, 1);
  BOOST_TEST(!here.At(0).PutKey("valeledge/controller/leader"));
  BOOST_TEST(!here.At(0).PutKey("valeledge/held/not a digest"));
  BOOST_TEST(!here.At(0).RemoveKey("servers/i-1", false));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
