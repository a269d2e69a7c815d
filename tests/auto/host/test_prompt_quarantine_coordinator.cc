// SPDX-License-Identifier: MIT
// Several hosts that report crashes under prompt parts to each other, in memory
// and on one event loop, with a store that all of them read.
#include "host/process/prompt_quarantine_coordinator.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/test/unit_test.hpp>

#include "fake_store.h"
#include "request_codec.h"

namespace {

using namespace valeledge;
using namespace std::chrono_literals;
using decisions::prompt_parts;

constexpr std::uint64_t kRoute = 0x10;
constexpr std::uint64_t kCause = 0xdead;
const std::string kKey = "valeledge/held/parts/000000000000dead";

class fleet {
 public:
  // Only the first `judges` hosts receive reports.
  fleet(std::size_t count, std::size_t judges) : judges_(judges) {
    store.grants_leases = true;
    for (std::size_t i = 0; i < count; ++i)
      AddHost(static_cast<std::int64_t>(count));
  }

  void AddHost(std::int64_t hosts) {
    const std::size_t at = hosts_.size();
    one_host& added =
        *hosts_.emplace_back(std::make_unique<one_host>(context, at));
    added.core.hosts = hosts;
    const auto now = std::chrono::steady_clock::now();
    for (std::uint64_t i = 0; i < 60; ++i) {
      decisions::RecordPrompt(added.core.prompts, {kRoute, 100 + i});
      decisions::RecordOutcome(added.core.prompts, {kRoute, 100 + i},
                               std::nullopt, now);
    }
    host::prompt_quarantine_callbacks callbacks;
    callbacks.send = [this, at](const wire::prompt_quarantine_update& update) {
      Deliver(at, update, judges_);
    };
    callbacks.broadcast = [this,
                           at](const wire::prompt_quarantine_update& update) {
      Deliver(at, update, hosts_.size());
    };
    callbacks.is_first = [this, at] { return at == first; };
    added.coordinator = std::make_unique<host::prompt_quarantine_coordinator>(
        added.core, store, std::move(callbacks));
  }

  host::prompt_quarantine_coordinator& At(std::size_t i) {
    return *hosts_[i]->coordinator;
  }

  // Crashes seen by hosts in turn, one second apart and in the past, so that
  // nothing needs to wait.
  void Crash(std::int32_t count, const prompt_parts& parts, std::size_t from) {
    const auto now = std::chrono::steady_clock::now();
    for (std::int32_t i = 0; i < count; ++i) {
      ++servers_;
      At(from + static_cast<std::size_t>(i))
          .OnServerCrash({servers_, now - 60s + 1s * servers_, parts});
    }
  }

  void TickAll() {
    for (const auto& each : hosts_)
      each->coordinator->Tick();
  }

  std::size_t CountRefusing(const prompt_parts& parts) {
    const auto now = std::chrono::steady_clock::now();
    std::size_t count = 0;
    for (const auto& each : hosts_) {
      count +=
          decisions::FindQuarantine(each->core.prompts, parts, now) ? 1 : 0;
    }
    return count;
  }

