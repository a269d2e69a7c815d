// SPDX-License-Identifier: MIT
// Workspace limits: the protocol between a host and the limit's owner, and the
// responses that callers receive.
#include "host/process/workspace_limit_service.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/beast/http.hpp>
#include <boost/test/unit_test.hpp>

#include "charged_world.h"

namespace {

using namespace valeledge;
using namespace valeledge::test;
using namespace std::chrono_literals;
namespace http = boost::beast::http;

const base::endpoint kSelf{"10.0.0.1", 1};
const base::endpoint kOther{"10.0.0.2", 1};

std::shared_ptr<const catalog::configuration> Configured(double rate) {
  auto out = std::make_shared<catalog::configuration>();
  out->needs_keys = true;
  catalog::workspace choir;
  choir.name = "choir";
  choir.limit.rate = rate;
  choir.limit.burst = rate;
  out->workspaces.push_back(choir);
  return out;
}

// A host and the owner of its limit.
struct host_and_owner {
  host_and_owner() {
    settings.peer_listen = kSelf;
    core = std::make_unique<host::host_core>(context, settings,
                                             platform::MakeDialect());
    core->configuration = Configured(100);
    host::workspace_limit_callbacks callbacks;
    callbacks.owner = [this](const std::string&) { return owner; };
    callbacks.members = [] { return decisions::limit_members{1, 1}; };
    callbacks.call = [this](base::endpoint, wire::envelope call,
                            std::chrono::microseconds)
        -> boost::asio::awaitable<base::result<wire::envelope>> {
      calls.push_back(call.limit_wanted);
      if (!responds)
        co_return base::NotRun(base::result_code::kPeerUnreachable, "silent");
      wire::envelope reply;
      reply.__set_limit(response);
      co_return reply;
    };
    callbacks.suspect = [this](const base::endpoint& at) {
      suspected.push_back(at);
    };
    service = std::make_unique<host::workspace_limit_service>(
        *core, std::move(callbacks));
  }

  base::result<void> Acquire(double count = 1) {
    std::optional<base::result<void>> acquired;
    boost::asio::co_spawn(
        context, service->Acquire("choir", count),
        [&](const std::exception_ptr&, base::result<void> result) {
          acquired = std::move(result);
        });
    context.restart();
    while (!acquired)
      BOOST_REQUIRE_NE(context.run_one_for(std::chrono::seconds(20)), 0u);
    return *acquired;
  }

