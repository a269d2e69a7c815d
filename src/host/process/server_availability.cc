// SPDX-License-Identifier: MIT
// Which servers may get a request, and when.
#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "decisions/brittle_server.h"
#include "host/process/server_registry.h"

namespace valeledge::host {

namespace {

// A load that is overdue by more than this is not waited for.
constexpr auto kOverdueLoadTolerance = std::chrono::milliseconds(800);

// Whether a request would not be rejected, if the server tolerates few
// rejections.
bool HasRoom(const known_server& server) {
  return !server.rejections_tolerated ||
         server.Running() < decisions::BrittleSlots(server.entry.slots);
}

}  // namespace

bool IsInAllowedRegion(const server_query& query, const std::string& region) {
  const auto allows = [&](const std::vector<std::string>* regions) {
    return regions == nullptr || regions->empty() ||
           std::ranges::find(*regions, region) != regions->end();
  };
  return allows(query.route_regions) && allows(query.workspace_regions);
}

bool HasRequiredSoftware(const server_query& query,
                         const catalog::backend_server& entry) {
  return query.software == nullptr || entry.software == *query.software;
}

bool server_registry::AcceptsRequest(const known_server& server,
                                     const server_query& query) const {
  return server.TakesRequests() && server.entry.service == query.service &&
         HasRequiredSoftware(query, server.entry) &&
         IsInAllowedRegion(query, server.region);
}

bool server_registry::IsCandidate(const known_server& server,
                                  const server_query& query,
                                  base::time_point now) const {
  return server.IsPermitted(now) && HasRoom(server) &&
         !(query.avoids_full && server.IsFull()) &&
         IsEligible(server, query, now) &&
         !decisions::IsPaused(server.notices, now) &&
         decisions::AllowsRequests(server.trust, now);
}

bool server_registry::IsEligible(const known_server& server,
                                 const server_query& query,
                                 base::time_point now) const {
  const bool tried = std::ranges::find(*query.avoid, server.entry.instance) !=
                     query.avoid->end();
  return AcceptsRequest(server, query) && !tried && !server.IsExpired(now) &&
         (query.model.empty() || server.Holds(query.model, query.adapter, now));
}

bool server_registry::AnyHolds(const server_query& query,
                               base::time_point now) const {
  return std::ranges::any_of(servers_, [&](const auto& each) {
    const known_server& server = *each.second;
    return AcceptsRequest(server, query) &&
           (query.model.empty() ||
            server.Holds(query.model, query.adapter, now));
  });
}

bool server_registry::AnyEligible(const server_query& query,
                                  base::time_point now) const {
  return std::ranges::any_of(servers_, [&](const auto& each) {
    return IsEligible(*each.second, query, now);
  });
}

std::optional<server_release> server_registry::EarliestRelease(
    const server_query& query,
    base::time_point now) const {
  std::optional<server_release> first;
  bool any_stated = false;
  for (const auto& [instance, server] : servers_) {
    if (!IsEligible(*server, query, now))
      continue;
    const bool needs_permit = !server->IsPermitted(now);
    const bool is_stated =
        needs_permit || decisions::IsBackingOff(server->notices, now);
    const auto paused_until = std::max(decisions::PausedUntil(server->notices),
                                       server->trust.suspended_until);
    server_release release{paused_until, false};
    if (needs_permit && server->permit_retry_at >= paused_until)
      release = {server->permit_retry_at, true};
    const bool is_available = !needs_permit && release.at <= now;
    if (is_available)
      return std::nullopt;
    any_stated = any_stated || is_stated;
    if (!first || release.at < first->at)
      first = release;
  }
  return any_stated ? first : std::nullopt;
}

std::optional<base::time_point> server_registry::EarliestLoadDue(
    const server_query& query,
    base::time_point now) const {
  return EarliestOf(&known_server::loads_due, query, now);
}

std::optional<base::time_point> server_registry::EarliestPlannedLoad(
    const server_query& query,
    base::time_point now) const {
  return EarliestOf(&known_server::planned_loads_due, query, now);
}

std::optional<base::time_point> server_registry::EarliestOf(
    std::map<unit_key, base::time_point> known_server::*loads,
    const server_query& query,
    base::time_point now) const {
  std::optional<base::time_point> first;
  for (const auto& [instance, server] : servers_) {
    if (!AcceptsRequest(*server, query))
      continue;
    const auto& known = (*server).*loads;
    const auto found = known.find(KeyOf(query.model));
    const bool current =
        found != known.end() && now < found->second + kOverdueLoadTolerance;
    if (current && (!first || found->second < *first))
      first = found->second;
  }
  return first;
}

std::optional<std::chrono::milliseconds> server_registry::FastestLocalLoad(
    const server_query& query,
    const catalog::service& service) const {
  const catalog::model* model = service.engines.Find(query.model);
  std::optional<std::chrono::milliseconds> best;
  if (model == nullptr)
    return best;
  for (const auto& [instance, server] : servers_) {
    const catalog::backend_server& entry = server->entry;
    if (!AcceptsRequest(*server, query))
      continue;
    const auto has = [&](const std::vector<std::string>& copies) {
      return std::ranges::find(copies, query.model) != copies.end();
    };
    if (has(entry.in_memory))
      return model->load_from_memory;
    if (has(entry.on_disk))
      best = model->load_from_disk;
  }
  return best;
}

}  // namespace valeledge::host
