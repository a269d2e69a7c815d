// SPDX-License-Identifier: MIT
#include "tools/ctl/output.h"

#include <algorithm>
#include <iostream>

#include <boost/json.hpp>

namespace valeledge::ctl {

namespace {

using base::result_code;

void PrintAligned(const listing& value) {
  std::vector<std::size_t> widths(value.header.size());
  const auto widen = [&](const std::vector<std::string>& fields) {
    for (std::size_t i = 0; i < fields.size(); ++i)
      widths[i] = std::max(widths[i], fields[i].size());
  };
  const auto print = [&](const std::vector<std::string>& fields) {
    std::string line;
    for (std::size_t i = 0; i < fields.size(); ++i) {
      line.append(fields[i]);
      if (i + 1 < fields.size())
        line.append(widths[i] - fields[i].size() + 2, ' ');
    }
    std::cout << line << "\n";
  };
  widen(value.header);
  std::ranges::for_each(value.rows, widen);
  print(value.header);
  std::ranges::for_each(value.rows, print);
}

void PrintCsvLine(const std::vector<std::string>& fields) {
  for (std::size_t i = 0; i < fields.size(); ++i) {
    std::string field = fields[i];
    if (field.find_first_of(",\"\n") != std::string::npos) {
      std::string quoted = "\"";
      for (const char each : field)
        quoted.append(each == '"' ? 2 : 1, each);
      field = quoted + "\"";
    }
    std::cout << (i == 0 ? "" : ",") << field;
  }
  std::cout << "\n";
}

void PrintJson(const listing& value) {
  boost::json::array rows;
  for (const auto& fields : value.rows) {
    boost::json::object row;
    for (std::size_t i = 0; i < fields.size(); ++i)
      row[value.header[i]] = fields[i];
    rows.push_back(std::move(row));
  }
  std::cout << boost::json::serialize(rows) << "\n";
}

}  // namespace

void Print(const listing& value, output_format format) {
  switch (format) {
    case output_format::kTable:
      PrintAligned(value);
      return;
    case output_format::kCsv:
      PrintCsvLine(value.header);
      std::ranges::for_each(value.rows, PrintCsvLine);
      return;
    case output_format::kJson:
      PrintJson(value);
      return;
  }
}

exit_status Report(const base::error& failed) {
  const base::result_code_entry& entry = base::Describe(failed.code);
  std::cerr << "error " << static_cast<int>(failed.code) << " (" << entry.name
            << "): " << failed.message << "\n"
            << entry.advice << "\n";
  switch (failed.code) {
    case result_code::kTableInvalid:
    case result_code::kRevisionConflict:
      return exit_status::kRefused;
    case result_code::kPlatformAnswerLost:
      return exit_status::kUnknown;
    default:
      return exit_status::kUnavailable;
  }
}

}  // namespace valeledge::ctl