  bool StoreHas(const std::string& key) {
    store::kv_transaction query;
    query.on_success.push_back(store::Get(key));
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

  void RunUntilStored(const std::string& key, bool is_stored = true) {
    const auto until = std::chrono::steady_clock::now() + 10s;
    while (StoreHas(key) != is_stored &&
           std::chrono::steady_clock::now() < until) {
      context.restart();
      context.run_one_for(100ms);
    }
  }

  // All hosts read this entry of a server.
  void Heartbeat(const std::string& instance,
                 std::int64_t heartbeats,
                 std::chrono::seconds started_at = 0s) {
    catalog::backend_server entry;
    entry.instance = instance;
    entry.heartbeats = heartbeats;
    entry.started_at =
        std::chrono::sys_time<std::chrono::milliseconds>(started_at);
    for (const auto& each : hosts_)
      each->core.servers.Put(entry, std::chrono::steady_clock::now());
  }

  // Trials with this outcome, at all hosts.
  std::int64_t CountTrials(const std::string& outcome) {
    std::int64_t count = 0;
    for (const auto& each : hosts_) {
      count += each->core.metrics
                   .Counter("valeledge_quarantine_trials_total", outcome)
                   .value.load();
    }
    return count;
  }

  // Quarantines that ended for this reason, at all hosts.
  std::int64_t CountEnds(const std::string& reason) {
    std::int64_t count = 0;
    for (const auto& each : hosts_) {
      count += each->core.metrics
                   .Counter("valeledge_quarantines_ended_total", reason)
                   .value.load();
    }
    return count;
  }

  // Returns the host that may send a trial, once one may.
  std::optional<std::size_t> RunUntilTrial(const prompt_parts& combination,
                                           std::chrono::seconds most = 10s) {
    const auto until = std::chrono::steady_clock::now() + most;
    while (std::chrono::steady_clock::now() < until) {
      for (std::size_t host = 0; host < hosts_.size(); ++host) {
        At(host).Tick();
        if (!disconnected.contains(host) &&
            At(host).BeginTrial(combination) == host::trial_reply::kBegun)
          return host;
      }
      context.restart();
      context.run_one_for(10ms);
    }
    return std::nullopt;
  }

  boost::asio::io_context context{1};
  test::fake_store store{context};
  // The first host selected to evaluate crashes.
  std::size_t first = 0;
  // Hosts that can neither send nor receive.
  std::set<std::size_t> disconnected;

 private:
  struct one_host {
    one_host(boost::asio::io_context& context, std::size_t number)
        : core(context, SettingsOf(number), platform::MakeDialect()) {}
    static host::host_settings SettingsOf(std::size_t number) {
      host::host_settings settings;
      settings.name = "host-" + std::to_string(number);
      return settings;
    }
    host::host_core core;
    std::unique_ptr<host::prompt_quarantine_coordinator> coordinator;
  };

  void Deliver(std::size_t from,
               const wire::prompt_quarantine_update& update,
               std::size_t receivers) {
    for (std::size_t i = 0; i < std::min(receivers, hosts_.size()); ++i) {
      if (i != from && !disconnected.contains(i) &&
          !disconnected.contains(from))
        hosts_[i]->coordinator->HandleUpdate(update);
    }
  }

  std::size_t judges_;
  std::vector<std::unique_ptr<one_host>> hosts_;
  std::int32_t servers_ = 0;
};

BOOST_AUTO_TEST_SUITE(prompt_quarantine_coordination)

BOOST_AUTO_TEST_CASE(crashes_seen_by_different_hosts_count_together) {
  fleet here(8, 8);
  here.Crash(2, {kRoute, kCause}, 0);
  here.At(5).OnServed({kRoute});
  here.TickAll();
  BOOST_TEST(here.CountRefusing({kRoute, kCause}) == 0u);
  here.Crash(1, {7, kCause}, 4);
  here.TickAll();
  BOOST_TEST(here.CountRefusing({kCause}) == 8u);
  BOOST_TEST(here.CountRefusing({kRoute}) == 0u);
  BOOST_TEST(here.StoreHas(kKey));
}

BOOST_AUTO_TEST_CASE(a_large_fleet_learns_of_a_quarantine_without_the_store) {
  fleet here(300, 16);
  here.store.down = true;
  here.Crash(3, {7, kCause}, 100);
  here.TickAll();
  // The other hosts are asked for evidence first.
  BOOST_TEST(here.CountRefusing({kCause}) == 0u);
  const auto until = std::chrono::steady_clock::now() + 10s;
  while (here.CountRefusing({7, kCause}) < 300 &&
         std::chrono::steady_clock::now() < until) {
    here.context.restart();
    here.context.run_one_for(10ms);
    here.TickAll();
  }
  BOOST_TEST(here.CountRefusing({7, kCause}) == 300u);
}

BOOST_AUTO_TEST_CASE(a_host_that_has_served_a_suspect_clears_it_when_asked) {
  fleet here(300, 16);
  here.Crash(2, {7, kCause}, 100);
  here.TickAll();
  here.At(250).OnServed({7, kCause});
  here.Crash(1, {7, kCause}, 200);
  here.TickAll();
  for (std::size_t judge = 0; judge < 16; ++judge)
    here.At(judge).Tick();
  BOOST_TEST(here.CountRefusing({7, kCause}) == 0u);
}

BOOST_AUTO_TEST_CASE(missed_reports_are_repeated) {
  fleet here(3, 3);
  here.disconnected = {2};
  const auto now = std::chrono::steady_clock::now();
  for (std::int32_t server = 1; server <= 3; ++server)
    here.At(0).OnServerCrash({server, now - 5s + 1s * server, {kCause}});
  here.At(0).Tick();
  BOOST_TEST(here.CountRefusing({kCause}) == 2u);
  here.disconnected.clear();
  here.At(0).Tick();
  BOOST_TEST(here.CountRefusing({kCause}) == 3u);
}

BOOST_AUTO_TEST_CASE(hosts_quarantine_without_the_store_and_write_later) {
  fleet here(4, 4);
  here.store.down = true;
  here.store.grants_leases = false;
  here.Crash(3, {kCause}, 0);
  here.TickAll();
  BOOST_TEST(here.CountRefusing({kCause}) == 4u);
  here.store.down = false;
  here.store.grants_leases = true;
  here.RunUntilStored(kKey);
  BOOST_TEST(here.StoreHas(kKey));
}

BOOST_AUTO_TEST_CASE(a_key_begins_a_quarantine_and_its_removal_ends_it) {
  fleet here(2, 2);
  BOOST_TEST(here.At(0).PutKey(kKey));
  BOOST_TEST(here.At(1).PutKey(kKey));
  BOOST_TEST(here.CountRefusing({kCause}) == 2u);
  BOOST_TEST(here.At(0).RemoveKey(kKey, true));
  BOOST_TEST(here.At(1).RemoveKey(kKey, false));
  BOOST_TEST(here.CountRefusing({kCause}) == 1u);
}

// Guards against a quarantine that nothing ends: no request that would show
// that the parts are sound reaches a server.
BOOST_AUTO_TEST_CASE(a_trial_that_succeeds_ends_the_quarantine_everywhere) {
  fleet here(8, 8);
  here.Crash(3, {kCause}, 0);
  here.TickAll();
  here.RunUntilStored(kKey);
  BOOST_TEST(here.CountRefusing({kCause}) == 8u);
  const auto trial = here.RunUntilTrial({kCause});
  BOOST_REQUIRE(trial.has_value());
  for (std::size_t host = 0; host < 8; ++host)
    BOOST_TEST(
        (here.At(host).BeginTrial({kCause}) != host::trial_reply::kBegun));
  here.At(*trial).OnServed({7, kCause});
  BOOST_TEST(here.CountRefusing({kCause}) == 0u);
  // Hosts that have begun the quarantine repeat it for a while.
  here.TickAll();
  BOOST_TEST(here.CountRefusing({kCause}) == 0u);
  here.RunUntilStored(kKey, false);
  BOOST_TEST(!here.StoreHas(kKey));
}

BOOST_AUTO_TEST_CASE(a_trial_that_fails_leaves_the_quarantine) {
  fleet here(8, 8);
  here.Crash(3, {kCause}, 0);
  here.TickAll();
  const auto trial = here.RunUntilTrial({kCause});
  BOOST_REQUIRE(trial.has_value());
  here.At(*trial).OnTrialInterrupted({{kCause}, 1});
  here.Crash(1, {kCause}, *trial);
  here.TickAll();
  BOOST_TEST(here.CountRefusing({kCause}) == 8u);
}

// Guards against a lost report of a failed trial, after which the first host
// grants more of them.
BOOST_AUTO_TEST_CASE(a_failed_trial_is_reported_again) {
  fleet here(8, 8);
  here.Crash(3, {kCause}, 0);
  here.TickAll();
  here.disconnected = {0};
  for (std::int32_t server = 1; server <= 2; ++server)
    here.At(3).OnTrialInterrupted({{kCause}, server});
  here.disconnected.clear();
  here.At(3).Tick();
  BOOST_TEST(!here.RunUntilTrial({kCause}, 2s));
}

// Guards against connections that are reset without a crash: two of them left a
// sound part quarantined without another trial.
BOOST_AUTO_TEST_CASE(a_reset_connection_is_no_failed_trial) {
  fleet here(8, 8);
  here.Crash(3, {kCause}, 0);
  here.TickAll();
  for (const std::string instance : {"i-1", "i-2"}) {
    const auto trial = here.RunUntilTrial({kCause});
    BOOST_REQUIRE(trial.has_value());
    here.Heartbeat(instance, 1);
    here.At(*trial).OnTrialInterrupted({{kCause}, host::KeyOf(instance)});
    here.Heartbeat(instance, 3);
  }
  const auto trial = here.RunUntilTrial({kCause}, 12s);
  BOOST_REQUIRE(trial.has_value());
  BOOST_TEST(here.CountTrials("inconclusive") == 2);
  BOOST_TEST(here.CountTrials("failed") == 0);
  here.At(*trial).OnServed({kCause});
  BOOST_TEST(here.CountRefusing({kCause}) == 0u);
}

// Guards against trials that go on although the server's run has ended.
BOOST_AUTO_TEST_CASE(a_server_that_starts_again_has_crashed) {
  fleet here(8, 8);
  here.Crash(3, {kCause}, 0);
  here.TickAll();
  here.Heartbeat("i-1", 1);
  here.At(3).OnTrialInterrupted({{kCause}, host::KeyOf("i-1")});
  here.Heartbeat("i-1", 1, 7s);
  here.TickAll();
  BOOST_TEST(here.CountTrials("failed") == 1);
  BOOST_TEST(here.CountTrials("inconclusive") == 0);
}

// Guards against a host that starts, becomes the first one selected, and grants
// trials as if none had failed.
BOOST_AUTO_TEST_CASE(a_new_first_host_learns_of_failed_trials) {
  fleet here(8, 9);
  here.Crash(3, {kCause}, 0);
  here.TickAll();
  for (std::int32_t server = 1; server <= 2; ++server)
    here.At(3).OnTrialInterrupted({{kCause}, server});
  here.AddHost(8);
  here.At(8).PutKey(kKey);
  here.first = 8;
  here.disconnected = {3};
  BOOST_TEST(!here.RunUntilTrial({kCause}, 2s));
}

// Guards against trials that no host grants after the first one selected has
// been lost, and against hosts of a large fleet that receive no grants.
BOOST_AUTO_TEST_CASE(any_host_of_a_large_fleet_may_try) {
  fleet here(300, 16);
  here.Crash(3, {7, kCause}, 100);
  const auto until = std::chrono::steady_clock::now() + 10s;
  while (here.CountRefusing({7, kCause}) < 300 &&
         std::chrono::steady_clock::now() < until) {
    here.context.restart();
    here.context.run_one_for(10ms);
    here.TickAll();
  }
  here.disconnected = {0};
  here.first = 1;
  const auto trial = here.RunUntilTrial({7, kCause});
  BOOST_REQUIRE(trial.has_value());
  here.At(*trial).OnServed({7, kCause});
  BOOST_TEST(here.CountRefusing({7, kCause}) == 1u);
}

// Guards against a quarantine that is reported as ended twice, the second time
// by its duration, when the key that a run has removed disappears.
BOOST_AUTO_TEST_CASE(an_end_is_reported_once) {
  fleet here(4, 4);
  here.Crash(3, {kCause}, 0);
  here.TickAll();
  here.At(1).OnServed({kCause});
  BOOST_TEST(here.CountRefusing({kCause}) == 0u);
  for (std::size_t host = 0; host < 4; ++host)
    BOOST_TEST(here.At(host).RemoveKey(kKey, false));
  BOOST_TEST(here.CountEnds("time") == 0);
  BOOST_TEST(here.CountEnds("run") == 1);
  BOOST_TEST(here.CountEnds("told") == 3);
}

// Guards against an operator's removal of a key that the next crash undoes.
BOOST_AUTO_TEST_CASE(an_operator_lifts_a_quarantine) {
  fleet here(4, 4);
  here.Crash(3, {kCause}, 0);
  here.TickAll();
  BOOST_TEST(here.CountRefusing({kCause}) == 4u);
  for (std::size_t host = 0; host < 4; ++host)
    BOOST_TEST(here.At(host).RemoveKey(kKey, false));
  here.Crash(1, {kCause}, 0);
  here.TickAll();
  BOOST_TEST(here.CountRefusing({kCause}) == 0u);
}

BOOST_AUTO_TEST_CASE(unrelated_keys_are_not_handled) {
  fleet here(1, 1);
  BOOST_TEST(!here.At(0).PutKey("valeledge/held/fedcba9876543210"));
  BOOST_TEST(!here.At(0).PutKey("valeledge/held/parts/12,not a part"));
  BOOST_TEST(!here.At(0).RemoveKey("servers/i-1", false));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
