// SPDX-License-Identifier: MIT
#include "scheduler/process/limit_shares.h"

#include <algorithm>
#include <set>
#include <vector>

#include "decisions/routing.h"
#include "wire/codec.h"

namespace valeledge::scheduler {

namespace {

using decisions::unit_hash;

bool HasLimit(const table::row& row) {
  return row.limit_requests != 0 || row.limit_tokens != 0;
}

// Returns the ready units of each cell in the table.
std::vector<std::set<unit_hash>> ReadyInCells(const table::snapshot& table,
                                              const node::member_view& view) {
  std::vector<std::set<unit_hash>> out;
  for (const auto& [cell, servers] : table.cells) {
    const auto record = view.records.find("ready/" + cell);
    const auto ready = record == view.records.end()
                           ? std::nullopt
                           : wire::DecodeCellReady(record->second.value);
    if (!ready)
      continue;
    std::set<unit_hash> units;
    for (const wire::server_ready& each : ready->servers)
      units.insert(each.units.begin(), each.units.end());
    out.push_back(std::move(units));
  }
  return out;
}

// Returns the units whose requests count against a row's limits.
std::vector<unit_hash> UnitsOf(const table::snapshot& table,
                               const table::row& row) {
  if (row.kind != table::row_kind::kPartner)
    return {decisions::HashUnit(table::KeyOf(row))};
  std::vector<unit_hash> out;
  for (const auto kind : {table::row_kind::kModel, table::row_kind::kService}) {
    for (const table::row* each : table.All(kind)) {
      if (each->partner == row.name)
        out.push_back(decisions::HashUnit(table::KeyOf(*each)));
    }
  }
  return out;
}

}  // namespace

std::map<std::string, double> LimitShares(const table::snapshot& table,
                                          const node::member_view& view) {
  std::map<std::string, double> out;
  std::vector<std::set<unit_hash>> cells;
  for (const auto kind : {table::row_kind::kPartner, table::row_kind::kModel,
                          table::row_kind::kService}) {
    for (const table::row* row : table.All(kind)) {
      if (!HasLimit(*row))
        continue;
      if (cells.empty())
        cells = ReadyInCells(table, view);
      const auto units = UnitsOf(table, *row);
      const auto serving = std::ranges::count_if(cells, [&](const auto& cell) {
        return std::ranges::any_of(
            units, [&](unit_hash unit) { return cell.contains(unit); });
      });
      out[table::KeyOf(*row)] =
          1.0 / static_cast<double>(std::max<std::int64_t>(serving, 1));
    }
  }
  return out;
}

}  // namespace valeledge::scheduler
