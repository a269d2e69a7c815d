// SPDX-License-Identifier: MIT
// What one host of a large fleet sends to share estimates.
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>

#include <boost/test/unit_test.hpp>

#include "base/identifier.h"
#include "estimate_engines.h"
#include "host/process/engine_estimate_service.h"
#include "membership/gossip.h"
#include "request_codec.h"
#include "wire/codec.h"

namespace {

using namespace valeledge;
using namespace valeledge::test;
using namespace std::chrono_literals;

// Size of the datagram in which a host of a large fleet sends a value.
std::size_t DatagramBytes(std::string_view key, const std::string& value) {
  wire::gossip_message message;
  message.kind = static_cast<std::int32_t>(membership::gossip_kind::kDirect);
  message.sender.id = "host-1000";
  message.table_revision = 1'000'000;
  membership::soft_record record;
  record.key = key;
  record.value = value;
  message.records.push_back(std::move(record));
  return wire::Encode(message).size();
}

// Of a fleet in which each host sends and receives what this one does: 985
// hosts in 4 zones, 4,000 engines, and requests in the proportion of the second
// deployment.
struct large_fleet {
  static constexpr std::int64_t kHosts = 985;
  static constexpr std::int64_t kHostsInZone = 246;
  static constexpr std::int64_t kOtherZones = 3;
  static constexpr int kEngineCount = 4000;
  static constexpr int kOwned = 4;
  static constexpr double kResponsesPerEngine = 500.0 / kEngines;

  large_fleet() {
    host::host_settings settings;
    settings.peer_listen = own;
    core = std::make_unique<host::host_core>(context, settings,
                                             platform::MakeDialect());
    core->configuration = MakeConfiguration(true);
    core->hosts = kHosts;
    for (int i = 0; i < kEngineCount; ++i)
      core->servers.Put(EntryOf(i), now);
    host::engine_estimate_callbacks callbacks;
    callbacks.owner = [this](const std::string& instance) {
      return std::optional(owned.contains(instance) ? own : other);
    };
    callbacks.send = [this](const base::endpoint&,
                            const wire::engine_observations& update) {
      // Each engine has another owner.
      for (const wire::engine_observation& each : update.observations) {
        wire::engine_observations one;
        one.observations.push_back(each);
        bytes += static_cast<std::int64_t>(
            DatagramBytes(host::kObservationsRecord, wire::Encode(one)));
      }
    };
    // Each host forwards as many publications as it sends to other zones.
    callbacks.broadcast = [this](const wire::engine_estimates& update) {
      ++publications;
      const auto size = static_cast<std::int64_t>(
          DatagramBytes(host::kEstimatesRecord, wire::Encode(update)));
      bytes += size * (kHostsInZone - 1 + kOtherZones);
      bytes += size * kOtherZones * (kHostsInZone - 1);
    };
    callbacks.broadcast_in_zone = [](const wire::engine_estimates&) {};
    service = std::make_unique<host::engine_estimate_service>(
        *core, std::move(callbacks));
    for (int i = 0; i < kOwned; ++i)
      owned.insert(InstanceName(i));
  }

  double Factor() {
    return std::bernoulli_distribution(kNoiseShare)(random) ? kFast * kNoise
                                                            : kFast;
  }

  void Serve(std::chrono::seconds duration) {
    const auto end = now + duration;
    std::poisson_distribution<int> of_owned(kResponsesPerEngine / 4);
    std::poisson_distribution<int> of_this_host(kResponsesPerEngine *
                                                kEngineCount / kHosts / 4);
    for (; now < end; now += 250ms) {
      for (int i = 0; i < kOwned; ++i) {
        for (int count = of_owned(random); count > 0; --count)
          Report(i);
      }
      for (int count = of_this_host(random); count > 0; --count) {
        const int engine = static_cast<int>(random() % kEngineCount);
        service->Observe(*core->servers.Find(InstanceName(engine)),
                         {kExpected * Factor(), kExpected}, now);
      }
      service->Tick(now);
    }
  }

