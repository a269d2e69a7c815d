// SPDX-License-Identifier: MIT
#include "host/process/engine_estimate_service.h"

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "base/identifier.h"
#include "estimate_engines.h"
#include "request_codec.h"
#include "wire/codec.h"

namespace {

using namespace valeledge;
using namespace valeledge::test;
using namespace std::chrono_literals;

// Hosts that send requests to engines in virtual time.
struct fleet {
  struct member {
    std::unique_ptr<host::host_core> core;
    std::unique_ptr<host::engine_estimate_service> service;
    bool is_running = true;
  };
  struct response {
    std::size_t host = 0;
    std::shared_ptr<host::known_server> server;
    milliseconds took{0};
  };

  fleet(int hosts, int engine_count, bool mixed_urgency = true)
      : factors(static_cast<std::size_t>(engine_count), kFast),
        members(static_cast<std::size_t>(hosts)) {
    configuration = MakeConfiguration(mixed_urgency);
    for (std::size_t i = 0; i < members.size(); ++i)
      Start(i);
  }

  static base::endpoint AddressOf(std::size_t host) {
    return {"10.0.0.1", static_cast<std::uint16_t>(host + 1)};
  }

  void Start(std::size_t index) {
    member& added = members[index];
    host::host_settings settings;
    settings.peer_listen = AddressOf(index);
    added.core = std::make_unique<host::host_core>(context, settings,
                                                   platform::MakeDialect());
    added.core->configuration = configuration;
    added.core->hosts = static_cast<std::int64_t>(members.size());
    for (std::size_t i = 0; i < factors.size(); ++i)
      added.core->servers.Put(EntryOf(static_cast<int>(i)), now);
    host::engine_estimate_callbacks callbacks;
    callbacks.owner = [this](const std::string& instance) {
      return OwnerOf(instance);
    };
    callbacks.send = [this](const base::endpoint& to,
                            const wire::engine_observations& update) {
      ++reports;
      if (IsLost())
        return;
      member& owner = members[to.port - 1u];
      if (owner.is_running)
        owner.service->HandleObservations(
            *wire::DecodeEngineObservations(wire::Encode(update)), now);
    };
    callbacks.broadcast = [this, index](const wire::engine_estimates& update) {
      ++publications;
      for (std::size_t i = 0; i < members.size(); ++i) {
        if (i != index && members[i].is_running && !IsLost())
          members[i].service->HandleEstimates(
              *wire::DecodeEngineEstimates(wire::Encode(update)), now);
      }
    };
    callbacks.broadcast_in_zone = [this](const wire::engine_estimates& update) {
      forwarded.push_back(update);
    };
    added.service = std::make_unique<host::engine_estimate_service>(
        *added.core, std::move(callbacks));
  }

  // A host that has just stopped is still taken for the owner.
  std::optional<base::endpoint> OwnerOf(const std::string& instance) const {
    std::optional<std::size_t> best;
    std::uint64_t best_weight = 0;
    for (std::size_t i = 0; i < members.size(); ++i) {
      const std::uint64_t weight =
          base::StableHash(instance + "/" + std::to_string(i));
      if (known_dead.contains(i) || (best && weight <= best_weight))
        continue;
      best = i;
      best_weight = weight;
    }
    return best ? std::optional(AddressOf(*best)) : std::nullopt;
  }

  bool IsLost() { return std::bernoulli_distribution(loss)(random); }

  // Sends requests of all hosts to all engines for a while.
  void Serve(std::chrono::milliseconds duration) {
    std::exponential_distribution<double> interval(requests_per_second);
    const auto end = now + duration;
    auto next = now;
    for (; now < end; now += 1ms) {
      for (; next <= now;
           next += std::chrono::duration_cast<base::time_point::duration>(
               std::chrono::duration<double>(interval(random))))
        Send();
      while (!responses.empty() && responses.begin()->first <= now) {
        Receive(responses.begin()->second);
        responses.erase(responses.begin());
      }
      TickHosts();
    }
  }

  void Send() {
    const std::size_t host = random() % members.size();
    const std::size_t engine = random() % factors.size();
    if (!members[host].is_running || silent.contains(engine))
      return;
    const double noise =
        std::bernoulli_distribution(kNoiseShare)(random) ? kNoise : 1;
    response sent;
    sent.host = host;
    sent.server = members[host].core->servers.Find(
        InstanceName(static_cast<int>(engine)));
    sent.took = kExpected * factors[engine] * noise;
    responses.emplace(
        now + std::chrono::duration_cast<base::time_point::duration>(sent.took),
        sent);
  }

