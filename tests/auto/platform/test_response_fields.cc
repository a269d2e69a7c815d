// SPDX-License-Identifier: MIT
// The page of response fields says what the code reads.
#include <fstream>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace {

struct field_row {
  std::string name;
  // Empty if the field is not read.
  std::string file;
};

std::string ReadFile(const std::string& path) {
  std::ifstream in(std::string(VALELEDGE_SOURCE_DIR) + "/" + path);
  BOOST_REQUIRE_MESSAGE(in, "cannot read " + path);
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

// The text between the first pair of backquotes; empty if there is none.
std::string Quoted(const std::string& text) {
  const std::size_t begin = text.find('`');
  const std::size_t end = text.find('`', begin + 1);
  return end == std::string::npos ? ""
                                  : text.substr(begin + 1, end - begin - 1);
}

std::vector<field_row> Rows() {
  std::istringstream in(ReadFile("docs/design/RESPONSE-FIELDS.md"));
  std::vector<field_row> rows;
  std::string line;
  while (std::getline(in, line)) {
    if (!line.starts_with("| `"))
      continue;
    std::istringstream columns(line);
    std::string skipped;
    std::string name;
    std::string where;
    std::string reader;
    std::getline(columns, skipped, '|');
    std::getline(columns, name, '|');
    std::getline(columns, where, '|');
    std::getline(columns, reader, '|');
    rows.push_back({Quoted(name), Quoted(reader)});
  }
  return rows;
}

// Name of the field in code: a literal, or the constant of the HTTP library.
bool Mentions(const std::string& code, const std::string& name) {
  std::string constant = "field::";
  for (const char each : name)
    constant += each == '-' ? '_' : static_cast<char>(std::tolower(each));
  return code.find('"' + name + '"') != std::string::npos ||
         code.find(constant) != std::string::npos;
}

BOOST_AUTO_TEST_SUITE(response_fields)

BOOST_AUTO_TEST_CASE(each_field_is_read_where_the_page_says_so) {
  const std::string adapter = ReadFile("platform/wire_names.h") +
                              ReadFile("platform/request_codec.cc") +
                              ReadFile("platform/catalog_codec.cc");
  const std::vector<field_row> rows = Rows();
  BOOST_TEST(rows.size() > 30u);
  for (const field_row& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      if (row.file.empty())
        BOOST_TEST(!Mentions(adapter, row.name));
      else
        BOOST_TEST(Mentions(ReadFile(row.file), row.name));
    }
  }
}

BOOST_AUTO_TEST_CASE(the_page_lists_each_header_field_that_is_read) {
  std::set<std::string> listed;
  for (const field_row& row : Rows())
    listed.insert(row.name);
  const std::string names = ReadFile("platform/wire_names.h");
  const std::string codec = ReadFile("platform/request_codec.cc");
  const std::size_t begin = codec.find("void ReadLimit(");
  const std::size_t end = codec.find("ReadEventId(");
  BOOST_REQUIRE(begin < end);
  const std::string reading = codec.substr(begin, end - begin);
  std::istringstream in(names);
  std::string line;
  while (std::getline(in, line)) {
    const std::size_t at = line.find(" k");
    if (!line.starts_with("inline constexpr std::string_view"))
      continue;
    const std::string constant =
        line.substr(at + 1, line.find(' ', at + 1) - at - 1);
    const std::size_t quote = line.find('"');
    const std::string name =
        line.substr(quote + 1, line.rfind('"') - quote - 1);
    if (reading.find(constant) != std::string::npos)
      BOOST_TEST(listed.contains(name), name << " is missing in the page");
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
