// SPDX-License-Identifier: MIT
#include "decisions/routing.h"

#include <algorithm>

#include "base/identifier.h"

namespace valeledge::decisions {

bool AcceptsWork(const server_view& server) {
  return !server.down && !server.leaving && !server.host_leaving;
}

namespace {

bool IsReady(const server_view& server, unit_hash unit) {
  return AcceptsWork(server) &&
         std::ranges::find(server.ready, unit) != server.ready.end();
}

std::int64_t ActiveRequests(const server_view& server) {
  return server.in_flight + server.external_in_flight;
}

double Load(const server_view& server) {
  return static_cast<double>(ActiveRequests(server)) /
         static_cast<double>(std::max<std::int64_t>(server.slots, 1));
}

bool IsCandidate(const server_view& server, const route_request& request) {
  return IsReady(server, request.unit) &&
         ActiveRequests(server) < server.slots &&
         std::ranges::find(request.avoid, server.name) == request.avoid.end();
}

bool AnyReadyNotAvoided(std::span<const server_view> servers,
                        const route_request& request) {
  return std::ranges::any_of(servers, [&](const server_view& each) {
    return IsReady(each, request.unit) &&
           std::ranges::find(request.avoid, each.name) == request.avoid.end();
  });
}

}  // namespace

unit_hash HashUnit(std::string_view unit) {
  return static_cast<unit_hash>(base::StableHash(unit));
}

void RecordPrefix(prefix_history& history,
                  std::int64_t hash,
                  base::time_point now) {
  if (hash == 0)
    return;
  auto& entries = history.entries;
  const auto found =
      std::ranges::find(entries, hash, &prefix_history::entry::hash);
  if (found != entries.end()) {
    found->used = now;
    return;
  }
  if (entries.size() < kMaxPrefixes) {
    entries.push_back({hash, now});
    return;
  }
  *std::ranges::min_element(entries, {}, &prefix_history::entry::used) = {hash,
                                                                          now};
}

bool HasPrefix(const prefix_history& history, std::int64_t hash) {
  if (hash == 0)
    return false;
  return std::ranges::find(history.entries, hash,
                           &prefix_history::entry::hash) !=
         history.entries.end();
}

std::optional<std::size_t> ChooseServer(std::span<const server_view> servers,
                                        const route_request& original,
                                        std::mt19937_64& random) {
  // If the request has failed on every ready server, all are candidates again.
  route_request request = original;
  if (!original.avoid.empty() && !AnyReadyNotAvoided(servers, original))
    request.avoid = {};
  std::int64_t slots = 0;
  std::int64_t active = 0;
  std::size_t candidates = 0;
  double lowest = 0;
  std::size_t ties = 0;
  std::optional<std::size_t> least_loaded;
  std::optional<std::size_t> with_prefix;
  for (std::size_t i = 0; i < servers.size(); ++i) {
    const server_view& server = servers[i];
    if (!IsReady(server, request.unit))
      continue;
    slots += server.slots;
    active += ActiveRequests(server);
    if (!IsCandidate(server, request))
      continue;
    ++candidates;
    const double load = Load(server);
    if (!least_loaded || load < lowest) {
      least_loaded = i;
      lowest = load;
      ties = 1;
    } else if (load == lowest) {
      ++ties;
      std::uniform_int_distribution<std::size_t> any(1, ties);
      if (any(random) == 1)
        least_loaded = i;
    }
    const bool better = !with_prefix || load < Load(servers[*with_prefix]);
    if (better && HasPrefix(server.prefixes, request.prefix_hash))
      with_prefix = i;
  }
  if (!with_prefix || candidates == 0)
    return least_loaded;
  const double average = static_cast<double>(active + 1) /
                         static_cast<double>(std::max<std::int64_t>(slots, 1));
  const bool within_limit =
      Load(servers[*with_prefix]) <= kMaxPrefixLoadRatio * average;
  return within_limit ? with_prefix : least_loaded;
}

bool AnyReady(std::span<const server_view> servers, unit_hash unit) {
  return std::ranges::any_of(
      servers, [unit](const server_view& each) { return IsReady(each, unit); });
}

double CellLoad(const cell_view& cell) {
  return static_cast<double>(cell.queued + cell.in_flight) /
         static_cast<double>(std::max<std::int64_t>(cell.slots, 1));
}

std::optional<std::size_t> ChooseCell(std::span<const cell_view> cells,
                                      std::string_view local_zone,
                                      std::mt19937_64& random) {
  if (cells.empty())
    return std::nullopt;
  std::uniform_int_distribution<std::size_t> any(0, cells.size() - 1);
  const std::size_t first = any(random);
  const std::size_t second = any(random);
  std::size_t better =
      CellLoad(cells[second]) < CellLoad(cells[first]) ? second : first;
  if (cells[better].zone == local_zone)
    return better;
  // The least loaded local cell below the maximum load.
  std::optional<std::size_t> local;
  for (std::size_t i = 0; i < cells.size(); ++i) {
    const bool usable =
        cells[i].zone == local_zone && CellLoad(cells[i]) < kMaxLocalZoneLoad;
    if (usable && (!local || CellLoad(cells[i]) < CellLoad(cells[*local])))
      local = i;
  }
  return local ? local : better;
}

}  // namespace valeledge::decisions
