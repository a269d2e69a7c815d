// SPDX-License-Identifier: MIT
// Requests to backend servers that have refused a request with the time for
// which they want no others.
#include <chrono>
#include <memory>
#include <string>

#include <boost/beast/http.hpp>
#include <boost/test/unit_test.hpp>

#include "relay_world.h"

namespace {

using namespace valeledge;
using namespace valeledge::test;
using namespace std::chrono_literals;
namespace http = boost::beast::http;

std::string Refusal(const std::string& seconds) {
  return "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n"
         "X-Request-Id: $ID\r\nRetry-After: " +
         seconds + "\r\nContent-Length: 0\r\n\r\n";
}

// Two servers, the first of which has refused a request for `seconds`.
struct backoff_world : relay_world {
  explicit backoff_world(const std::string& seconds) {
    AddServer("i-1", first.address());
    first.script = {{Refusal(seconds)}, {kWholeResponse}};
    SendRequest("/once/");
    AddServer("i-2", second.address());
    // A full server is also avoided for a short time, whatever it states.
    server().trust = {};
  }

  host::known_server& server() { return *core->servers.Find("i-1"); }
  void SendMany() {
    for (int i = 0; i < 10; ++i)
      BOOST_TEST(SendRequest("/once/").status == 200);
  }
};

BOOST_AUTO_TEST_SUITE(server_backoff)

BOOST_AUTO_TEST_CASE(a_server_gets_no_requests_until_its_backoff_ends) {
  backoff_world here("60");
  here.SendMany();
  BOOST_TEST(here.first.requests.size() == 1u);
  BOOST_TEST(here.second.requests.size() == 10u);
}

BOOST_AUTO_TEST_CASE(a_refusal_of_a_request_that_ran_counts_as_well) {
  relay_world here;
  here.AddServer("i-1", here.first.address());
  here.first.script = {
      {"HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: $ID\r\n"
       "X-Server-Stamp: s\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n"},
      {kWholeResponse}};
  BOOST_TEST(here.SendRequest("/once/").status == 502);
  here.core->servers.Find("i-1")->trust = {};
  here.AddServer("i-2", here.second.address());
  for (int i = 0; i < 10; ++i)
    here.SendRequest("/once/");
  BOOST_TEST(here.first.requests.size() == 1u);
}

BOOST_AUTO_TEST_CASE(neither_failures_nor_probes_end_a_backoff) {
  backoff_world here("60");
  const auto now = std::chrono::steady_clock::now();
  decisions::RecordFailure(here.server().trust, true, now - 10s, now - 10s);
  here.SendMany();
  here.server().trust.probing = true;
  here.server().trust.probing = false;
  decisions::RecordResponse(here.server().trust, 1ms, 1ms);
  here.AddServer("i-1", here.first.address());
  here.SendMany();
  BOOST_TEST(here.first.requests.size() == 1u);
}

// Another host allocates the slots, and was not asked for a backoff.
BOOST_AUTO_TEST_CASE(an_allocated_slot_at_such_a_server_is_returned) {
  backoff_world here("60");
  int unused = 0;
  here.core->acquire_slot = [&](host::slot_request request)
      -> boost::asio::awaitable<
          base::result<std::shared_ptr<host::slot_handle>>> {
    BOOST_TEST(request.avoid.size() == 1u);
    co_return std::make_shared<host::slot_handle>(
        "i-1", [&unused](host::slot_outcome how, std::chrono::microseconds) {
          unused += how == host::slot_outcome::kUnused ? 1 : 0;
        });
  };
  BOOST_TEST(here.SendRequest("/once/").status == 200);
  BOOST_TEST(here.first.requests.size() == 1u);
  BOOST_TEST(unused == 1);
}

BOOST_AUTO_TEST_CASE(without_another_server_callers_are_refused_at_once) {
  relay_world here;
  here.AddServer("i-1", here.first.address());
  // The pause is longer than the objective.
  for (catalog::route& each : here.configuration.routes)
    each.objective = 400ms;
  here.first.script = {{Refusal("0.5")}};
  here.SendRequest("/once/");
  here.core->servers.Find("i-1")->trust = {};
  const auto ends = here.core->servers.Find("i-1")->notices.backoff_until;
  const auto start = std::chrono::steady_clock::now();
  const received_response refused = here.SendRequest("/once/");
  BOOST_TEST((std::chrono::steady_clock::now() - start < 150ms));
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(refused.body.find("2015") != std::string::npos);
  const auto after = std::chrono::duration<double>(
      std::stod(std::string(refused.fields[http::field::retry_after])));
  BOOST_TEST((std::chrono::steady_clock::now() + after >= ends - 50ms));
  BOOST_TEST(here.first.requests.size() == 1u);
}

BOOST_AUTO_TEST_CASE(a_backoff_that_ends_in_time_is_waited_for) {
  relay_world here;
  here.AddServer("i-1", here.first.address());
  here.first.script = {{Refusal("0.1")}, {kWholeResponse}};
  here.SendRequest("/once/");
  const auto start = std::chrono::steady_clock::now();
  BOOST_TEST(here.SendRequest("/once/").status == 200);
  BOOST_TEST((std::chrono::steady_clock::now() - start > 50ms));
}

BOOST_AUTO_TEST_CASE(a_refusal_without_a_time_is_no_backoff) {
  for (const char* seconds : {"soon", "-3", "0"}) {
    backoff_world here(seconds);
    const auto deadline = std::chrono::steady_clock::now() + 10s;
    while (here.first.requests.size() < 2u &&
           std::chrono::steady_clock::now() < deadline)
      here.SendRequest("/once/");
    BOOST_TEST(here.first.requests.size() >= 2u);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
