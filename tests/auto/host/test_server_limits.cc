// SPDX-License-Identifier: MIT
// Rate limits that backend servers advertise, as a host sees them.
#include <string>

#include <boost/test/unit_test.hpp>

#include "relay_world.h"

namespace {

using namespace valeledge;
using namespace valeledge::test;

std::string WithLimit(const std::string& limit) {
  const std::string field = "Server-Limit: " + limit + "\r\n";
  std::string out = kWhole;
  return out.insert(out.find("Content-Length"), field);
}

BOOST_AUTO_TEST_SUITE(server_limits)

BOOST_AUTO_TEST_CASE(a_limit_is_known_until_a_response_lacks_it) {
  world here;
  here.AddServer("i-1", here.first.address());
  here.first.script = {{WithLimit("50")}, {WithLimit("few")}, {kWhole}};
  const auto server = here.core->servers.Find("i-1");
  const seen_answer seen = here.Ask("/once/");
  BOOST_TEST(seen.status == 200);
  BOOST_TEST(seen.fields["Server-Limit"] == "50");
  BOOST_REQUIRE(server->limit.has_value());
  BOOST_TEST(server->limit->rate == 50);
  here.Ask("/once/");
  BOOST_TEST(server->limit.has_value());
  BOOST_TEST(server->limit_unreadable);
  here.Ask("/once/");
  BOOST_TEST(!server->limit.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
