// SPDX-License-Identifier: MIT
// Limits of workspaces: between a host and the limit's owner, and what callers
// get.
#include "host/process/limit_duty.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/beast/http.hpp>
#include <boost/test/unit_test.hpp>

#include "relay_world.h"

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
struct limit_pair {
  limit_pair() {
    settings.peer_listen = kSelf;
    core = std::make_unique<host::host_core>(context, settings,
                                             platform::MakeDialect());
    core->configuration = Configured(100);
    host::limit_links links;
    links.owner = [this](const std::string&) { return owner; };
    links.members = [] { return decisions::limit_members{1, 1}; };
    links.call = [this](base::endpoint, wire::envelope call,
                        std::chrono::microseconds)
        -> boost::asio::awaitable<base::result<wire::envelope>> {
      calls.push_back(call.limit_wanted);
      if (!answers)
        co_return base::NotRun(base::result_code::kPeerUnreachable, "silent");
      wire::envelope reply;
      reply.__set_limit(answer);
      co_return reply;
    };
    links.doubt = [this](const base::endpoint& at) { doubted.push_back(at); };
    duty = std::make_unique<host::limit_duty>(*core, std::move(links));
  }

  base::result<void> Take(double count = 1) {
    std::optional<base::result<void>> taken;
    boost::asio::co_spawn(
        context, duty->Take("choir", count),
        [&](const std::exception_ptr&, base::result<void> result) {
          taken = std::move(result);
        });
    context.restart();
    while (!taken)
      BOOST_REQUIRE_NE(context.run_one_for(std::chrono::seconds(20)), 0u);
    return *taken;
  }

  boost::asio::io_context context{1};
  host::host_settings settings;
  std::unique_ptr<host::host_core> core;
  std::optional<base::endpoint> owner = kOther;
  bool answers = true;
  wire::limit_reply answer;
  std::vector<wire::limit_question> calls;
  std::vector<base::endpoint> doubted;
  std::unique_ptr<host::limit_duty> duty;
};

BOOST_AUTO_TEST_SUITE(limits)

BOOST_AUTO_TEST_CASE(the_owner_is_asked_for_each_request) {
  limit_pair here;
  for (int i = 0; i < 5; ++i)
    BOOST_TEST(here.Take(7).has_value());
  BOOST_TEST(here.calls.size() == 5u);
  BOOST_TEST(here.calls.front().workspace == "choir");
  BOOST_TEST(here.calls.front().count == 7);
  here.answer.verdict = 1;
  here.answer.retry_after_us = 1'500'000;
  const auto refused = here.Take();
  BOOST_REQUIRE(!refused.has_value());
  BOOST_TEST((refused.error().code == base::result_code::kWorkspaceLimit));
  BOOST_TEST((refused.error().what_ran == base::outcome::kNotRun));
  BOOST_TEST((*refused.error().retry_after == 1500ms));
}

BOOST_AUTO_TEST_CASE(a_silent_owner_costs_what_was_usual_and_no_more) {
  limit_pair here;
  for (int i = 0; i < 100; ++i)
    here.Take();
  here.answers = false;
  const auto begun = std::chrono::steady_clock::now();
  int taken = 0;
  std::optional<base::error> refused;
  for (int i = 0; i < 1000; ++i) {
    const auto result = here.Take();
    if (result)
      ++taken;
    else
      refused = result.error();
  }
  const std::chrono::duration<double> passed =
      std::chrono::steady_clock::now() - begun;
  // It was given 50 a second: three tenths of that at once, the rest with time.
  BOOST_TEST(taken >= 13);
  BOOST_TEST(taken <= 16 + 50 * passed.count());
  BOOST_REQUIRE(!here.doubted.empty());
  BOOST_TEST((here.doubted.front() == kOther));
  BOOST_REQUIRE(refused.has_value());
  BOOST_TEST((refused->code == base::result_code::kNoLimitOwner));
  BOOST_TEST(refused->retry_after.has_value());
}

