// SPDX-License-Identifier: MIT
// Limits are divided among the cells that can serve.
#include <boost/test/unit_test.hpp>

#include "decisions/routing.h"
#include "scheduler/process/limit_shares.h"
#include "wire/codec.h"

namespace {

using namespace valeledge;
using scheduler::LimitShares;

table::row Row(table::row_kind kind, const char* name) {
  table::row out;
  out.kind = kind;
  out.name = name;
  out.partner = "p";
  out.limit_requests = 10;
  return out;
}

table::snapshot Table() {
  table::snapshot out;
  const auto add = [&](const table::row& row) {
    out.rows[table::KeyOf(row)] = {row, 1, false};
  };
  add(Row(table::row_kind::kPartner, "p"));
  add(Row(table::row_kind::kModel, "m"));
  add(Row(table::row_kind::kModel, "n"));
  table::row free = Row(table::row_kind::kModel, "free");
  free.limit_requests = 0;
  add(free);
  add(Row(table::row_kind::kService, "booking"));
  for (const char* cell : {"a", "b", "c", "desk"}) {
    table::row server = Row(table::row_kind::kServer, cell);
    server.zone = "z";
    server.cell = cell;
    add(server);
  }
  out.BuildIndexes();
  return out;
}

void SetReady(node::member_view& view,
              const std::string& cell,
              const std::vector<std::string>& units) {
  wire::server_ready server;
  for (const std::string& unit : units)
    server.units.push_back(decisions::HashUnit(unit));
  wire::cell_ready ready;
  ready.servers.push_back(server);
  membership::soft_record record;
  record.key = "ready/" + cell;
  record.value = wire::Encode(ready);
  view.records[record.key] = record;
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_limit_is_divided_among_the_cells_that_can_serve_it) {
  // Guards against dividing a limit among all cells, which leaves a service in
  // one of four cells with a quarter of its limit.
  node::member_view view;
  SetReady(view, "a", {"model/m", "model/n"});
  SetReady(view, "b", {"model/m"});
  SetReady(view, "desk", {"service/booking"});
  const auto shares = LimitShares(Table(), view);
  BOOST_TEST(shares.at("model/m") == 0.5);
  BOOST_TEST(shares.at("model/n") == 1.0);
  BOOST_TEST(shares.at("service/booking") == 1.0);
  BOOST_TEST(shares.at("partner/p") == 1.0 / 3);
  BOOST_TEST(!shares.contains("model/free"));
}

BOOST_AUTO_TEST_CASE(a_row_that_is_ready_nowhere_keeps_its_limit) {
  BOOST_TEST(LimitShares(Table(), {}).at("model/m") == 1.0);
}
