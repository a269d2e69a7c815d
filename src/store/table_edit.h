// SPDX-License-Identifier: MIT
// Operators' changes to the table: checked whole, ordered, never lost.
#ifndef VALELEDGE_STORE_TABLE_EDIT_H_
#define VALELEDGE_STORE_TABLE_EDIT_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "base/error.h"
#include "store/kv_client.h"
#include "table/snapshot.h"

namespace valeledge::store {

// What an operator wants done with one row.
struct row_edit {
  table::row_kind kind = table::row_kind::kModel;
  std::string name;
  bool remove = false;
  // Columns to set; the others keep their values (or defaults, if new).
  std::map<std::string, std::string> columns;
};

// Edits that are accepted or refused together.
struct table_change {
  // Names the change in the history; unique.
  std::string id;
  std::string author;
  std::vector<row_edit> edits;
  // The revision that the operator looked at; 0 to take what is there.
  std::int64_t seen_revision = 0;
};

// One accepted change, as the history keeps it.
struct history_entry {
  std::int64_t revision = 0;
  std::string change;
  std::string author;
  std::string time;
  // Each edited row's key with its JSON before and after.
  struct edited_row {
    std::string key;
    std::string before;
    std::string after;
  };
  std::vector<edited_row> edits;
};

// The whole table with the keys that an edit compares.
struct table_view {
  table::snapshot_pointer table;
  std::int64_t revision_key_modified = 0;
};

boost::asio::awaitable<base::result<table_view>> ViewTable(kv_client& service);

// Applies a change; its revision. Changes of other rows that came between are
// kept (the edit is rebased); a change of the same row after seen_revision
// is a kRevisionConflict that tells both values. An answer that was lost is
// settled by reading the history.
boost::asio::awaitable<base::result<std::int64_t>> ApplyChange(
    kv_client& service,
    table_change change);

// Accepted changes, newest last, at most `count`.
boost::asio::awaitable<base::result<std::vector<history_entry>>> ReadHistory(
    kv_client& service,
    std::size_t count);

}  // namespace valeledge::store

#endif  // VALELEDGE_STORE_TABLE_EDIT_H_
