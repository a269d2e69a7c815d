// SPDX-License-Identifier: MIT
#include "host/process/engine_estimate_service.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <utility>

#include "base/logging.h"
#include "host/load_features.h"
#include "wire/codec.h"

namespace valeledge::host {

namespace {

using base::log_event;
using decisions::publication_need;

constexpr std::string_view kCategory = "estimates";
constexpr std::string_view kCounter = "valeledge_engine_estimates_total";

// Bytes per second that the publications of one host cause on average, at all
// hosts that send or forward them. With reports of observations, one of 985
// hosts sends less than 20 kB per second, also in the 20 s after it has been
// quiet.
constexpr double kPublishedBytesPerSecond = 14'000;

// Budget of the reports of one host in bytes per second, and of a burst, which
// is 16 datagrams. One of 985 hosts observes some 14 engines per second.
constexpr double kReportedBytesPerSecond = 2'000;

// Bytes of a datagram besides its value, and of one with the estimates of a few
// engines.
constexpr std::size_t kDatagramOverhead = 68;
constexpr double kTypicalDatagram = 120;

// Publications of a host that has been quiet may take this many seconds' bytes
// at once: many engines become known in the first seconds of load.
constexpr double kBurstSeconds = 3;

// An engine is logged as slow from the first factor relative to its service on,
// and as recovered below the second one.
constexpr double kSlowFactor = 1.5;
constexpr double kRecoveredFactor = 1.25;

}  // namespace

engine_estimate_service::engine_estimate_service(
    host_core& core,
    engine_estimate_callbacks callbacks)
    : core_(core), callbacks_(std::move(callbacks)) {
  core_.servers.SetSharedEstimates(core_.settings.features.shared_estimates);
  core_.engine_observed =
      [this](known_server& server,
             const decisions::engine_observation& observation) {
        Observe(server, observation, std::chrono::steady_clock::now());
      };
}

bool engine_estimate_service::IsShared(const known_server& server) const {
  if (core_.configuration == nullptr)
    return false;
  const auto& services = core_.configuration->services;
  const auto service = std::ranges::find(services, server.entry.service,
                                         &catalog::service::name);
  // An engine may hold no model for some time.
  return service != services.end() && service->HasModels() &&
         IsEnabled(core_.settings.features.shared_estimates, *service);
}

bool engine_estimate_service::IsOwner(const known_server& server) const {
  return callbacks_.owner(server.entry.instance) == core_.settings.peer_listen;
}

void engine_estimate_service::Count(std::string_view what) {
  core_.metrics.Counter(kCounter, what).Add();
}

void engine_estimate_service::CountInvalid(const known_server& server) {
  Count("invalid");
  if (std::exchange(has_logged_invalid_, true))
    return;
  base::Log(
      kCategory, log_event::kEngineEstimateInvalid,
      {{"server", server.entry.instance}, {"service", server.entry.service}});
}

// The own observation counts at once. The next publication of the owner, which
// includes it, replaces the estimate.
void engine_estimate_service::Observe(
    known_server& server,
    const decisions::engine_observation& observation,
    base::time_point now) {
  if (!IsShared(server))
    return;
  decisions::observation_sums sums;
  decisions::RecordObservation(sums, server.estimate, observation, now);
  if (sums.IsEmpty())
    return;
  Count("observed");
  decisions::Add(server.exchange.unreported, sums);
  decisions::MergeObservations(server.estimate, sums, now);
}

void engine_estimate_service::HandleObservations(
    const wire::engine_observations& update,
    base::time_point now) {
  std::vector<known_server*> urgent;
  for (const wire::engine_observation& each : update.observations) {
    const auto server = core_.servers.FindKey(each.server);
    if (server == nullptr || !IsShared(*server)) {
      Count("unknown");
      continue;
    }
    const auto sums = decisions::FromWire(each);
    if (!sums) {
      CountInvalid(*server);
      continue;
    }
    decisions::MergeObservations(server->estimate, *sums, now);
    server->exchange.has_merged = true;
    Count("merged");
    const auto need =
        decisions::PublicationNeed(server->estimate, server->exchange, now);
    if (need == publication_need::kUrgent)
      urgent.push_back(server.get());
  }
  if (!urgent.empty() && urgent.size() <= decisions::kMaxEnginesPerMessage)
    PublishSome(urgent, publication_need::kUrgent, now);
}

void engine_estimate_service::HandleEstimates(wire::engine_estimates update,
                                              base::time_point now) {
  for (const wire::engine_estimate_report& each : update.estimates) {
    const auto server = core_.servers.FindKey(each.server);
    if (server == nullptr || !IsShared(*server)) {
      Count("unknown");
      continue;
    }
    auto estimate = decisions::FromWire(each, now);
    if (!estimate) {
      CountInvalid(*server);
      continue;
    }
    // Two hosts may both be the owner while membership changes. Selecting the
    // owner of each published estimate would take a host among 985 a third of a
    // second after each change of the membership.
    decisions::estimate_exchange& exchange = server->exchange;
    exchange.is_publisher = exchange.is_publisher && IsOwner(*server);
    if (exchange.is_publisher)
      continue;
    estimate->log_prior = server->estimate.log_prior;
    server->estimate = *estimate;
    exchange.published = *estimate;
    exchange.published_at = now;
    Count("applied");
  }
  if (!update.hand_on)
    return;
  update.hand_on = false;
  update.__isset.hand_on = false;
  Count("forwarded");
  callbacks_.broadcast_in_zone(update);
}

void engine_estimate_service::Tick(base::time_point now) {
  const bool is_enabled =
      core_.configuration != nullptr &&
      IsEnabled(core_.settings.features.shared_estimates, *core_.configuration);
  if (!is_enabled)
    return;
  UpdatePriors(now);
  Report(now);
  Publish(now);
}

void engine_estimate_service::UpdatePriors(base::time_point now) {
  std::int64_t slow = 0;
  std::map<std::string_view, std::vector<known_server*>> by_service;
  for (const auto& [instance, server] : core_.servers.servers())
    by_service[server->entry.service].push_back(server.get());
  for (const auto& [service, servers] : by_service) {
    if (!IsShared(*servers.front()))
      continue;
    std::vector<const decisions::engine_estimate*> estimates;
    for (const known_server* each : servers)
      estimates.push_back(&each->estimate);
    const double prior = decisions::MedianLogFactor(estimates, now);
    for (known_server* each : servers) {
      each->estimate.log_prior = prior;
      const double factor = decisions::RelativeFactor(each->estimate, now);
      slow += factor >= kSlowFactor ? 1 : 0;
    }
  }
  core_.metrics.Gauge("valeledge_slow_engines").Set(slow);
}

// Observations without an owner are dropped: this host's own estimate contains
// them. Those beyond the budget are kept for the next report, which begins with
// their owners.
void engine_estimate_service::Report(base::time_point now) {
  std::map<base::endpoint, std::vector<known_server*>> by_owner;
  for (const auto& [instance, server] : core_.servers.servers()) {
    decisions::estimate_exchange& exchange = server->exchange;
    if (exchange.unreported.IsEmpty())
      continue;
    const auto owner = callbacks_.owner(instance);
    if (owner && *owner != core_.settings.peer_listen) {
      by_owner[*owner].push_back(server.get());
      continue;
    }
    exchange.unreported = {};
    if (owner)
      exchange.has_merged = true;
    else
      Count("no_owner");
  }
  report_budget_.rate = kReportedBytesPerSecond;
  report_budget_.burst = kReportedBytesPerSecond;
  decisions::Refill(report_budget_, now);
  auto next = by_owner.upper_bound(last_reported_to_);
  for (std::size_t i = 0; i < by_owner.size(); ++i, ++next) {
    if (next == by_owner.end())
      next = by_owner.begin();
    if (!SendReport(next->first, next->second)) {
      Count("report_deferred");
      return;
    }
    last_reported_to_ = next->first;
  }
}

bool engine_estimate_service::SendReport(
    const base::endpoint& owner,
    const std::vector<known_server*>& servers) {
  for (std::size_t begin = 0; begin < servers.size();
       begin += decisions::kMaxEnginesPerMessage) {
    if (report_budget_.level <= 0)
      return false;
    const std::size_t end =
        std::min(servers.size(), begin + decisions::kMaxEnginesPerMessage);
    wire::engine_observations report;
    for (std::size_t i = begin; i < end; ++i) {
      const auto sums = std::exchange(servers[i]->exchange.unreported, {});
      report.observations.push_back(decisions::ToWire(servers[i]->key, sums));
    }
    report_budget_.level -=
        static_cast<double>(wire::Encode(report).size() + kDatagramOverhead);
    Count("reported");
    callbacks_.send(owner, report);
  }
  return true;
}

// Once a datagram is sent, other estimates that have changed are included.
void engine_estimate_service::Publish(base::time_point now) {
  std::vector<known_server*> changed;
  publication_need most_urgent = publication_need::kNone;
  for (const auto& [instance, server] : core_.servers.servers()) {
    if (!server->exchange.has_merged)
      continue;
    const auto need =
        decisions::PublicationNeed(server->estimate, server->exchange, now);
    if (need == publication_need::kNone)
      continue;
    changed.push_back(server.get());
    most_urgent = std::max(most_urgent, need);
  }
  while (!changed.empty()) {
    const std::size_t count =
        std::min(changed.size(), decisions::kMaxEnginesPerMessage);
    PublishSome(
        {changed.end() - static_cast<std::ptrdiff_t>(count), changed.end()},
        most_urgent, now);
    changed.resize(changed.size() - count);
  }
}

void engine_estimate_service::PublishSome(
    const std::vector<known_server*>& servers,
    publication_need need,
    base::time_point now) {
  wire::engine_estimates update;
  for (const known_server* each : servers)
    update.estimates.push_back(
        decisions::ToWire(each->key, each->estimate, now));
  if (!TryCharge(wire::Encode(update).size(), need, now)) {
    Count("deferred");
    return;
  }
  for (known_server* each : servers) {
    each->exchange.has_merged = false;
    each->exchange.is_publisher = true;
    each->exchange.published = each->estimate;
    each->exchange.published_at = now;
    LogSpeedChange(*each, now);
  }
  Count("published");
  callbacks_.broadcast(update);
}

// Half of the budget is kept for large changes, so that these are published at
// once also in a large fleet.
bool engine_estimate_service::TryCharge(std::size_t bytes,
                                        publication_need need,
                                        base::time_point now) {
  const auto others =
      static_cast<double>(std::max<std::int64_t>(core_.hosts - 1, 0));
  const double cost = others * static_cast<double>(bytes + kDatagramOverhead);
  const double burst = std::max(kPublishedBytesPerSecond * kBurstSeconds,
                                2 * others * kTypicalDatagram);
  const bool is_first = budget_.rate == 0;
  budget_.rate = kPublishedBytesPerSecond;
  budget_.burst = burst;
  decisions::Refill(budget_, now);
  if (is_first) {
    budget_.level =
        std::max(kPublishedBytesPerSecond * kBurstSeconds, burst / 2);
  }
  const double reserve =
      need == publication_need::kUrgent ? 0 : budget_.burst / 2;
  if (budget_.level < std::min(cost + reserve, budget_.burst))
    return false;
  budget_.level -= cost;
  return true;
}

void engine_estimate_service::LogSpeedChange(known_server& server,
                                             base::time_point now) {
  const double factor = decisions::RelativeFactor(server.estimate, now);
  bool& is_slow = server.exchange.is_slow;
  const bool was_slow = is_slow;
  is_slow = factor >= (was_slow ? kRecoveredFactor : kSlowFactor);
  if (is_slow == was_slow)
    return;
  base::Log(kCategory,
            is_slow ? log_event::kEngineSlow : log_event::kEngineRecovered,
            {{"server", server.entry.instance},
             {"service", server.entry.service},
             {"factor_percent", std::llround(factor * 100)}});
}

}  // namespace valeledge::host
