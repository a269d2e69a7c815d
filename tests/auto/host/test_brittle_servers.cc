// SPDX-License-Identifier: MIT
// Requests to servers that fail if they have to reject too many.
#include <chrono>
#include <string>

#include <boost/test/unit_test.hpp>

#include "host/process/response_updates.h"
#include "relay_world.h"

namespace {

using namespace valeledge;
using namespace valeledge::test;

const std::string kBrittle = "Server-Brittle: 5\r\n";

std::string WithField(std::string response, const std::string& field) {
  return response.insert(response.find("Content-Length"), field);
}

// A server that states in its first response that it is brittle.
struct brittle_world : relay_world {
  brittle_world() {
    AddServer("i-1", first.address());
    first.script = {{WithField(kWholeResponse, kBrittle)}};
    SendRequest("/once/");
    core->server_full = [this](const host::known_server&) { ++announced; };
  }

  host::known_server& server() { return *core->servers.Find("i-1"); }

  int announced = 0;
};

BOOST_AUTO_TEST_SUITE(brittle_servers)

BOOST_AUTO_TEST_CASE(a_rejection_of_a_brittle_server_pauses_requests_to_it) {
  brittle_world here;
  here.first.script = {{WithField(kNotRunResponse, kBrittle)}};
  BOOST_TEST(here.SendRequest("/once/").status == 503);
  BOOST_TEST(here.announced == 1);
  for (int i = 0; i < 5; ++i)
    BOOST_TEST(here.SendRequest("/once/").status == 503);
  BOOST_TEST(here.first.requests.size() == 2u);
}

BOOST_AUTO_TEST_CASE(a_rejection_that_another_host_received_pauses_as_well) {
  brittle_world here;
  wire::full_server news;
  news.server = "i-1";
  news.rejections_per_second = 5;
  host::ApplyFullServer(*here.core, news);
  BOOST_TEST(here.SendRequest("/once/").status == 503);
  BOOST_TEST(here.first.requests.size() == 1u);
}

BOOST_AUTO_TEST_CASE(a_brittle_server_gets_no_request_beyond_its_slots) {
  brittle_world here;
  here.server().others.running = here.server().entry.slots - 1;
  BOOST_TEST(here.SendRequest("/once/").status == 503);
  BOOST_TEST(here.first.requests.size() == 1u);
  here.server().others.running = 0;
  BOOST_TEST(here.SendRequest("/once/").status == 200);
}

BOOST_AUTO_TEST_CASE(a_server_that_is_no_longer_brittle_is_used_as_before) {
  brittle_world here;
  here.first.script = {{kWholeResponse}};
  here.SendRequest("/once/");
  here.server().others.running = here.server().entry.slots;
  BOOST_TEST(here.SendRequest("/once/").status == 200);
  BOOST_TEST(here.announced == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
