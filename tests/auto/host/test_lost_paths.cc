// SPDX-License-Identifier: MIT
// A host that reaches no backend server, and another one that does.
#include <chrono>
#include <memory>
#include <string>
#include <utility>

#include <boost/beast/http.hpp>
#include <boost/test/unit_test.hpp>

#include "host/constants.h"
#include "host/request/failure_response.h"
#include "host/request/peer_relay.h"
#include "host/request/request_digest.h"
#include "net/http_server.h"
#include "charged_world.h"
#include "lost_world.h"

namespace {

using namespace valeledge;
using namespace valeledge::test;
using namespace std::chrono_literals;
namespace http = boost::beast::http;

BOOST_AUTO_TEST_SUITE(lost_paths)

BOOST_AUTO_TEST_CASE(a_request_of_a_cut_host_is_served_through_another_host) {
  lost_world here;
  const auto seen = here.cut.SendRequest("/once/");
  BOOST_TEST(seen.status == 200);
  BOOST_TEST(seen.body == "hello");
  BOOST_TEST(here.ServerRequests() == 1u);
  BOOST_TEST(here.cut_paths.IsLost("s"));
}

// The host that received a request has charged it, and gets the charge back if
// the other host says that the request did not run.
BOOST_AUTO_TEST_CASE(a_relayed_request_that_did_not_run_is_not_charged) {
  lost_world here;
  charge_log cut_charges;
  charge_log other_charges;
  AddChargedWorkspace(here.cut, cut_charges);
  AddChargedWorkspace(here.other, other_charges);
  here.other.core->configuration =
      std::make_shared<const catalog::configuration>(here.other.configuration);
  here.other.first.script = {{kNotRunResponse}};
  here.other.second.script = {{kNotRunResponse}};
  BOOST_TEST(here.cut.SendRequest("/once/").status == 503);
  BOOST_TEST(here.ServerRequests() >= 1u);
  BOOST_TEST(cut_charges.IsRefunded());
  BOOST_TEST(other_charges.acquired.empty());
  BOOST_TEST(other_charges.released.empty());
  here.other.first.script = {{kWholeResponse}};
  here.other.second.script = {{kWholeResponse}};
  BOOST_TEST(here.cut.SendRequest("/once/").status == 200);
  BOOST_TEST(cut_charges.acquired.size() == 2u);
  BOOST_TEST(cut_charges.released.size() == 1u);
}

BOOST_AUTO_TEST_CASE(the_server_gets_the_request_of_the_caller) {
  lost_world here;
  here.cut.SendRequest("/once/");
  const auto& requests = here.other.first.requests.empty()
                             ? here.other.second.requests
                             : here.other.first.requests;
  BOOST_REQUIRE(requests.size() == 1u);
  const net::http_request& got = requests.front();
  BOOST_TEST(got.target() == "/once/x?q=1");
  BOOST_TEST(got.body() == "body");
  BOOST_TEST(got["X-Other"] == "kept");
  BOOST_TEST(got["Host"] == "a.example");
  for (const auto& field : got)
    BOOST_TEST(!field.name_string().starts_with("Valeledge-"));
}

BOOST_AUTO_TEST_CASE(the_caller_gets_no_fields_of_hosts) {
  lost_world here;
  const auto seen = here.cut.SendRequest("/once/");
  BOOST_TEST(seen.fields["X-Server-Stamp"] == "s");
  for (const auto& field : seen.fields)
    BOOST_TEST(!field.name_string().starts_with("Valeledge-"));
}

BOOST_AUTO_TEST_CASE(a_stream_is_relayed_event_by_event) {
  lost_world here;
  for (auto* server : {&here.other.first, &here.other.second}) {
    server->script = {
        {kStreamHeader + Chunk(Event(1)) + Chunk(Event(2)) + "0\r\n\r\n"}};
  }
  const auto seen = here.cut.SendRequest("/stream/");
  BOOST_TEST(seen.status == 200);
  BOOST_TEST(seen.body == Event(1) + Event(2) + "(end)");
}

// The other host prefers the server of another version.
BOOST_AUTO_TEST_CASE(a_relayed_stream_goes_on_at_the_version_that_began_it) {
  lost_world here;
  here.other.core->servers.Find("i-1")->entry.software = "v1";
  here.other.core->servers.Find("i-2")->entry.software = "v1.1";
  here.other.core->servers.Find("i-2")->others.running = 3;
  here.other.first.script = {{kStreamHeader + Chunk(Event(1)),
                              scripted_response::connection_action::kClose}};
  here.other.second.script = {{kStreamHeader + Chunk(Event(2)) + "0\r\n\r\n"}};
  const auto begun = here.cut.SendRequest("/resumed/");
  BOOST_TEST(begun.body == Event(1));
  BOOST_TEST(here.other.second.requests.empty());
  here.cut.added_fields = {{"Last-Event-Id", "1"}, {"Resumes", "9c41"}};
  here.cut.SendRequest("/resumed/");
  BOOST_TEST(here.last_relayed["Valeledge-Relay-Software"] == "v1");
  BOOST_TEST(here.other.second.requests.empty());
}

BOOST_AUTO_TEST_CASE(a_relayed_stream_without_its_version_is_refused) {
  lost_world here;
  net::http_request relayed = net::MakeRequest(http::verb::post, "/resumed/x");
  relayed.set(http::field::host, "a.example");
  relayed.set("X-Request-Id", "1");
  relayed.set("Last-Event-Id", "1");
  relayed.set("Valeledge-Relay-Version",
              std::to_string(here.other.configuration.version));
  received_response seen;
  fake_responder responder(seen);
  boost::asio::co_spawn(*here.loop,
                        host::RelayRequest(*here.other.core, relayed, responder,
                                           host::request_origin::kPeer),
                        [&](const std::exception_ptr&) { seen.done = true; });
  while (!seen.done)
    BOOST_REQUIRE_NE(here.loop->run_one_for(20s), 0u);
  BOOST_TEST(seen.status == 503);
  BOOST_TEST(here.ServerRequests() == 0u);
}

BOOST_AUTO_TEST_CASE(only_the_first_host_counts_the_request) {
  lost_world here;
  here.cut.SendRequest("/once/");
  const auto& own =
      here.cut.core->demand.DemandFor("s", host::kInitialServiceTime);
  const auto& relayed =
      here.other.core->demand.DemandFor("s", host::kInitialServiceTime);
  BOOST_TEST(own.arrivals == 1);
  BOOST_TEST(relayed.arrivals == 0);
}

BOOST_AUTO_TEST_CASE(a_request_that_may_have_run_is_not_run_once_more) {
  lost_world here;
  for (auto* server : {&here.other.first, &here.other.second})
    server->script = {{"", scripted_response::connection_action::kReset}};
  const auto seen = here.cut.SendRequest("/once/");
  BOOST_TEST(seen.status == 502);
  BOOST_TEST(here.ServerRequests() == 1u);
}

// The other host refuses the request before it looks for a server.
BOOST_AUTO_TEST_CASE(
    a_refusal_of_another_host_does_not_cover_earlier_attempts) {
  lost_world here;
  auto& stand_in = here.cut.first;
  stand_in.script = {{"", scripted_response::connection_action::kReset}};
  here.cut.core->servers.Find("i-1")->entry.address = stand_in.address();
  here.cut.core->servers.Find("i-2")->entry.address = stand_in.address();
  const auto seen = here.cut.SendRequest("/safe/", [&](fake_responder&) {
    if (stand_in.requests.size() != 1)
      return;
    for (const char* instance : {"i-1", "i-2"})
      here.cut.core->servers.Find(instance)->entry.address = kRefusing;
    decisions::RecordQuarantine(here.other.core->quarantine,
                                host::DigestOf(stand_in.requests.front()),
                                std::chrono::steady_clock::now());
  });
  BOOST_TEST(stand_in.requests.size() == 1u);
  BOOST_TEST(here.last_relayed.target() == "/safe/x?q=1");
  BOOST_TEST(here.ServerRequests() == 0u);
  BOOST_TEST(seen.status == 502);
}

// A host that states a code and nothing else.
BOOST_AUTO_TEST_CASE(an_error_of_another_host_is_not_run_only_if_it_says_so) {
  for (const std::string stated : {"unknown", "", "not_run"}) {
    lost_world here;
    net::http_server terse{
        *here.loop,
        {},
        [&stated](net::http_request&, net::http_responder& responder)
            -> boost::asio::awaitable<void> {
          auto response = net::MakeJsonResponse(503, "{}");
          response.set("Valeledge-Relay-Code", "2005");
          if (!stated.empty())
            response.set("Valeledge-Relay-Outcome", stated);
          co_await responder.Send(std::move(response));
        },
        [](const base::error&) { return net::http_response(); }};
    here.relay_port = terse.Start({"127.0.0.1", 0})->port;
    const int status = here.cut.SendRequest("/once/").status;
    BOOST_TEST(status == (stated == "not_run" ? 503 : 502));
  }
}

// Guards against an unknown outcome of a request that was refused unread.
BOOST_AUTO_TEST_CASE(a_request_that_another_host_does_not_read_has_not_run) {
  lost_world here;
  const auto memory = std::make_shared<base::memory_budget>(64);
  net::http_server full{
      *here.loop,
      {},
      [&here](net::http_request& request, net::http_responder& responder) {
        return host::RelayRequest(*here.other.core, request, responder,
                                  host::request_origin::kPeer);
      },
      host::MakeRelayedErrorResponse,
      memory};
  here.relay_port = full.Start({"127.0.0.1", 0})->port;
  const auto seen = here.cut.SendRequest("/once/");
  BOOST_TEST(seen.status == 503);
  BOOST_TEST(here.ServerRequests() == 0u);
}

BOOST_AUTO_TEST_CASE(a_server_error_is_not_retried_by_both_hosts) {
  lost_world here;
  for (auto* server : {&here.other.first, &here.other.second})
    server->script = {{kFailedResponse}};
  const auto seen = here.cut.SendRequest("/safe/");
  BOOST_TEST(seen.status == 500);
  BOOST_TEST(here.ServerRequests() == 2u);
}

// Guards against a request that runs more often than its route allows: the
// other host repeats it, and does not respond in time.
BOOST_AUTO_TEST_CASE(attempts_at_another_host_count_if_it_does_not_respond) {
  using connection_action = scripted_response::connection_action;
  lost_world here;
  here.AddFarRelay();
  here.other.core->servers.Find("i-2")->others.running = 3;
  here.other.first.script = {{"", connection_action::kReset}};
  here.other.second.script = {{"", connection_action::kHang}};
  const auto seen = here.cut.SendRequest("/safe/");
  BOOST_TEST(seen.status >= 502);
  BOOST_TEST(here.other.first.requests.size() == 1u);
  BOOST_TEST(here.other.second.requests.size() == 1u);
}

BOOST_AUTO_TEST_CASE(a_relayed_request_is_repeated_at_another_server) {
  for (const std::string& failure : {std::string(), kFailedResponse,
                                     std::string("HTTP/1.1 000 No\r\n\r\n")}) {
    lost_world here;
    here.other.core->servers.Find("i-2")->others.running = 3;
    here.other.first.script = {
        {failure, scripted_response::connection_action::kReset}};
    const auto seen = here.cut.SendRequest("/safe/");
    BOOST_TEST(seen.status == 200);
    BOOST_TEST(seen.body == "hello");
    BOOST_TEST(here.other.first.requests.size() == 1u);
    BOOST_TEST(here.other.second.requests.size() == 1u);
  }
}

BOOST_AUTO_TEST_CASE(a_relayed_stream_goes_on_at_another_server) {
  lost_world here;
  here.other.core->servers.Find("i-2")->others.running = 3;
  here.other.first.script = {{kStreamHeader + Chunk(Event(1)),
                              scripted_response::connection_action::kClose}};
  here.other.second.script = {{kStreamHeader + Chunk(Event(2)) + "0\r\n\r\n"}};
  const auto seen = here.cut.SendRequest("/resumed/");
  BOOST_TEST(seen.body == Event(1) + Event(2) + "(end)");
  BOOST_TEST(here.other.first.requests.size() == 1u);
}

BOOST_AUTO_TEST_CASE(a_request_is_refused_at_once_if_no_host_reaches_a_server) {
  lost_world here;
  here.other.core->servers.Find("i-1")->entry.address = kRefusing;
  here.other.core->servers.Find("i-2")->entry.address = kRefusing;
  BOOST_TEST(here.cut.SendRequest("/once/").status == 503);
  const auto begun = std::chrono::steady_clock::now();
  const auto seen = here.cut.SendRequest("/once/");
  BOOST_TEST(seen.status == 503);
  BOOST_TEST((std::chrono::steady_clock::now() - begun < 100ms));
  BOOST_TEST(seen.fields.count(http::field::retry_after) == 1u);
}

// Guards against streams that are broken off because their servers are silent
// for a moment: another host had not noticed it, and said that it reaches them.
BOOST_AUTO_TEST_CASE(a_stream_at_a_silent_server_is_not_given_up) {
  lost_world here;
  auto& server = here.other.first;
  server.script = {{kStreamHeader + Chunk(Event(1)) + "0\r\n\r\n"}};
  server.holds_responses = true;
  here.cut.configuration.routes.back().objective = 10s;
  here.cut.core->servers.Find("i-1")->entry.address = server.address();
  here.cut.core->servers.Find("i-2")->entry.address = server.address();
  here.cut_paths.Start();
  here.other_paths.Start();
  base::time_point silent_since;
  const auto seen = here.cut.SendRequest("/resumed/", [&](fake_responder&) {
    const auto now = std::chrono::steady_clock::now();
    if (server.requests.empty() || !server.holds_responses)
      return;
    if (silent_since == base::time_point()) {
      silent_since = now;
      for (relay_world* each : {&here.cut, &here.other}) {
        each->core->servers.Find("i-1")->entry.address = kRefusing;
        each->core->servers.Find("i-2")->entry.address = kRefusing;
      }
    }
    if (now - silent_since >= 800ms)
      server.ReleaseResponses();
  });
  BOOST_TEST(here.cut_paths.IsLost("s"));
  BOOST_TEST(
      here.cut.core->metrics.Counter("valeledge_relayed_requests_total", "sent")
          .value.load() == 0);
  BOOST_TEST(seen.body == Event(1) + "(end)");
}

BOOST_AUTO_TEST_CASE(hosts_with_different_configurations_relay_nothing) {
  lost_world here;
  here.other.configuration.version = 7;
  here.other.core->configuration =
      std::make_shared<const catalog::configuration>(here.other.configuration);
  BOOST_TEST(here.cut.SendRequest("/once/").status == 503);
  BOOST_TEST(here.ServerRequests() == 0u);
}

BOOST_AUTO_TEST_CASE(a_leaving_server_known_to_the_first_host_is_not_used) {
  lost_world here;
  here.cut.core->servers.Find("i-1")->notices.leaving_since =
      std::chrono::steady_clock::now();
  for (int i = 0; i < 10; ++i)
    BOOST_TEST(here.cut.SendRequest("/once/").status == 200);
  BOOST_TEST(here.other.first.requests.empty());
}

BOOST_AUTO_TEST_CASE(a_relayed_response_tells_the_first_host_who_is_leaving) {
  lost_world here;
  const std::string leaving = kWholeResponse;
  for (auto* server : {&here.other.first, &here.other.second}) {
    server->script = {{std::string(leaving).insert(
        leaving.find("Content-Length"), "Server-Leaving: 1\r\n")}};
  }
  here.cut.SendRequest("/once/");
  const bool known = here.cut.core->servers.Find("i-1")->SaysLeaving() ||
                     here.cut.core->servers.Find("i-2")->SaysLeaving();
  BOOST_TEST(known);
}

// A caller that sends the fields of hosts gains nothing by them.
BOOST_AUTO_TEST_CASE(callers_cannot_set_the_fields_of_hosts) {
  relay_world here;
  here.AddServer("i-1", here.first.address());
  here.added_fields = {{"Valeledge-Relay-Executions", "5"},
                       {"valeledge-relay-workspace", "other"}};
  BOOST_TEST(here.SendRequest("/safe/").status == 200);
  for (const auto& field : here.first.requests.front())
    BOOST_TEST(!boost::beast::iequals(field.name_string().substr(0, 10),
                                      "valeledge-"));
}

BOOST_AUTO_TEST_CASE(a_path_that_is_regained_leaves_no_server_suspended) {
  lost_world here;
  here.cut.SendRequest("/once/");
  here.cut.core->servers.Find("i-1")->entry.address =
      here.other.first.address();
  here.cut.core->servers.Find("i-2")->entry.address =
      here.other.second.address();
  const auto until = std::chrono::steady_clock::now() + 5s;
  while (here.cut_paths.IsLost("s") &&
         std::chrono::steady_clock::now() < until) {
    here.cut_paths.Tick(std::chrono::steady_clock::now());
    here.loop->run_one_for(20ms);
  }
  BOOST_TEST(!here.cut_paths.IsLost("s"));
  const auto now = std::chrono::steady_clock::now();
  for (const auto& [instance, server] : here.cut.core->servers.servers())
    BOOST_TEST(decisions::AllowsRequests(server->trust, now));
  here.last_relayed = {};
  BOOST_TEST(here.cut.SendRequest("/once/").status == 200);
  BOOST_TEST(here.last_relayed.target().empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