  void Report(int engine) {
    decisions::observation_sums sums;
    decisions::RecordObservation(
        sums, core->servers.Find(InstanceName(engine))->estimate,
        {kExpected * Factor(), kExpected}, now);
    wire::engine_observations update;
    update.observations.push_back(
        decisions::ToWire(host::KeyOf(InstanceName(engine)), sums));
    service->HandleObservations(update, now);
  }

  boost::asio::io_context context{1};
  base::time_point now = base::time_point() + 1h;
  std::mt19937_64 random{13};
  const base::endpoint own{"10.0.0.1", 1};
  const base::endpoint other{"10.0.0.2", 1};
  std::set<std::string> owned;
  std::unique_ptr<host::host_core> core;
  std::unique_ptr<host::engine_estimate_service> service;
  std::int64_t bytes = 0;
  std::int64_t publications = 0;
};

BOOST_AUTO_TEST_SUITE(engine_estimate_service)

BOOST_AUTO_TEST_CASE(one_of_985_hosts_sends_at_most_20_kB_per_second) {
  large_fleet here;
  here.Serve(20s);
  BOOST_TEST_MESSAGE("bytes per second of the first 20 s " << here.bytes / 20);
  BOOST_TEST(here.bytes / 20 <= 20'000);
  here.bytes = 0;
  here.publications = 0;
  here.Serve(60s);
  BOOST_TEST_MESSAGE("bytes per second " << here.bytes / 60
                                         << ", publications in 60 s "
                                         << here.publications);
  BOOST_TEST(here.bytes / 60 <= 20'000);
  BOOST_TEST(here.publications > 0);
}

// A burst of responses from many engines. Those whose report is delayed are not
// forgotten.
BOOST_AUTO_TEST_CASE(reports_beyond_their_budget_are_sent_later) {
  large_fleet here;
  std::set<std::int32_t> reported;
  std::int64_t bytes = 0;
  host::engine_estimate_callbacks callbacks;
  // Each engine has another owner.
  callbacks.owner = [](const std::string& instance) {
    const auto hash = static_cast<std::uint16_t>(base::StableHash(instance));
    return std::optional(base::endpoint{"10.0.1." + instance, hash});
  };
  callbacks.send = [&](const base::endpoint&,
                       const wire::engine_observations& update) {
    bytes += static_cast<std::int64_t>(
        DatagramBytes(host::kObservationsRecord, wire::Encode(update)));
    for (const wire::engine_observation& each : update.observations)
      reported.insert(each.server);
  };
  here.service = std::make_unique<host::engine_estimate_service>(
      *here.core, std::move(callbacks));
  constexpr std::size_t kObserved = 400;
  for (std::size_t i = 0; i < kObserved; ++i) {
    here.service->Observe(
        *here.core->servers.Find(InstanceName(static_cast<int>(i))),
        {kExpected, kExpected}, here.now);
  }
  for (int seconds = 1; seconds <= 40; ++seconds) {
    for (int i = 0; i < 4; ++i, here.now += 250ms)
      here.service->Tick(here.now);
    BOOST_TEST(bytes <= 2000 * (seconds + 1) + 500);
  }
  BOOST_TEST(reported.size() == kObserved);
}

// Guards against small changes that use up the budget of large ones.
BOOST_AUTO_TEST_CASE(a_large_change_is_published_at_once_in_a_large_fleet) {
  large_fleet here;
  here.Serve(30s);
  const auto server = here.core->servers.Find(InstanceName(1));
  decisions::observation_sums sums;
  for (int i = 0; i < 6; ++i)
    decisions::RecordObservation(sums, server->estimate,
                                 {kExpected * 3, kExpected}, here.now);
  wire::engine_observations update;
  update.observations.push_back(decisions::ToWire(server->key, sums));
  const auto before = here.publications;
  here.service->HandleObservations(update, here.now);
  here.Serve(2s);
  BOOST_TEST(here.publications > before);
  BOOST_TEST((server->exchange.published_at >= here.now - 2s));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