  void Receive(const response& each) {
    if (members[each.host].is_running)
      members[each.host].service->Observe(*each.server, {each.took, kExpected},
                                          now);
  }

  // Hosts do not tick at the same time.
  void TickHosts() {
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
        now.time_since_epoch());
    for (std::size_t i = 0; i < members.size(); ++i) {
      const auto phase = static_cast<std::int64_t>(i * 37 % 250);
      if (members[i].is_running && elapsed.count() % 250 == phase)
        members[i].service->Tick(now);
    }
  }

  const decisions::engine_estimate& EstimateAt(std::size_t host,
                                               std::size_t engine) const {
    return members[host]
        .core->servers.Find(InstanceName(static_cast<int>(engine)))
        ->estimate;
  }
  double RelativeAt(std::size_t host, std::size_t engine) const {
    return decisions::RelativeFactor(EstimateAt(host, engine), now);
  }

  // Share of the running hosts that take the engine for slow.
  double ShareOfHostsThatKnowSlow(std::size_t engine) const {
    int running = 0;
    int know = 0;
    for (std::size_t i = 0; i < members.size(); ++i) {
      if (!members[i].is_running)
        continue;
      ++running;
      know += RelativeAt(i, engine) > kKnownSlow ? 1 : 0;
    }
    return static_cast<double>(know) / running;
  }
  // The mean of that over a range of engines.
  double ShareKnownSlow(std::size_t first, std::size_t last) const {
    double sum = 0;
    for (std::size_t i = first; i < last; ++i)
      sum += ShareOfHostsThatKnowSlow(i);
    return sum / static_cast<double>(last - first);
  }

  // Between the speeds of slow and fast engines, which differ by 2.18.
  static constexpr double kKnownSlow = 1.3;

  boost::asio::io_context context{1};
  base::time_point now = base::time_point() + 1h;
  std::mt19937_64 random{11};
  std::shared_ptr<const catalog::configuration> configuration;
  double requests_per_second = 500;
  double loss = 0;
  // Factor of each engine's response time.
  std::vector<double> factors;
  // Engines that get no requests.
  std::set<std::size_t> silent;
  std::vector<member> members;
  // Stopped hosts that all others know to have stopped.
  std::set<std::size_t> known_dead;
  std::multimap<base::time_point, response> responses;
  std::int64_t reports = 0;
  std::int64_t publications = 0;
  std::vector<wire::engine_estimates> forwarded;
};

// The second deployment: one in four engines is slow.
struct deployment : fleet {
  deployment() : fleet(70, kEngines) {
    std::fill_n(factors.begin(), kSlowEngines, kSlow);
  }
};

BOOST_AUTO_TEST_SUITE(engine_estimate_service)

// Mean shares over several runs, so that the results of single requests do not
// decide.
struct deployments {
  explicit deployments(unsigned count) : runs(count) {
    for (unsigned i = 0; i < count; ++i)
      runs[i].random.seed(i + 1);
  }
  void Serve(std::chrono::milliseconds duration) {
    for (deployment& each : runs)
      each.Serve(duration);
  }
  void SetFactor(std::size_t first, std::size_t last, double factor) {
    for (deployment& each : runs)
      std::fill(each.factors.begin() + static_cast<std::ptrdiff_t>(first),
                each.factors.begin() + static_cast<std::ptrdiff_t>(last),
                factor);
  }
  double ShareKnownSlow(std::size_t first, std::size_t last) const {
    double sum = 0;
    for (const deployment& each : runs)
      sum += each.ShareKnownSlow(first, last);
    const double mean = sum / static_cast<double>(runs.size());
    BOOST_TEST_MESSAGE("engines " << first << " to " << last << " are slow for "
                                  << mean << " of the hosts");
    return mean;
  }

  std::vector<deployment> runs;
};

// A host alone sees a response of one engine in 20 s, so it does not know which
// engines are slow until most of a day is over.
BOOST_AUTO_TEST_CASE(all_hosts_know_the_slow_engines_after_two_seconds) {
  deployments here(4);
  here.Serve(2s);
  BOOST_TEST(here.ShareKnownSlow(0, kSlowEngines) > 0.9);
  BOOST_TEST(here.ShareKnownSlow(kSlowEngines, kEngines) < 0.03);
  here.Serve(8s);
  BOOST_TEST(here.ShareKnownSlow(0, kSlowEngines) > 0.98);
  BOOST_TEST(here.ShareKnownSlow(kSlowEngines, kEngines) < 0.01);
}

