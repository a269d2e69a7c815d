// SPDX-License-Identifier: MIT
// The table as a CSV file that opens in a spreadsheet.
#ifndef VALELEDGE_TABLE_CSV_H_
#define VALELEDGE_TABLE_CSV_H_

#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "table/row.h"

namespace valeledge::table {

// A header line, then one line a row; columns a row does not have are empty.
std::string ToCsv(const std::vector<row>& rows);

// The rows of a CSV file with the same header; the order of the columns is
// free and columns may be missing. An error names the line.
base::result<std::vector<row>> FromCsv(std::string_view text);

}  // namespace valeledge::table

#endif  // VALELEDGE_TABLE_CSV_H_
