// SPDX-License-Identifier: MIT
// The whole table at one revision; never changed once made.
#ifndef VALELEDGE_TABLE_SNAPSHOT_H_
#define VALELEDGE_TABLE_SNAPSHOT_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "table/row.h"
#include "wire/generated/messages_types.h"

namespace valeledge::table {

// A row as the platform's service keeps it. Deleted rows stay as tombstones
// so that deltas carry deletions.
struct stored_row {
  row value;
  // The table revision that last changed the row.
  std::int64_t revision = 0;
  bool deleted = false;
};

// The table at one revision, with the look-ups that requests need.
struct snapshot {
  std::int64_t revision = 0;
  std::map<std::string, stored_row, std::less<>> rows;

  // The live row of this kind and name; null if there is none.
  const row* Find(row_kind kind, std::string_view name) const;
  // All live rows of a kind, in the order of their names.
  std::vector<const row*> All(row_kind kind) const;
  // All live rows in the order of their keys.
  std::vector<row> Rows() const;
  // Names of the backend servers of each cell; of each service.
  std::map<std::string, std::vector<const row*>, std::less<>> cells;
  // Adapters of each model.
  std::map<std::string, std::vector<const row*>, std::less<>> adapters;

  // Fills the look-ups from the rows. Called once, by whoever makes it.
  void BuildIndexes();
};

using snapshot_pointer = std::shared_ptr<const snapshot>;

// The JSON that the platform's service keeps for a row.
std::string EncodeStoredRow(const stored_row& value);
base::result<stored_row> DecodeStoredRow(std::string_view text);

// `old` with a delta applied: the delta holds every row changed after
// old.revision. An error leaves nothing applied.
base::result<snapshot_pointer> ApplyDelta(const snapshot& old,
                                          const wire::table_delta& delta);

// Every row changed after `since`.
wire::table_delta DeltaSince(const snapshot& from, std::int64_t since);

// The cell of a backend server's row: its column, or its availability zone.
std::string CellOf(const row& server);

// Names close to `name` among rows of a kind, for a person's mistake.
std::vector<std::string> NearNames(const snapshot& from,
                                   row_kind kind,
                                   std::string_view name);

}  // namespace valeledge::table

#endif  // VALELEDGE_TABLE_SNAPSHOT_H_