  boost::asio::io_context context{1};
  host::host_settings settings;
  std::unique_ptr<host::host_core> core;
  std::optional<base::endpoint> owner = kOther;
  bool responds = true;
  wire::limit_reply response;
  std::vector<wire::limit_question> calls;
  std::vector<base::endpoint> suspected;
  std::unique_ptr<host::workspace_limit_service> service;
};

BOOST_AUTO_TEST_SUITE(limits)

BOOST_AUTO_TEST_CASE(each_request_is_sent_to_the_limit_owner) {
  host_and_owner here;
  for (int i = 0; i < 5; ++i)
    BOOST_TEST(here.Acquire(7).has_value());
  BOOST_TEST(here.calls.size() == 5u);
  BOOST_TEST(here.calls.front().workspace == "choir");
  BOOST_TEST(here.calls.front().count == 7);
  here.response.verdict = 1;
  here.response.retry_after_us = 1'500'000;
  const auto refused = here.Acquire();
  BOOST_REQUIRE(!refused.has_value());
  BOOST_TEST((refused.error().code == base::result_code::kWorkspaceLimit));
  BOOST_TEST((refused.error().what_ran == base::outcome::kNotRun));
  BOOST_TEST((*refused.error().retry_after == 1500ms));
}

BOOST_AUTO_TEST_CASE(
    without_a_responsive_owner_the_previous_rate_is_the_maximum) {
  host_and_owner here;
  for (int i = 0; i < 100; ++i)
    here.Acquire();
  here.responds = false;
  const auto start = std::chrono::steady_clock::now();
  int acquired = 0;
  std::optional<base::error> refused;
  for (int i = 0; i < 1000; ++i) {
    const auto result = here.Acquire();
    if (result)
      ++acquired;
    else
      refused = result.error();
  }
  const std::chrono::duration<double> elapsed =
      std::chrono::steady_clock::now() - start;
  // The host was granted 50 a second. Three tenths of that are available at
  // once, the rest over time.
  BOOST_TEST(acquired >= 13);
  BOOST_TEST(acquired <= 16 + 50 * elapsed.count());
  BOOST_REQUIRE(!here.suspected.empty());
  BOOST_TEST((here.suspected.front() == kOther));
  BOOST_REQUIRE(refused.has_value());
  BOOST_TEST((refused->code == base::result_code::kNoLimitOwner));
  BOOST_TEST(refused->retry_after.has_value());
}

BOOST_AUTO_TEST_CASE(an_owner_handles_its_own_requests) {
  host_and_owner here;
  here.owner = kSelf;
  const auto now = std::chrono::steady_clock::now();
  here.service->Tick(now - 10s);
  int acquired = 0;
  for (int i = 0; i < 500; ++i)
    acquired += here.Acquire().has_value() ? 1 : 0;
  BOOST_TEST(here.calls.empty());
  BOOST_TEST(acquired >= 100);
  BOOST_TEST(acquired <= 110);
}

// Hosts that start together each assume for a while that they own all limits.
BOOST_AUTO_TEST_CASE(a_host_that_is_still_discovering_members_grants_nothing) {
  host_and_owner here;
  here.owner = kSelf;
  wire::limit_question request;
  request.workspace = "choir";
  request.count = 1;
  const auto now = std::chrono::steady_clock::now();
  BOOST_TEST(here.service->HandleRequest(request).verdict == 2);
  here.service->Tick(now - 10s);
  here.service->OnMemberJoined(now);
  BOOST_TEST(here.service->HandleRequest(request).verdict == 2);
}

BOOST_AUTO_TEST_CASE(a_former_owner_grants_nothing) {
  host_and_owner here;
  here.owner = kSelf;
  const auto now = std::chrono::steady_clock::now();
  here.service->Tick(now - 10s);
  wire::limit_question request;
  request.workspace = "choir";
  request.count = 1;
  BOOST_TEST(here.service->HandleRequest(request).verdict == 0);
  here.owner = kOther;
  here.service->Tick(now);
  BOOST_TEST(here.service->HandleRequest(request).verdict == 2);
}

BOOST_AUTO_TEST_CASE(a_refused_workspace_gets_a_retry_after_delay) {
  charged_world here;
  here.has_capacity = false;
  const received_response seen = here.SendRequest("/once/");
  BOOST_TEST(seen.status == 429);
  BOOST_TEST(seen.fields[http::field::retry_after] == "0.700");
  BOOST_TEST(here.first.requests.empty());
  BOOST_TEST(here.released.empty());
}

BOOST_AUTO_TEST_CASE(a_request_is_charged_once_and_only_if_it_ran) {
  charged_world here;
  here.AddServer("i-2", here.second.address());
  BOOST_TEST(here.SendRequest("/once/").status == 200);
  // The request is retried and runs twice.
  here.first.script = {{kFailedResponse}};
  here.second.script = {{kFailedResponse}};
  BOOST_TEST(here.SendRequest("/safe/").status == 500);
  BOOST_TEST(here.released.empty());
  here.first.script = {{kNotRunResponse}};
  here.second.script = {{kNotRunResponse}};
  BOOST_TEST(here.SendRequest("/once/").status == 503);
  BOOST_TEST(here.acquired.size() == 3u);
  BOOST_TEST(here.released.size() == 1u);
  BOOST_TEST(here.released.front() == 200);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
