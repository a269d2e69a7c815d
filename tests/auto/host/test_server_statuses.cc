// SPDX-License-Identifier: MIT
// Responses of servers that have run a request and failed it: what their
// statuses tell callers, other hosts and the selection of servers.
#include <chrono>
#include <string>
#include <vector>

#include <boost/beast/http.hpp>
#include <boost/test/unit_test.hpp>

#include "lost_world.h"

namespace {

using namespace valeledge;
using namespace valeledge::test;
namespace http = boost::beast::http;

// A server's own response to a request that it has run.
std::string FailureOf(int status, const std::string& fields = "") {
  return "HTTP/1.1 " + std::to_string(status) +
         " Failed\r\nX-Request-Id: $ID\r\nX-Server-Stamp: s\r\n" + fields +
         "Content-Length: 4\r\n\r\noops";
}

const std::vector<std::string> kPaths = {"/once/", "/safe/", "/stream/",
                                         "/resumed/"};

BOOST_AUTO_TEST_SUITE(server_statuses)

// Callers send a request again after a promise that it has not run.
BOOST_AUTO_TEST_CASE(a_request_that_a_server_has_run_is_not_refused) {
  for (const int status : {408, 429, 503}) {
    for (const std::string& path : kPaths) {
      BOOST_TEST_CONTEXT(path << " " << status) {
        relay_world here;
        here.AddServer("i-1", here.first.address());
        here.first.script = {{FailureOf(status)}};
        const auto seen = here.SendRequest(path);
        BOOST_TEST(seen.status == 502);
        BOOST_TEST(seen.fields["X-Server-Stamp"].empty());
        BOOST_TEST(seen.body.find("unknown") != std::string::npos);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(a_failed_request_that_runs_at_most_once_is_not_repeated) {
  for (const int status : {408, 425, 429, 500, 503}) {
    relay_world here;
    here.AddServer("i-1", here.first.address());
    here.first.script = {{FailureOf(status)}};
    here.SendRequestAddingServer("/once/");
    BOOST_TEST(here.first.requests.size() == 1u);
    BOOST_TEST(here.second.requests.empty());
  }
}

BOOST_AUTO_TEST_CASE(a_failed_request_that_may_be_repeated_is_sent_again) {
  for (const int status : {408, 425, 429, 503, 504}) {
    relay_world here;
    here.AddServer("i-1", here.first.address());
    here.first.script = {{FailureOf(status)}};
    BOOST_TEST(here.SendRequestAddingServer("/safe/").status == 200);
    BOOST_TEST(here.second.requests.size() == 1u);
  }
}

BOOST_AUTO_TEST_CASE(statuses_that_promise_nothing_are_passed_on) {
  for (const int status : {400, 404, 409, 425, 500, 502, 504}) {
    for (const std::string& path : kPaths) {
      relay_world here;
      here.AddServer("i-1", here.first.address());
      here.first.script = {{FailureOf(status)}};
      const auto seen = here.SendRequest(path);
      BOOST_TEST(seen.status == status);
      BOOST_TEST(seen.fields["X-Server-Stamp"] == "s");
      BOOST_TEST(seen.body == "oops");
    }
  }
}

// The caller may repeat the request, and the server says when.
BOOST_AUTO_TEST_CASE(
    a_retry_after_is_passed_on_if_the_request_may_be_repeated) {
  for (const std::string path : {"/once/", "/safe/"}) {
    relay_world here;
    here.AddServer("i-1", here.first.address());
    here.first.script = {{FailureOf(503, "Retry-After: 1\r\n")}};
    const auto seen = here.SendRequest(path);
    BOOST_TEST(seen.fields[http::field::retry_after] ==
               (path == "/safe/" ? "1.000" : ""));
  }
}

BOOST_AUTO_TEST_CASE(a_failure_below_500_is_no_good_response_of_its_server) {
  for (const int status : {408, 425, 429, 500}) {
    relay_world here;
    here.AddServer("i-1", here.first.address());
    here.first.script = {{FailureOf(status)}};
    here.SendRequest("/once/");
    BOOST_TEST(here.core->servers.Find("i-1")->trust.failure_rate > 0);
  }
  relay_world here;
  here.AddServer("i-1", here.first.address());
  here.first.script = {{FailureOf(404)}};
  here.SendRequest("/once/");
  BOOST_TEST(here.core->servers.Find("i-1")->trust.failure_rate == 0);
}

BOOST_AUTO_TEST_CASE(a_relayed_request_that_a_server_has_run_is_not_refused) {
  for (const std::string& path : kPaths) {
    lost_world here;
    here.other.first.script = {{FailureOf(503)}};
    here.other.second.script = {{FailureOf(503)}};
    const auto seen = here.cut.SendRequest(path);
    BOOST_TEST(here.ServerRequests() > 0u);
    BOOST_TEST(seen.status == 502);
    BOOST_TEST(seen.body.find("unknown") != std::string::npos);
  }
}

// A host of an earlier version passes on what its server responded.
BOOST_AUTO_TEST_CASE(a_promise_that_another_host_passes_on_is_no_promise) {
  for (const std::string& path : kPaths) {
    lost_world here;
    int relayed = 0;
    net::http_server earlier{
        *here.loop,
        {},
        [&relayed](net::http_request& request, net::http_responder& responder)
            -> boost::asio::awaitable<void> {
          ++relayed;
          auto response = net::MakeJsonResponse(503, "{}");
          response.set("X-Server-Stamp", "s");
          response.set("X-Request-Id", request["X-Request-Id"]);
          co_await responder.Send(std::move(response));
        },
        [](const base::error&) { return net::http_response(); }};
    here.relay_port = earlier.Start({"127.0.0.1", 0})->port;
    BOOST_TEST(here.cut.SendRequest(path).status == 502);
    BOOST_TEST(relayed == 1);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
