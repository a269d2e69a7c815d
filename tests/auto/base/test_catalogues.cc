// SPDX-License-Identifier: MIT
// The pages of result codes and log events say what the code says.
#include <fstream>
#include <set>
#include <sstream>
#include <string>

#include <boost/test/unit_test.hpp>

#include "base/logging.h"
#include "base/result_code.h"

namespace {

using namespace valeledge::base;

std::set<std::string> TableRows(const std::string& page) {
  std::ifstream in(std::string(VALELEDGE_SOURCE_DIR) + "/docs/" + page);
  BOOST_REQUIRE_MESSAGE(in, "cannot read docs/" + page);
  std::set<std::string> rows;
  std::string line;
  while (std::getline(in, line)) {
    const bool numbered =
        line.size() > 2 && line[0] == '|' && std::isdigit(line[2]);
    const bool zero = line.starts_with("| 0 ");
    if (numbered || zero)
      BOOST_TEST(rows.insert(line).second, "twice in docs/" + page + line);
  }
  return rows;
}

void CompareBothWays(const std::set<std::string>& code,
                     const std::set<std::string>& page) {
  for (const std::string& row : code)
    BOOST_TEST(page.contains(row), "missing in the page: " + row);
  for (const std::string& row : page)
    BOOST_TEST(code.contains(row), "not in the code: " + row);
}

}  // namespace

BOOST_AUTO_TEST_CASE(result_codes_page_matches_the_code) {
  std::set<std::string> code;
  for (const result_code_entry& each : ResultCodes()) {
    std::ostringstream row;
    row << "| " << static_cast<int>(each.code) << " | " << each.name << " | "
        << each.http_status << " | " << each.advice << " |";
    code.insert(row.str());
  }
  CompareBothWays(code, TableRows("RESULT-CODES.md"));
}

BOOST_AUTO_TEST_CASE(log_events_page_matches_the_code) {
  std::set<std::string> code;
  for (const log_event_entry& each : LogEvents()) {
    std::ostringstream row;
    const auto level = spdlog::level::to_string_view(each.level);
    row << "| " << static_cast<int>(each.event) << " | " << each.name << " | "
        << std::string(level.data(), level.size()) << " | " << each.meaning
        << " |";
    code.insert(row.str());
  }
  CompareBothWays(code, TableRows("LOG-EVENTS.md"));
}

BOOST_AUTO_TEST_CASE(numbers_are_unique) {
  std::set<int> codes;
  for (const result_code_entry& each : ResultCodes())
    BOOST_TEST(codes.insert(static_cast<int>(each.code)).second);
  std::set<int> events;
  for (const log_event_entry& each : LogEvents())
    BOOST_TEST(events.insert(static_cast<int>(each.event)).second);
}
