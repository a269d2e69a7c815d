// SPDX-License-Identifier: MIT
#include "table/snapshot.h"

#include <algorithm>
#include <numeric>

#include "base/json.h"
#include "table/columns.h"

namespace valeledge::table {

namespace {

// Names offered for a mistyped one, and how many letters may differ.
constexpr std::size_t kNearNames = 3;
constexpr std::size_t kNearDistance = 4;

std::size_t EditDistance(std::string_view left, std::string_view right) {
  std::vector<std::size_t> costs(right.size() + 1);
  std::iota(costs.begin(), costs.end(), std::size_t{0});
  for (std::size_t i = 1; i <= left.size(); ++i) {
    std::size_t diagonal = costs[0];
    costs[0] = i;
    for (std::size_t j = 1; j <= right.size(); ++j) {
      const std::size_t replaced =
          diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
      diagonal = costs[j];
      costs[j] = std::min({replaced, costs[j] + 1, costs[j - 1] + 1});
    }
  }
  return costs.back();
}

}  // namespace

const row* snapshot::Find(row_kind kind, std::string_view name) const {
  const std::string key = std::string(ToString(kind)) + "/" + std::string(name);
  const auto found = rows.find(key);
  if (found == rows.end() || found->second.deleted)
    return nullptr;
  return &found->second.value;
}

std::vector<const row*> snapshot::All(row_kind kind) const {
  std::vector<const row*> out;
  const std::string prefix = std::string(ToString(kind)) + "/";
  for (auto each = rows.lower_bound(prefix);
       each != rows.end() && each->first.starts_with(prefix); ++each) {
    if (!each->second.deleted)
      out.push_back(&each->second.value);
  }
  return out;
}

std::vector<row> snapshot::Rows() const {
  std::vector<row> out;
  for (const auto& [key, each] : rows) {
    if (!each.deleted)
      out.push_back(each.value);
  }
  return out;
}

void snapshot::BuildIndexes() {
  cells.clear();
  adapters.clear();
  for (const row* server : All(row_kind::kServer))
    cells[CellOf(*server)].push_back(server);
  for (const row* adapter : All(row_kind::kAdapter))
    adapters[adapter->base].push_back(adapter);
}

std::string EncodeStoredRow(const stored_row& value) {
  boost::json::object object;
  object["revision"] = value.revision;
  object["deleted"] = value.deleted;
  object["columns"] = ToJson(value.value);
  return boost::json::serialize(object);
}

base::result<stored_row> DecodeStoredRow(std::string_view text) {
  const auto object = base::ParseJsonObject(text);
  const boost::json::object* columns =
      object ? base::ObjectField(*object, "columns") : nullptr;
  if (columns == nullptr) {
    return base::NotRun(base::result_code::kTableInvalid,
                        "a stored row that cannot be read");
  }
  auto value = RowFromJson(*columns);
  if (!value)
    return tl::make_unexpected(value.error());
  return stored_row{std::move(*value), base::IntegerField(*object, "revision"),
                    base::BoolField(*object, "deleted")};
}

base::result<snapshot_pointer> ApplyDelta(const snapshot& old,
                                          const wire::table_delta& delta) {
  auto fresh = std::make_shared<snapshot>();
  fresh->rows = old.rows;
  fresh->revision = delta.revision;
  for (const wire::table_row& each : delta.rows) {
    auto decoded = DecodeStoredRow(each.json);
    if (!decoded)
      return tl::make_unexpected(decoded.error());
    fresh->rows[each.key] = std::move(*decoded);
  }
  fresh->BuildIndexes();
  return fresh;
}

wire::table_delta DeltaSince(const snapshot& from, std::int64_t since) {
  wire::table_delta delta;
  delta.revision = from.revision;
  for (const auto& [key, each] : from.rows) {
    if (each.revision <= since)
      continue;
    wire::table_row changed;
    changed.key = key;
    changed.revision = each.revision;
    changed.deleted = each.deleted;
    changed.json = EncodeStoredRow(each);
    delta.rows.push_back(std::move(changed));
  }
  return delta;
}

std::string CellOf(const row& server) {
  return server.cell.empty() ? server.zone : server.cell;
}

std::vector<std::string> NearNames(const snapshot& from,
                                   row_kind kind,
                                   std::string_view name) {
  std::vector<std::pair<std::size_t, std::string>> ranked;
  for (const row* each : from.All(kind))
    ranked.emplace_back(EditDistance(name, each->name), each->name);
  std::ranges::sort(ranked);
  std::vector<std::string> out;
  for (const auto& [distance, near] : ranked) {
    if (distance > kNearDistance || out.size() == kNearNames)
      break;
    out.push_back(near);
  }
  return out;
}

}  // namespace valeledge::table
