// SPDX-License-Identifier: MIT
#include "gateway/process/fallback_router.h"

#include <algorithm>

#include "wire/codec.h"

namespace valeledge::gateway {

std::vector<const table::row*> ReadyServers(const table::snapshot& table,
                                            const node::member_view& view,
                                            decisions::unit_hash unit) {
  std::vector<const table::row*> out;
  for (const auto& [cell, servers] : table.cells) {
    const auto record = view.records.find("ready/" + cell);
    if (record == view.records.end())
      continue;
    const auto ready = wire::DecodeCellReady(record->second.value);
    if (!ready)
      continue;
    for (const wire::server_ready& each : ready->servers) {
      if (std::ranges::find(each.units, unit) == each.units.end())
        continue;
      const auto found = std::ranges::find_if(servers, [&](const auto* row) {
        return decisions::HashUnit(row->name) == each.server;
      });
      if (found != servers.end())
        out.push_back(*found);
    }
  }
  return out;
}

std::optional<chosen_server> fallback_router::Choose(
    std::string_view strategy,
    const table::snapshot& table,
    const node::member_view& view,
    decisions::unit_hash unit,
    const std::vector<std::string>& avoid) {
  auto servers = ReadyServers(table, view, unit);
  std::erase_if(servers, [&](const table::row* each) {
    return std::ranges::find(avoid, each->name) != avoid.end();
  });
  if (servers.empty())
    return std::nullopt;
  std::uniform_int_distribution<std::size_t> any(0, servers.size() - 1);
  const table::row* chosen = servers[any(random_)];
  if (strategy == "round_robin")
    chosen = servers[next_index_++ % servers.size()];
  if (strategy == "two_choices") {
    const table::row* other = servers[any(random_)];
    if (in_flight_[other->name] < in_flight_[chosen->name])
      chosen = other;
  }
  ++in_flight_[chosen->name];
  return chosen_server{chosen->name, chosen->address, table::CellOf(*chosen)};
}

void fallback_router::EndAttempt(const std::string& server) {
  const auto found = in_flight_.find(server);
  if (found != in_flight_.end() && --found->second <= 0)
    in_flight_.erase(found);
}

}  // namespace valeledge::gateway
