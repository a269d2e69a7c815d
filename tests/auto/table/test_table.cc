// SPDX-License-Identifier: MIT
#include <boost/test/unit_test.hpp>

#include "table/columns.h"
#include "table/csv.h"
#include "table/snapshot.h"
#include "table/table_store.h"
#include "table/validation.h"

namespace {

using namespace valeledge::table;
namespace wire = valeledge::wire;

row Partner(const std::string& name) {
  row out;
  out.kind = row_kind::kPartner;
  out.name = name;
  return out;
}

row Model(const std::string& name, std::int64_t memory) {
  row out;
  out.kind = row_kind::kModel;
  out.name = name;
  out.partner = "p";
  out.memory_mb = memory;
  return out;
}

row Server(const std::string& name, std::int64_t memory) {
  row out;
  out.kind = row_kind::kServer;
  out.name = name;
  out.zone = "a";
  out.memory_mb = memory;
  out.address = "127.0.0.1:" + std::to_string(1000 + name.back());
  return out;
}

snapshot Table(const std::vector<row>& rows) {
  snapshot out;
  out.revision = 1;
  for (const row& each : rows)
    out.rows[KeyOf(each)] = {each, 1, false};
  out.BuildIndexes();
  return out;
}

wire::table_delta Delta(std::int64_t revision, const std::vector<row>& rows) {
  snapshot table = Table(rows);
  table.revision = revision;
  for (auto& [key, each] : table.rows)
    each.revision = revision;
  return DeltaSince(table, 0);
}

}  // namespace

BOOST_AUTO_TEST_CASE(rows_survive_csv_and_json) {
  row server = Server("s1", 900);
  server.cell = "cell-1";
  server.fencing = true;
  const std::vector<row> rows = {Partner("p"), Model("m", 3), server};
  const auto read = FromCsv(ToCsv(rows));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(ToCsv(*read) == ToCsv(rows));
  const auto again = RowFromJson(ToJson(server));
  BOOST_REQUIRE(again.has_value());
  BOOST_TEST(boost::json::serialize(ToJson(*again)) ==
             boost::json::serialize(ToJson(server)));
}

BOOST_AUTO_TEST_CASE(csv_of_a_spreadsheet_is_read) {
  const auto read =
      FromCsv("\xEF\xBB\xBFkind,name,weight\r\npartner,\"choirs\",2.5\r\n\r\n");
  BOOST_REQUIRE(read.has_value());
  BOOST_REQUIRE(read->size() == 1U);
  BOOST_TEST(read->front().weight == 2.5);
}

BOOST_AUTO_TEST_CASE(wrong_cells_name_line_and_column) {
  const auto read = FromCsv("kind,name,weight\npartner,p,heavy\n");
  BOOST_REQUIRE(!read.has_value());
  BOOST_TEST(read.error().message.find("line 2") != std::string::npos);
  BOOST_TEST(read.error().message.find("weight") != std::string::npos);
  for (const char* wrong :
       {"kind,name\nking,x\n", "kind,name\nmodel,\n",
        "kind,name,slots\nmodel,m,3\n", "", "kind,name\nmodel,a/b\n"})
    BOOST_TEST(!FromCsv(wrong).value_or(std::vector<row>()).size(), wrong);
}

BOOST_AUTO_TEST_CASE(a_store_never_goes_back) {
  table_store store;
  BOOST_TEST(
      (store.Apply(Delta(2, {Partner("p")}), 0) == apply_result::kApplied));
  BOOST_TEST(
      (store.Apply(Delta(1, {Partner("q")}), 0) == apply_result::kNotNewer));
  BOOST_TEST(
      (store.Apply(Delta(9, {Partner("q")}), 5) == apply_result::kTooFarAhead));
  BOOST_TEST(store.Get()->revision == 2);
}

BOOST_AUTO_TEST_CASE(a_delta_brings_any_older_process_up_to_date) {
  table_store writer;
  writer.Apply(Delta(1, {Partner("p"), Partner("q")}), 0);
  table_store reader;
  reader.Apply(DeltaSince(*writer.Get(), 0), 0);
  snapshot next = *writer.Get();
  next.revision = 2;
  next.rows["partner/q"].deleted = true;
  next.rows["partner/q"].revision = 2;
  writer.Apply(DeltaSince(next, 1), 1);
  const auto delta = DeltaSince(*writer.Get(), 1);
  BOOST_TEST(delta.rows.size() == 1U);
  BOOST_TEST((reader.Apply(delta, 1) == apply_result::kApplied));
  BOOST_TEST(reader.Get()->Find(row_kind::kPartner, "q") == nullptr);
  BOOST_TEST(reader.Get()->Find(row_kind::kPartner, "p") != nullptr);
}

BOOST_AUTO_TEST_CASE(broken_rules_are_told) {
  const auto faults = [](const std::vector<row>& rows) {
    return CheckTable(Table(rows)).size();
  };
  BOOST_TEST(faults({Partner("p"), Model("m", 4), Server("s1", 10)}) == 0U);
  BOOST_TEST(faults({Model("m", 4), Server("s1", 10)}) == 1U);
  // It fits, but could not be swapped for another version.
  BOOST_TEST(faults({Partner("p"), Model("m", 6), Server("s1", 10)}) == 1U);
  BOOST_TEST(faults({Partner("p"), Model("m", 11), Server("s1", 10)}) == 1U);
  row same = Server("s1", 10);
  same.name = "s2";
  BOOST_TEST(faults({Partner("p"), Server("s1", 10), same}) == 1U);
}

BOOST_AUTO_TEST_CASE(near_names_are_offered) {
  const snapshot table =
      Table({Partner("p"), Model("season-draft", 1), Model("hints", 1)});
  const auto near = NearNames(table, row_kind::kModel, "seasn-draft");
  BOOST_REQUIRE(near.size() == 1U);
  BOOST_TEST(near.front() == "season-draft");
}
