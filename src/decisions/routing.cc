// SPDX-License-Identifier: MIT
#include "decisions/routing.h"

#include <algorithm>

#include "base/identifier.h"

namespace valeledge::decisions {

bool TakesWork(const server_view& server) {
  return !server.down && !server.leaving && !server.host_leaving;
}

namespace {

bool IsReady(const server_view& server, unit_hash unit) {
  return TakesWork(server) &&
         std::ranges::find(server.ready, unit) != server.ready.end();
}

std::int64_t Busy(const server_view& server) {
  return server.in_flight + server.foreign;
}

double Load(const server_view& server) {
  return static_cast<double>(Busy(server)) /
         static_cast<double>(std::max<std::int64_t>(server.slots, 1));
}

bool IsCandidate(const server_view& server, const route_request& request) {
  return IsReady(server, request.unit) && Busy(server) < server.slots &&
         std::ranges::find(request.avoid, server.name) == request.avoid.end();
}

bool AnyReadyBeyond(std::span<const server_view> servers,
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

void RememberPrefix(prefix_memory& memory,
                    std::int64_t hash,
                    base::time_point now) {
  if (hash == 0)
    return;
  auto& entries = memory.entries;
  const auto found =
      std::ranges::find(entries, hash, &prefix_memory::entry::hash);
  if (found != entries.end()) {
    found->used = now;
    return;
  }
  if (entries.size() < kPrefixesRemembered) {
    entries.push_back({hash, now});
    return;
  }
  *std::ranges::min_element(entries, {}, &prefix_memory::entry::used) = {hash,
                                                                         now};
}

bool HoldsPrefix(const prefix_memory& memory, std::int64_t hash) {
  if (hash == 0)
    return false;
  return std::ranges::find(memory.entries, hash, &prefix_memory::entry::hash) !=
         memory.entries.end();
}

std::optional<std::size_t> ChooseServer(std::span<const server_view> servers,
                                        const route_request& wanted,
                                        std::mt19937_64& random) {
  // Where every ready server has failed the request, they are tried again.
  route_request request = wanted;
  if (!wanted.avoid.empty() && !AnyReadyBeyond(servers, wanted))
    request.avoid = {};
  std::int64_t slots = 0;
  std::int64_t busy = 0;
  std::size_t candidates = 0;
  double lowest = 0;
  std::size_t equals = 0;
  std::optional<std::size_t> least;
  std::optional<std::size_t> with_prefix;
  for (std::size_t i = 0; i < servers.size(); ++i) {
    const server_view& server = servers[i];
    if (!IsReady(server, request.unit))
      continue;
    slots += server.slots;
    busy += Busy(server);
    if (!IsCandidate(server, request))
      continue;
    ++candidates;
    const double load = Load(server);
    if (!least || load < lowest) {
      least = i;
      lowest = load;
      equals = 1;
    } else if (load == lowest) {
      ++equals;
      std::uniform_int_distribution<std::size_t> any(1, equals);
      if (any(random) == 1)
        least = i;
    }
    const bool better = !with_prefix || load < Load(servers[*with_prefix]);
    if (better && HoldsPrefix(server.prefixes, request.prefix_hash))
      with_prefix = i;
  }
  if (!with_prefix || candidates == 0)
    return least;
  const double average = static_cast<double>(busy + 1) /
                         static_cast<double>(std::max<std::int64_t>(slots, 1));
  const bool bounded =
      Load(servers[*with_prefix]) <= kPrefixLoadBound * average;
  return bounded ? with_prefix : least;
}

bool AnyReady(std::span<const server_view> servers, unit_hash unit) {
  return std::ranges::any_of(
      servers, [unit](const server_view& each) { return IsReady(each, unit); });
}

double LoadOf(const cell_view& cell) {
  return static_cast<double>(cell.queued + cell.in_flight) /
         static_cast<double>(std::max<std::int64_t>(cell.slots, 1));
}

std::optional<std::size_t> ChooseCell(std::span<const cell_view> cells,
                                      std::string_view home_zone,
                                      std::mt19937_64& random) {
  if (cells.empty())
    return std::nullopt;
  std::uniform_int_distribution<std::size_t> any(0, cells.size() - 1);
  const std::size_t first = any(random);
  const std::size_t second = any(random);
  std::size_t better =
      LoadOf(cells[second]) < LoadOf(cells[first]) ? second : first;
  if (cells[better].zone == home_zone)
    return better;
  // Of the home cells, the least loaded that still has room.
  std::optional<std::size_t> home;
  for (std::size_t i = 0; i < cells.size(); ++i) {
    const bool usable =
        cells[i].zone == home_zone && LoadOf(cells[i]) < kHomeZoneLoad;
    if (usable && (!home || LoadOf(cells[i]) < LoadOf(cells[*home])))
      home = i;
  }
  return home ? home : better;
}

}  // namespace valeledge::decisions
