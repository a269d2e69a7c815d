// SPDX-License-Identifier: MIT
// The columns of the operators' table: names, who has them, how they read.
#ifndef VALELEDGE_TABLE_COLUMNS_H_
#define VALELEDGE_TABLE_COLUMNS_H_

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json.hpp>

#include "base/error.h"
#include "table/row.h"

namespace valeledge::table {

// One column, read and written as text.
struct column {
  std::string_view name;
  std::vector<row_kind> kinds;
  std::function<std::string(const row&)> get;
  // False if the text is not a value of this column.
  std::function<bool(row&, std::string_view)> set;
  std::string_view allowed;
};

// All columns but kind and name, in the order of the CSV file.
std::span<const column> Columns();

// The column with this name; null if there is none.
const column* FindColumn(std::string_view name);

// Whether rows of this kind have the column.
bool HasColumn(row_kind kind, const column& each);

// Sets one column from text; an error names the column and what it allows.
base::result<void> SetColumn(row& target,
                             std::string_view name,
                             std::string_view text);

// The row's columns as a JSON object of texts, and back.
boost::json::object ToJson(const row& value);
base::result<row> RowFromJson(const boost::json::object& object);

}  // namespace valeledge::table

#endif  // VALELEDGE_TABLE_COLUMNS_H_
