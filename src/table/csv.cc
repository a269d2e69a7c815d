// SPDX-License-Identifier: MIT
#include "table/csv.h"

#include <algorithm>

#include "table/columns.h"

namespace valeledge::table {

namespace {

using base::result_code;

std::vector<std::string> SplitFields(std::string_view line) {
  std::vector<std::string> fields(1);
  bool quoted = false;
  for (std::size_t i = 0; i < line.size(); ++i) {
    const char each = line[i];
    const bool doubled =
        quoted && each == '"' && i + 1 < line.size() && line[i + 1] == '"';
    if (doubled) {
      fields.back().push_back('"');
      ++i;
    } else if (each == '"') {
      quoted = !quoted;
    } else if (each == ',' && !quoted) {
      fields.emplace_back();
    } else {
      fields.back().push_back(each);
    }
  }
  return fields;
}

std::vector<std::string_view> SplitLines(std::string_view text) {
  // Spreadsheets put a byte order mark first.
  constexpr std::string_view kMark = "\xEF\xBB\xBF";
  if (text.starts_with(kMark))
    text.remove_prefix(kMark.size());
  std::vector<std::string_view> lines;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    std::string_view line = text.substr(0, end);
    if (line.ends_with('\r'))
      line.remove_suffix(1);
    lines.push_back(line);
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return lines;
}

base::result<row> RowFromFields(const std::vector<std::string>& header,
                                const std::vector<std::string>& fields) {
  if (fields.size() > header.size()) {
    return base::NotRun(result_code::kTableInvalid,
                        "more fields than the header has");
  }
  boost::json::object object;
  for (std::size_t i = 0; i < fields.size(); ++i) {
    if (!fields[i].empty())
      object[header[i]] = fields[i];
  }
  return RowFromJson(object);
}

}  // namespace

std::string ToCsv(const std::vector<row>& rows) {
  std::string out = "kind,name";
  for (const column& each : Columns())
    out.append(",").append(each.name);
  out.append("\n");
  for (const row& value : rows) {
    out.append(ToString(value.kind)).append(",").append(value.name);
    for (const column& each : Columns()) {
      out.append(",");
      if (HasColumn(value.kind, each))
        out.append(each.get(value));
    }
    out.append("\n");
  }
  return out;
}

base::result<std::vector<row>> FromCsv(std::string_view text) {
  const std::vector<std::string_view> lines = SplitLines(text);
  if (lines.empty())
    return base::NotRun(result_code::kTableInvalid, "an empty file");
  const std::vector<std::string> header = SplitFields(lines.front());
  std::vector<row> rows;
  for (std::size_t i = 1; i < lines.size(); ++i) {
    if (lines[i].empty())
      continue;
    auto value = RowFromFields(header, SplitFields(lines[i]));
    if (!value) {
      return base::NotRun(
          result_code::kTableInvalid,
          "line " + std::to_string(i + 1) + ": " + value.error().message);
    }
    rows.push_back(std::move(*value));
  }
  return rows;
}

}  // namespace valeledge::table