BOOST_AUTO_TEST_CASE(engines_that_turn_slow_and_recover_are_known) {
  deployments here(4);
  here.Serve(10s);
  constexpr std::size_t kTurned = kSlowEngines + 20;
  const auto share = [&] { return here.ShareKnownSlow(kSlowEngines, kTurned); };
  here.SetFactor(kSlowEngines, kTurned, kSlow);
  here.Serve(2s);
  BOOST_TEST(share() > 0.35);
  here.Serve(1s);
  BOOST_TEST(share() > 0.8);
  here.Serve(1s);
  BOOST_TEST(share() > 0.93);
  here.Serve(4s);
  here.SetFactor(kSlowEngines, kTurned, kFast);
  here.Serve(2s);
  BOOST_TEST(share() < 0.6);
  here.Serve(1s);
  BOOST_TEST(share() < 0.2);
  here.Serve(3s);
  BOOST_TEST(share() < 0.03);
}

// Guards against hosts that forget an engine's speed with its owner, or keep
// the last estimate for ever.
BOOST_AUTO_TEST_CASE(an_owner_that_is_lost_is_replaced) {
  deployment here;
  here.Serve(5s);
  const auto owner = here.OwnerOf(InstanceName(0));
  const std::size_t lost = owner->port - 1u;
  here.members[lost].is_running = false;
  here.Serve(2s);
  BOOST_TEST(here.ShareOfHostsThatKnowSlow(0) > 0.95);
  here.known_dead.insert(lost);
  here.factors[0] = kFast;
  here.Serve(4s);
  BOOST_TEST(here.ShareOfHostsThatKnowSlow(0) < 0.05);
}

BOOST_AUTO_TEST_CASE(without_an_owner_a_host_uses_its_own_observations) {
  fleet alone(1, 2);
  alone.known_dead.insert(0);
  alone.factors[0] = kSlow;
  alone.requests_per_second = 8;
  alone.Serve(10s);
  BOOST_TEST(alone.RelativeAt(0, 0) > 1.5);
  BOOST_TEST(alone.reports == 0);
  BOOST_TEST(alone.publications == 0);
}

BOOST_AUTO_TEST_CASE(a_replaced_instance_starts_without_the_estimate) {
  deployment here;
  here.Serve(5s);
  for (const fleet::member& each : here.members) {
    catalog::backend_server entry = EntryOf(0);
    entry.software = "v2";
    each.core->servers.Put(entry, here.now);
  }
  BOOST_TEST(here.RelativeAt(0, 0) == 1);
  here.factors[0] = kFast;
  // Responses of the earlier run do not count.
  here.Serve(300ms);
  BOOST_TEST(here.ShareOfHostsThatKnowSlow(0) == 0);
  here.Serve(2s);
  BOOST_TEST(here.ShareOfHostsThatKnowSlow(0) < 0.05);
}

BOOST_AUTO_TEST_CASE(lost_reports_delay_the_estimate_only) {
  deployment here;
  here.loss = 0.3;
  here.Serve(10s);
  BOOST_TEST(here.ShareKnownSlow(0, kSlowEngines) > 0.95);
  BOOST_TEST(here.ShareKnownSlow(kSlowEngines, kEngines) < 0.05);
}

// A sick engine that nobody uses any more must be tried again.
BOOST_AUTO_TEST_CASE(an_engine_without_requests_returns_to_the_usual_factor) {
  deployment here;
  here.factors[0] = 10;
  here.Serve(10s);
  BOOST_TEST(here.RelativeAt(5, 0) > 5);
  here.silent.insert(0);
  here.Serve(25s);
  BOOST_TEST(here.RelativeAt(5, 0) < 4);
}

// A host that starts later learns estimates that do not change any more.
BOOST_AUTO_TEST_CASE(a_host_that_starts_late_learns_all_estimates) {
  deployment here;
  here.members[3].is_running = false;
  here.Serve(10s);
  here.members[3].is_running = true;
  here.Serve(8s);
  int known = 0;
  for (std::size_t i = 0; i < kSlowEngines; ++i)
    known += here.RelativeAt(3, i) > fleet::kKnownSlow ? 1 : 0;
  BOOST_TEST(known >= 32);
}

