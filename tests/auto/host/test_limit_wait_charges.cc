// SPDX-License-Identifier: MIT
// Requests that wait for the tokens of their workspace's limit: how long they
// wait, and refunds of what never ran.
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/test/unit_test.hpp>

#include "charged_world.h"

namespace {

using namespace valeledge;
using namespace valeledge::test;
using namespace std::chrono_literals;

// A host on which the feature is on for all services.
struct waiting_world : charged_world {
  waiting_world() {
    core->settings.features.limit_priority = host::feature_mode::kOn;
  }
};

BOOST_AUTO_TEST_SUITE(charges_of_waiting_requests)

BOOST_AUTO_TEST_CASE(requests_of_a_service_without_mixed_urgency_do_not_wait) {
  charged_world here;
  here.SendRequest("/once/");
  BOOST_REQUIRE(here.waits.size() == 1u);
  BOOST_TEST(!here.waits.front().has_value());
  here.configuration.services.front().mixed_urgency = true;
  here.SendRequest("/once/");
  BOOST_TEST(here.waits.back().has_value());
  here.core->settings.features.limit_priority = host::feature_mode::kOff;
  here.SendRequest("/once/");
  BOOST_TEST(!here.waits.back().has_value());
}

// All requests of a limit have the workspace's priority, if it has one.
BOOST_AUTO_TEST_CASE(a_request_waits_with_the_priority_of_its_route) {
  waiting_world here;
  here.configuration.workspaces.front().priority = 7;
  for (catalog::route& route : here.configuration.routes) {
    route.priority = 3;
    route.objective = 8s;
    route.timeout = 12s;
  }
  const auto begun = std::chrono::steady_clock::now();
  here.SendRequest("/once/");
  BOOST_REQUIRE(here.waits.back().has_value());
  BOOST_TEST(here.waits.back()->priority == 3);
  BOOST_TEST((here.waits.back()->until >= begun + 3900ms));
  BOOST_TEST((here.waits.back()->until <= begun + 4500ms));
}

BOOST_AUTO_TEST_CASE(a_caller_that_leaves_during_the_wait_is_not_charged) {
  waiting_world here;
  bool has_ended = false;
  here.SendRequest("/once/", [&](fake_responder& responder) {
    if (here.acquired.empty() || has_ended)
      return;
    BOOST_TEST(!here.waits.back()->check().has_value());
    responder.Disconnect();
    has_ended = here.waits.back()->check().has_value();
  });
  BOOST_TEST(has_ended);
  BOOST_TEST(here.first.requests.empty());
  BOOST_TEST(here.IsRefunded());
}

// The attempt has begun, but nothing has been sent.
BOOST_AUTO_TEST_CASE(a_caller_that_leaves_during_the_connect_is_not_charged) {
  charged_world here;
  here.SendRequest("/once/", [&](fake_responder& responder) {
    if (!here.acquired.empty() && here.first.requests.empty())
      responder.Disconnect();
  });
  BOOST_TEST(here.first.requests.empty());
  BOOST_REQUIRE(here.released.size() == 1u);
  BOOST_TEST(here.released.front() == here.acquired.front());
}

// The server may run the request.
BOOST_AUTO_TEST_CASE(a_caller_that_leaves_after_the_send_is_charged) {
  charged_world here;
  here.first.script = {{"", scripted_response::connection_action::kHang}};
  here.SendRequest("/once/", [&](fake_responder& responder) {
    if (!here.first.requests.empty())
      responder.Disconnect();
  });
  BOOST_TEST(here.released.empty());
}

BOOST_AUTO_TEST_CASE(a_request_that_is_quarantined_meanwhile_is_not_charged) {
  waiting_world here;
  // The first request of the caller crashes a server, which shows its digest.
  std::uint64_t digest = 0;
  here.core->server_crashed =
      [&](std::uint64_t crashed, const decisions::server_crash&,
          const decisions::prompt_parts&) { digest = crashed; };
  here.first.script = {
      {kStreamHeader, scripted_response::connection_action::kReset}};
  here.SendRequest("/once/");
  BOOST_REQUIRE(digest != 0u);
  const std::size_t sent = here.first.requests.size();
  here.acquired.clear();
  std::optional<base::error> ended;
  here.while_waiting = [&] {
    decisions::RecordQuarantine(here.core->quarantine, digest,
                                std::chrono::steady_clock::now());
    ended = here.waits.back()->check();
  };
  BOOST_TEST(here.SendRequest("/once/").status == 503);
  BOOST_REQUIRE(ended.has_value());
  BOOST_TEST((ended->code == base::result_code::kQuarantined));
  BOOST_TEST(here.first.requests.size() == sent);
  BOOST_TEST(here.IsRefunded());
}

// A host that stops cannot answer for a request that waits for longer.
BOOST_AUTO_TEST_CASE(a_request_of_a_host_that_stops_is_not_charged) {
  waiting_world here;
  std::optional<base::error> ended;
  here.while_waiting = [&] {
    here.core->stop = StopAt(std::chrono::steady_clock::now());
    ended = here.waits.back()->check();
  };
  BOOST_TEST(here.SendRequest("/once/").status == 503);
  BOOST_REQUIRE(ended.has_value());
  BOOST_TEST((ended->code == base::result_code::kLeaving));
  BOOST_TEST(here.first.requests.empty());
  BOOST_TEST(here.IsRefunded());
}

// Otherwise a request that has waited for tokens is refused by the first busy
// server, and has waited in vain.
BOOST_AUTO_TEST_CASE(the_wait_for_tokens_does_not_shorten_that_for_a_server) {
  waiting_world here;
  here.core->acquire_limit = [&](std::string, double,
                                 std::optional<host::limit_wait>)
      -> boost::asio::awaitable<base::result<void>> {
    boost::asio::steady_timer tokens(here.context, 100ms);
    co_await tokens.async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
    co_return base::result<void>();
  };
  // A request waits for a server for a fifth of its objective of a second.
  here.core->servers.Find("i-1")->notices.backoff_until =
      std::chrono::steady_clock::now() + 230ms;
  BOOST_TEST(here.SendRequest("/once/").status == 200);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
