// SPDX-License-Identifier: MIT
#include <set>

#include <boost/test/unit_test.hpp>

#include "decisions/routing.h"

namespace {

using namespace valeledge;
using namespace valeledge::decisions;

server_view Server(const std::string& name, std::int64_t in_flight) {
  server_view each;
  each.name = name;
  each.ready = {1};
  each.slots = 10;
  each.in_flight = in_flight;
  return each;
}

}  // namespace

BOOST_AUTO_TEST_CASE(the_least_loaded_ready_server_is_chosen) {
  std::mt19937_64 random(1);
  std::vector<server_view> servers = {Server("a", 3), Server("b", 1),
                                      Server("c", 0), Server("d", 0)};
  servers[2].ready = {2};
  servers[3].leaving = true;
  BOOST_TEST(*ChooseServer(servers, {1, 0, {}}, random) == 1U);
  const std::vector<std::string> avoid = {"b"};
  BOOST_TEST(*ChooseServer(servers, {1, 0, avoid}, random) == 0U);
  BOOST_TEST(!ChooseServer(servers, {9, 0, {}}, random).has_value());
  servers[0].in_flight = 10;
  servers[1].external_in_flight = 9;
  BOOST_TEST(!ChooseServer(servers, {1, 0, {}}, random).has_value());
  BOOST_TEST(AnyReady(servers, 1));
}

BOOST_AUTO_TEST_CASE(
    servers_that_failed_are_tried_again_if_there_are_no_others) {
  std::mt19937_64 random(1);
  const std::vector<server_view> servers = {Server("a", 3), Server("b", 10)};
  const std::vector<std::string> first = {"a"};
  // The other server is busy but available, so the request waits for it.
  BOOST_TEST(!ChooseServer(servers, {1, 0, first}, random).has_value());
  const std::vector<std::string> both = {"a", "b"};
  BOOST_TEST(*ChooseServer(servers, {1, 0, both}, random) == 0U);
}

BOOST_AUTO_TEST_CASE(equal_servers_share_the_requests) {
  std::mt19937_64 random(2);
  const std::vector<server_view> servers = {Server("a", 0), Server("b", 0),
                                            Server("c", 0)};
  std::set<std::size_t> used;
  for (int i = 0; i < 100; ++i)
    used.insert(*ChooseServer(servers, {1, 0, {}}, random));
  BOOST_TEST(used.size() == 3U);
}

BOOST_AUTO_TEST_CASE(a_prefix_is_preferred_until_its_server_is_overloaded) {
  std::mt19937_64 random(3);
  std::vector<server_view> servers = {Server("a", 2), Server("b", 2)};
  RecordPrefix(servers[0].prefixes, 77, {});
  BOOST_TEST(*ChooseServer(servers, {1, 77, {}}, random) == 0U);
  servers[0].in_flight = 8;
  BOOST_TEST(*ChooseServer(servers, {1, 77, {}}, random) == 1U);
}

BOOST_AUTO_TEST_CASE(the_prefix_history_is_bounded) {
  prefix_history history;
  for (std::int64_t i = 1; i <= 200; ++i) {
    RecordPrefix(history, i, base::time_point(std::chrono::seconds(i)));
  }
  BOOST_TEST(history.entries.size() == kMaxPrefixes);
  BOOST_TEST(HasPrefix(history, 200));
  BOOST_TEST(!HasPrefix(history, 1));
}

BOOST_AUTO_TEST_CASE(the_local_zone_is_preferred_while_it_has_capacity) {
  std::mt19937_64 random(4);
  std::vector<cell_view> cells = {{"a1", "a", 0, 5, 10}, {"b1", "b", 0, 0, 10}};
  for (int i = 0; i < 50; ++i)
    BOOST_TEST(*ChooseCell(cells, "a", random) == 0U);
  cells[0].in_flight = 10;
  cells[0].queued = 10;
  int other_zone = 0;
  for (int i = 0; i < 100; ++i)
    other_zone += *ChooseCell(cells, "a", random) == 1U ? 1 : 0;
  BOOST_TEST(other_zone > 60);
  BOOST_TEST(!ChooseCell({}, "a", random).has_value());
}
