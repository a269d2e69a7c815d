// SPDX-License-Identifier: MIT
// What is taken as proof that a request has not run: only then may a request
// that runs at most once be sent again, or be answered as not run.
#include <chrono>
#include <string>

#include <boost/beast/http.hpp>
#include <boost/test/unit_test.hpp>

#include "relay_world.h"

namespace {

using namespace valeledge;
using namespace valeledge::test;
using connection_action = scripted_response::connection_action;

BOOST_AUTO_TEST_SUITE(not_run)

BOOST_AUTO_TEST_CASE(a_refusal_that_names_no_request_sends_it_to_no_other) {
  relay_world here;
  here.AddServer("i-1", here.first.address());
  here.first.script = {{kUnnamedRefusal + kWholeResponse}};
  const auto seen = here.SendRequestAddingServer("/once/");
  BOOST_TEST(here.first.requests.size() == 1u);
  BOOST_TEST(here.second.requests.empty());
  BOOST_TEST(seen.status == 502);
}

BOOST_AUTO_TEST_CASE(a_refusal_that_names_no_request_is_no_promise) {
  for (const std::string status : {"503 No", "429 No", "421 No"}) {
    for (const std::string name : {"", "X-Request-Id: other\r\n"}) {
      relay_world here;
      here.AddServer("i-1", here.first.address());
      here.first.script = {{"HTTP/1.1 " + status + "\r\nX-Not-Run: 1\r\n" +
                            name + "Content-Length: 0\r\n\r\n"}};
      BOOST_TEST(here.SendRequest("/once/").status == 502);
    }
  }
}

// A response that contradicts itself.
BOOST_AUTO_TEST_CASE(a_success_is_no_refusal) {
  relay_world here;
  here.AddServer("i-1", here.first.address());
  std::string success = kWholeResponse;
  success.insert(success.find("Content-Length"), "X-Not-Run: 1\r\n");
  here.first.script = {{success}};
  const auto seen = here.SendRequestAddingServer("/once/");
  BOOST_TEST(here.first.requests.size() == 1u);
  BOOST_TEST(here.second.requests.empty());
  BOOST_TEST(seen.status == 200);
}

// The second attempt was withheld, which says nothing about the first one.
BOOST_AUTO_TEST_CASE(a_request_that_may_have_run_is_not_answered_as_not_run) {
  relay_world here;
  here.AddServer("i-1", here.first.address());
  here.first.script = {{"", connection_action::kReset}};
  bool added = false;
  const auto seen = here.SendRequest("/safe/", [&](fake_responder&) {
    if (!added && !here.first.requests.empty()) {
      added = true;
      here.AddServer("i-2", here.second.address());
    }
    const auto second = here.core->servers.Find("i-2");
    if (second != nullptr && second->own.running > 0)
      second->notices.leaving_since = std::chrono::steady_clock::now();
  });
  BOOST_TEST(here.first.requests.size() == 1u);
  BOOST_TEST(here.second.requests.empty());
  BOOST_TEST(seen.status == 502);
  BOOST_TEST(seen.body.find("unknown") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