BOOST_AUTO_TEST_CASE(without_mixed_urgency_nothing_is_shared) {
  fleet plain(3, 4, false);
  plain.factors[0] = kSlow;
  plain.Serve(5s);
  BOOST_TEST(plain.reports == 0);
  BOOST_TEST(plain.publications == 0);
  BOOST_TEST(plain.EstimateAt(0, 0).weight == 0);
  // Also if another host of another configuration sends them.
  wire::engine_estimates update;
  wire::engine_estimate_report report;
  report.server = host::KeyOf(InstanceName(0));
  report.log_factor = 1000;
  report.weight = 16;
  update.estimates.push_back(report);
  plain.members[0].service->HandleEstimates(update, plain.now);
  BOOST_TEST(plain.EstimateAt(0, 0).weight == 0);
}

// A datagram with which two hosts ask each other to forward would circulate.
BOOST_AUTO_TEST_CASE(estimates_are_forwarded_once) {
  fleet here(2, 2);
  wire::engine_estimates update;
  wire::engine_estimate_report report;
  report.server = host::KeyOf(InstanceName(0));
  report.log_factor = 700;
  report.weight = 16;
  update.estimates.push_back(report);
  here.members[0].service->HandleEstimates(update, here.now);
  BOOST_TEST(here.forwarded.empty());
  update.__set_hand_on(true);
  here.members[0].service->HandleEstimates(update, here.now);
  BOOST_REQUIRE(here.forwarded.size() == 1);
  const auto copy =
      wire::DecodeEngineEstimates(wire::Encode(here.forwarded.front()));
  BOOST_TEST(copy->estimates.size() == 1);
  BOOST_TEST(!copy->hand_on);
  BOOST_TEST(decisions::CurrentFactor(here.EstimateAt(0, 0), here.now) > 1.8);
}

BOOST_AUTO_TEST_CASE(an_owner_keeps_its_estimate) {
  fleet here(2, 1);
  here.factors[0] = kSlow;
  here.Serve(3s);
  const std::size_t owner = here.OwnerOf(InstanceName(0))->port - 1u;
  const double before =
      decisions::CurrentFactor(here.EstimateAt(owner, 0), here.now);
  wire::engine_estimates update;
  wire::engine_estimate_report report;
  report.server = host::KeyOf(InstanceName(0));
  report.log_factor = -700;
  report.weight = 16;
  update.estimates.push_back(report);
  here.members[owner].service->HandleEstimates(update, here.now);
  BOOST_TEST(decisions::CurrentFactor(here.EstimateAt(owner, 0), here.now) ==
             before);
  here.members[1 - owner].service->HandleEstimates(update, here.now);
  BOOST_TEST(decisions::CurrentFactor(here.EstimateAt(1 - owner, 0), here.now) <
             1);
}

BOOST_AUTO_TEST_CASE(invalid_messages_are_ignored_and_counted) {
  fleet here(2, 2);
  wire::engine_observations observations;
  wire::engine_observation observation;
  observation.server = host::KeyOf(InstanceName(0));
  observation.responses = -5;
  observations.observations.push_back(observation);
  here.members[0].service->HandleObservations(observations, here.now);
  wire::engine_estimates estimates;
  wire::engine_estimate_report report;
  report.server = host::KeyOf(InstanceName(0));
  report.log_factor = 2'000'000'000;
  estimates.estimates.push_back(report);
  here.members[0].service->HandleEstimates(estimates, here.now);
  BOOST_TEST(here.EstimateAt(0, 0).weight == 0);
  BOOST_TEST(
      here.members[0]
          .core->metrics.Counter("valeledge_engine_estimates_total", "invalid")
          .value == 2);
}

// An engine that has just unloaded its only model is of the same speed.
BOOST_AUTO_TEST_CASE(an_engine_that_holds_no_model_is_observed) {
  fleet here(2, 1);
  const auto server = here.members[0].core->servers.Find(InstanceName(0));
  server->entry.models.clear();
  here.members[0].service->Observe(*server, {kExpected, kExpected}, here.now);
  BOOST_TEST(server->exchange.unreported.responses == 1);
  // Servers of a service without models have no estimates.
  auto plain = std::make_shared<catalog::configuration>(*here.configuration);
  plain->services.front().engines.models.clear();
  here.members[1].core->configuration = plain;
  const auto other = here.members[1].core->servers.Find(InstanceName(0));
  here.members[1].service->Observe(*other, {kExpected, kExpected}, here.now);
  BOOST_TEST(other->exchange.unreported.IsEmpty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