BOOST_AUTO_TEST_CASE(a_host_that_owns_a_limit_answers_by_itself) {
  limit_pair here;
  here.owner = kSelf;
  const auto now = std::chrono::steady_clock::now();
  here.duty->Roll(now - 10s);
  int taken = 0;
  for (int i = 0; i < 500; ++i)
    taken += here.Take().has_value() ? 1 : 0;
  BOOST_TEST(here.calls.empty());
  BOOST_TEST(taken >= 100);
  BOOST_TEST(taken <= 110);
}

// Hosts that start together all take themselves for the owner for a while.
BOOST_AUTO_TEST_CASE(a_host_that_still_learns_of_others_gives_nothing) {
  limit_pair here;
  here.owner = kSelf;
  wire::limit_question question;
  question.workspace = "choir";
  question.count = 1;
  const auto now = std::chrono::steady_clock::now();
  BOOST_TEST(here.duty->Answer(question).verdict == 2);
  here.duty->Roll(now - 10s);
  here.duty->NoteNewMember(now);
  BOOST_TEST(here.duty->Answer(question).verdict == 2);
}

BOOST_AUTO_TEST_CASE(who_owns_a_limit_no_more_gives_nothing) {
  limit_pair here;
  here.owner = kSelf;
  const auto now = std::chrono::steady_clock::now();
  here.duty->Roll(now - 10s);
  wire::limit_question question;
  question.workspace = "choir";
  question.count = 1;
  BOOST_TEST(here.duty->Answer(question).verdict == 0);
  here.owner = kOther;
  here.duty->Roll(now);
  BOOST_TEST(here.duty->Answer(question).verdict == 2);
}

// What callers get, and what is charged for it.
struct charged_world : relay_world {
  charged_world() {
    configuration.needs_keys = true;
    catalog::workspace choir;
    choir.name = "choir";
    choir.keys = {"key"};
    choir.limit = {catalog::limit_unit::kTokens, 1000, 1000, 200};
    configuration.workspaces.push_back(choir);
    configuration.keys = catalog::key_index(configuration.workspaces);
    core->certainty.complete_as_of = base::boot_clock::now();
    core->take_limit =
        [this](std::string,
               double count) -> boost::asio::awaitable<base::result<void>> {
      taken.push_back(count);
      if (has_room)
        co_return base::result<void>();
      auto refused = base::MakeError(base::result_code::kWorkspaceLimit,
                                     base::outcome::kNotRun, "full");
      refused.retry_after = 700ms;
      co_return tl::make_unexpected(refused);
    };
    core->give_limit_back = [this](const std::string&, double count) {
      given_back.push_back(count);
    };
    added_fields = {{"Api-Key", "key"}};
    AddServer("i-1", first.address());
  }

  bool has_room = true;
  std::vector<double> taken;
  std::vector<double> given_back;
};

BOOST_AUTO_TEST_CASE(beyond_its_limit_a_workspace_is_told_when_there_is_room) {
  charged_world here;
  here.has_room = false;
  const received_response seen = here.SendRequest("/once/");
  BOOST_TEST(seen.status == 429);
  BOOST_TEST(seen.fields[http::field::retry_after] == "0.700");
  BOOST_TEST(here.first.requests.empty());
  BOOST_TEST(here.given_back.empty());
}

BOOST_AUTO_TEST_CASE(a_request_is_charged_once_and_only_if_it_ran) {
  charged_world here;
  here.AddServer("i-2", here.second.address());
  BOOST_TEST(here.SendRequest("/once/").status == 200);
  // Sent on, and it ran twice.
  here.first.script = {{kFailedResponse}};
  here.second.script = {{kFailedResponse}};
  BOOST_TEST(here.SendRequest("/safe/").status == 500);
  BOOST_TEST(here.given_back.empty());
  here.first.script = {{kNotRunResponse}};
  here.second.script = {{kNotRunResponse}};
  BOOST_TEST(here.SendRequest("/once/").status == 503);
  BOOST_TEST(here.taken.size() == 3u);
  BOOST_TEST(here.given_back.size() == 1u);
  BOOST_TEST(here.given_back.front() == 200);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
