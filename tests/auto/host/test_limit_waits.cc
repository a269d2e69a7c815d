// SPDX-License-Identifier: MIT
// Requests that wait for the tokens of their workspace's limit: the protocol
// between a host and the owner of the limit.
#include <deque>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/test/unit_test.hpp>

#include "host/process/workspace_limit_service.h"
#include "request_codec.h"

namespace {

using namespace valeledge;
using namespace std::chrono_literals;

const base::endpoint kOwner{"10.0.0.1", 1};
const base::endpoint kNextOwner{"10.0.0.2", 1};
const base::endpoint kAsker{"10.0.0.3", 1};

std::shared_ptr<const catalog::configuration> Configured() {
  auto out = std::make_shared<catalog::configuration>();
  catalog::workspace choir;
  choir.name = "choir";
  choir.limit = {catalog::limit_unit::kTokens, 10'000, 10'000, 200};
  out->workspaces.push_back(choir);
  return out;
}

// A host that owns the limit of "choir", 10,000 tokens per second, and one that
// asks it.
struct owner_and_asker {
  // A question that a host was asked.
  struct call {
    base::endpoint where;
    wire::limit_question question;
  };
  // What happens to the next question.
  enum class call_action {
    kAnswer,
    // The connection is lost.
    kLose,
    // The reply arrives, or the connection is lost, once `delayed` is
    // cancelled.
    kDelay,
    kLoseLater,
  };

  owner_and_asker() {
    owner_settings.peer_listen = kOwner;
    asker_settings.peer_listen = kAsker;
    asker_settings.name = "asker";
    owner_core = std::make_unique<host::host_core>(context, owner_settings,
                                                   platform::MakeDialect());
    asker_core = std::make_unique<host::host_core>(context, asker_settings,
                                                   platform::MakeDialect());
    owner_core->configuration = Configured();
    asker_core->configuration = Configured();
    owner = std::make_unique<host::workspace_limit_service>(*owner_core,
                                                            Callbacks());
    asker = std::make_unique<host::workspace_limit_service>(*asker_core,
                                                            Callbacks());
    owner->Tick(std::chrono::steady_clock::now() - 10s);
    delayed.expires_at(base::time_point::max());
  }

  host::workspace_limit_callbacks Callbacks() {
    host::workspace_limit_callbacks callbacks;
    callbacks.owner = [this](const std::string&) { return present_owner; };
    callbacks.members = [] {
      return decisions::limit_members{1, 1, true, true};
    };
    callbacks.suspect = [this](const base::endpoint&) { ++suspicions; };
    callbacks.call = [this](base::endpoint where, wire::envelope asked,
                            std::chrono::microseconds)
        -> boost::asio::awaitable<base::result<wire::envelope>> {
      calls.push_back({where, asked.limit_wanted});
      auto action = call_action::kAnswer;
      if (!actions.empty()) {
        action = actions.front();
        actions.pop_front();
      }
      if (action == call_action::kLose)
        co_return base::Unknown(base::result_code::kPeerUnreachable, "lost");
      if (action == call_action::kDelay || action == call_action::kLoseLater) {
        co_await delayed.async_wait(
            boost::asio::as_tuple(boost::asio::use_awaitable));
      }
      if (action == call_action::kLoseLater)
        co_return base::Unknown(base::result_code::kPeerUnreachable, "lost");
      wire::envelope reply;
      const auto decided = co_await owner->HandleCall(asked.limit_wanted);
      reply.__set_limit(decided);
      co_return reply;
    };
    return callbacks;
  }

  host::limit_wait Wait(std::chrono::milliseconds patience) {
    host::limit_wait wait;
    wait.priority = 2;
    wait.until = std::chrono::steady_clock::now() + patience;
    wait.check = [this] { return end_of_wait; };
    return wait;
  }

  using acquired = std::optional<base::result<void>>;

  // Begins a request of the asking host.
  std::shared_ptr<acquired> Begin(double count,
                                  std::optional<host::limit_wait> wait) {
    auto out = std::make_shared<acquired>();
    boost::asio::co_spawn(
        context, asker->Acquire("choir", count, std::move(wait)),
        [out](const std::exception_ptr&, base::result<void> result) {
          *out = std::move(result);
        });
    return out;
  }

  // Begins a question to the owner.
  std::shared_ptr<std::optional<wire::limit_reply>> Ask(
      wire::limit_question question) {
    auto out = std::make_shared<std::optional<wire::limit_reply>>();
    boost::asio::co_spawn(
        context, owner->HandleCall(std::move(question)),
        [out](const std::exception_ptr&, wire::limit_reply reply) {
          *out = std::move(reply);
        });
    return out;
  }

  void RunUntil(const std::function<bool()>& condition) {
    context.restart();
    while (!condition())
      BOOST_REQUIRE_NE(context.run_one_for(std::chrono::seconds(20)), 0u);
  }

  base::result<void> Acquire(double count,
                             std::optional<host::limit_wait> wait) {
    const auto result = Begin(count, std::move(wait));
    RunUntil([&] { return result->has_value(); });
    return **result;
  }

  // Takes all tokens that are left.
  void Exhaust() {
    wire::limit_question question = Question(100);
    while (owner->HandleRequest(question).verdict == 0) {
    }
  }

  static wire::limit_question Question(double count) {
    wire::limit_question question;
    question.workspace = "choir";
    question.count = count;
    question.host = "other";
    return question;
  }

  std::int64_t Waits(const char* reason) {
    return owner_core->metrics.Counter("valeledge_limit_waits_total", reason)
               .value +
           asker_core->metrics.Counter("valeledge_limit_waits_total", reason)
               .value;
  }

  boost::asio::io_context context{1};
  boost::asio::steady_timer delayed{context};
  host::host_settings owner_settings;
  host::host_settings asker_settings;
  std::unique_ptr<host::host_core> owner_core;
  std::unique_ptr<host::host_core> asker_core;
  std::unique_ptr<host::workspace_limit_service> owner;
  std::unique_ptr<host::workspace_limit_service> asker;
  std::optional<base::endpoint> present_owner = kOwner;
  std::vector<call> calls;
  std::deque<call_action> actions;
  std::optional<base::error> end_of_wait;
  int suspicions = 0;
};

using call_action = owner_and_asker::call_action;

BOOST_AUTO_TEST_SUITE(limit_waits)

BOOST_AUTO_TEST_CASE(a_question_stays_open_until_its_tokens_are_granted) {
  owner_and_asker here;
  here.Exhaust();
  const auto begun = std::chrono::steady_clock::now();
  BOOST_TEST(here.Acquire(1000, here.Wait(2s)).has_value());
  BOOST_TEST((std::chrono::steady_clock::now() - begun >= 80ms));
  BOOST_REQUIRE(here.calls.size() == 1u);
  BOOST_TEST(here.calls[0].question.priority == 2);
  BOOST_TEST(here.calls[0].question.patience_ms <= 2000);
  BOOST_TEST(here.calls[0].question.patience_ms >= 1900);
}

BOOST_AUTO_TEST_CASE(a_question_that_cannot_be_granted_in_time_ends_at_once) {
  owner_and_asker here;
  here.Exhaust();
  const auto refused = here.Acquire(5000, here.Wait(100ms));
  BOOST_REQUIRE(!refused.has_value());
  BOOST_TEST((refused.error().code == base::result_code::kWorkspaceLimit));
  BOOST_TEST((refused.error().what_ran == base::outcome::kNotRun));
  BOOST_TEST((*refused.error().retry_after >= 400ms));
  BOOST_TEST(here.Waits("refused") == 1);
  // The retry-after delay counts what waits.
  BOOST_TEST((*refused.error().retry_after <= 1100ms));
}

// A host of an older build, or one whose feature is off, is served as before.
BOOST_AUTO_TEST_CASE(a_question_without_the_fields_is_decided_at_once) {
  owner_and_asker here;
  here.Exhaust();
  const auto waiting = here.Begin(1000, here.Wait(2s));
  here.RunUntil([&] { return !here.calls.empty(); });
  BOOST_TEST(!here.Acquire(1000, std::nullopt).has_value());
  BOOST_TEST(!here.calls.back().question.__isset.priority);
  BOOST_TEST(!here.calls.back().question.__isset.patience_ms);
  here.RunUntil([&] { return waiting->has_value(); });
  BOOST_TEST((*waiting)->has_value());
}

// Otherwise another host could hold a place for ever, or poison the state.
BOOST_AUTO_TEST_CASE(fields_that_cannot_be_valid_count_as_absent) {
  owner_and_asker here;
  here.Exhaust();
  const std::pair<std::int64_t, std::int64_t> statements[] = {
      {-1, 1000},
      {1, -1},
      {std::numeric_limits<std::int64_t>::max(), 1000},
      {1, std::numeric_limits<std::int64_t>::max()}};
  for (const auto& [priority, patience_ms] : statements) {
    auto question = owner_and_asker::Question(1000);
    question.__set_priority(priority);
    question.__set_patience_ms(patience_ms);
    const auto reply = here.Ask(question);
    here.context.restart();
    while (here.context.poll_one() != 0) {
    }
    BOOST_REQUIRE(reply->has_value());
    BOOST_TEST((*reply)->verdict == 1);
  }
  BOOST_TEST(here.Waits("invalid") == 4);
  // One field alone says nothing.
  auto question = owner_and_asker::Question(1000);
  question.__set_patience_ms(1000);
  const auto reply = here.Ask(question);
  here.RunUntil([&] { return reply->has_value(); });
  BOOST_TEST((*reply)->verdict == 1);
}

BOOST_AUTO_TEST_CASE(a_count_that_is_not_a_number_changes_nothing) {
  owner_and_asker here;
  constexpr double kInfinity = std::numeric_limits<double>::infinity();
  for (const double bad :
       {std::numeric_limits<double>::quiet_NaN(), kInfinity, -kInfinity, 1e10,
        std::numeric_limits<double>::max()}) {
    auto question = owner_and_asker::Question(bad);
    BOOST_TEST(here.owner->HandleRequest(question).verdict == 2);
    question.__set_priority(1);
    question.__set_patience_ms(100);
    const auto reply = here.Ask(question);
    here.RunUntil([&] { return reply->has_value(); });
    BOOST_TEST((*reply)->verdict == 2);
  }
  auto question = owner_and_asker::Question(10);
  question.usual = std::numeric_limits<double>::quiet_NaN();
  BOOST_TEST(here.owner->HandleRequest(question).verdict == 0);
  here.Exhaust();
  BOOST_TEST(
      here.owner->HandleRequest(owner_and_asker::Question(5000)).verdict == 1);
}

BOOST_AUTO_TEST_CASE(refunded_tokens_go_to_a_waiting_request) {
  owner_and_asker here;
  here.Exhaust();
  const auto waiting = here.Begin(9000, here.Wait(5s));
  here.RunUntil([&] { return !here.calls.empty(); });
  const auto begun = std::chrono::steady_clock::now();
  here.owner->HandleRequest(owner_and_asker::Question(-9000));
  here.RunUntil([&] { return waiting->has_value(); });
  BOOST_TEST((*waiting)->has_value());
  BOOST_TEST((std::chrono::steady_clock::now() - begun < 500ms));
}

// A killed owner closes its connections.
BOOST_AUTO_TEST_CASE(the_next_owner_is_asked_with_the_time_left) {
  owner_and_asker here;
  here.actions = {call_action::kLose};
  const auto waiting = here.Begin(1000, here.Wait(2s));
  here.RunUntil([&] { return !here.calls.empty(); });
  here.present_owner = kNextOwner;
  here.RunUntil([&] { return waiting->has_value(); });
  BOOST_TEST((*waiting)->has_value());
  BOOST_TEST(here.suspicions == 1);
  BOOST_REQUIRE(here.calls.size() >= 2u);
  BOOST_TEST((here.calls.back().where == kNextOwner));
  BOOST_TEST(here.calls.back().question.patience_ms <= 1900);
}

// A suspended owner says nothing until membership notices; what it grants when
// it goes on is returned to it.
BOOST_AUTO_TEST_CASE(a_silent_owner_is_left_and_its_late_grant_returned) {
  owner_and_asker here;
  here.actions = {call_action::kDelay};
  const auto waiting = here.Begin(1000, here.Wait(2s));
  here.RunUntil([&] { return !here.calls.empty(); });
  here.present_owner = kNextOwner;
  here.RunUntil([&] { return waiting->has_value(); });
  BOOST_TEST((*waiting)->has_value());
  BOOST_REQUIRE(here.calls.size() == 2u);
  BOOST_TEST((here.calls[1].where == kNextOwner));
  here.delayed.cancel();
  here.RunUntil([&] { return here.calls.size() == 3u; });
  BOOST_TEST((here.calls[2].where == kOwner));
  BOOST_TEST(here.calls[2].question.count == -1000);
  BOOST_TEST(here.Waits("returned") == 1);
}

BOOST_AUTO_TEST_CASE(an_owner_that_loses_its_limit_lets_its_queue_go) {
  owner_and_asker here;
  here.Exhaust();
  auto question = owner_and_asker::Question(9000);
  question.__set_priority(1);
  question.__set_patience_ms(5000);
  const auto reply = here.Ask(question);
  here.context.poll();
  BOOST_TEST(!reply->has_value());
  here.present_owner = kNextOwner;
  here.owner->Tick(std::chrono::steady_clock::now());
  here.RunUntil([&] { return reply->has_value(); });
  BOOST_TEST((*reply)->verdict == 2);
}

BOOST_AUTO_TEST_CASE(without_an_owner_a_host_continues_as_before) {
  owner_and_asker here;
  for (int i = 0; i < 100; ++i)
    BOOST_TEST(here.Acquire(1, here.Wait(2s)).has_value());
  here.present_owner.reset();
  const auto begun = std::chrono::steady_clock::now();
  int granted = 0;
  for (int i = 0; i < 100; ++i)
    granted += here.Acquire(1, here.Wait(2s)).has_value() ? 1 : 0;
  // The host was granted 50 tokens a second; three tenths are there at once.
  BOOST_TEST(granted >= 13);
  BOOST_TEST(granted < 100);
  BOOST_TEST((std::chrono::steady_clock::now() - begun < 1s));
}

// An unresponsive owner is asked by one request at a time, which must not wait.
BOOST_AUTO_TEST_CASE(an_unresponsive_owner_is_probed_without_patience) {
  owner_and_asker here;
  here.Acquire(1, here.Wait(80ms));
  here.actions = {call_action::kLose};
  here.Acquire(1, here.Wait(80ms));
  here.Exhaust();
  here.calls.clear();
  BOOST_TEST(here.Acquire(1000, here.Wait(2s)).has_value());
  BOOST_REQUIRE(here.calls.size() == 2u);
  BOOST_TEST(here.calls[0].question.patience_ms == 0);
  BOOST_TEST(here.calls[1].question.patience_ms > 1000);
}

// A question may be open for seconds. Guards against suspicions of a healthy
// owner when its connection is lost late.
BOOST_AUTO_TEST_CASE(an_owner_that_has_replied_since_is_not_suspected) {
  owner_and_asker here;
  here.actions = {call_action::kLoseLater};
  const auto waiting = here.Begin(1, here.Wait(5s));
  here.RunUntil([&] { return !here.calls.empty(); });
  BOOST_TEST(here.Acquire(1, here.Wait(2s)).has_value());
  here.delayed.cancel();
  here.RunUntil([&] { return waiting->has_value(); });
  BOOST_TEST((*waiting)->has_value());
  BOOST_TEST(here.suspicions == 0);
}

BOOST_AUTO_TEST_CASE(an_abandoned_question_that_fails_suspects_nobody) {
  owner_and_asker here;
  here.actions = {call_action::kLoseLater};
  const auto waiting = here.Begin(1, here.Wait(5s));
  here.RunUntil([&] { return !here.calls.empty(); });
  here.end_of_wait = base::MakeError(base::result_code::kCallerGone,
                                     base::outcome::kNotRun, "gone");
  here.RunUntil([&] { return waiting->has_value(); });
  here.delayed.cancel();
  here.context.restart();
  here.context.poll();
  BOOST_TEST(here.suspicions == 0);
}

// Guards against further calls to an unresponsive owner by requests of hosts
// that have been granted nothing yet.
BOOST_AUTO_TEST_CASE(a_request_without_allowance_calls_not_during_a_probe) {
  owner_and_asker here;
  here.actions = {call_action::kLose, call_action::kLose, call_action::kLose,
                  call_action::kDelay};
  BOOST_TEST(!here.Acquire(1, here.Wait(80ms)).has_value());
  const auto probe = here.Begin(1, here.Wait(80ms));
  here.RunUntil([&] { return here.calls.size() == 4u; });
  BOOST_TEST(!here.Acquire(1, here.Wait(80ms)).has_value());
  BOOST_TEST(!here.Acquire(1, std::nullopt).has_value());
  BOOST_TEST(here.calls.size() == 4u);
  here.delayed.cancel();
  here.RunUntil([&] { return probe->has_value(); });
  BOOST_TEST((*probe)->has_value());
}

// Guards against a second probe once an earlier question has ended.
BOOST_AUTO_TEST_CASE(a_probe_is_pending_until_it_ends_itself) {
  owner_and_asker here;
  BOOST_TEST(here.Acquire(1, here.Wait(80ms)).has_value());
  here.actions = {call_action::kDelay, call_action::kLose, call_action::kDelay};
  bool has_left = false;
  auto wait = here.Wait(5s);
  wait.check = [&]() -> std::optional<base::error> {
    if (!has_left)
      return std::nullopt;
    return base::MakeError(base::result_code::kCallerGone,
                           base::outcome::kNotRun, "gone");
  };
  const auto earlier = here.Begin(1, std::move(wait));
  here.RunUntil([&] { return here.calls.size() == 2u; });
  here.Acquire(1, here.Wait(80ms));
  const auto probe = here.Begin(1, here.Wait(80ms));
  here.RunUntil([&] { return here.calls.size() == 4u; });
  has_left = true;
  here.RunUntil([&] { return earlier->has_value(); });
  here.Acquire(1, here.Wait(80ms));
  BOOST_TEST(here.calls.size() == 4u);
  here.delayed.cancel();
  here.RunUntil([&] { return probe->has_value(); });
}

BOOST_AUTO_TEST_CASE(a_request_whose_caller_has_gone_waits_no_longer) {
  owner_and_asker here;
  here.Exhaust();
  const auto waiting = here.Begin(9000, here.Wait(5s));
  here.RunUntil([&] { return !here.calls.empty(); });
  here.end_of_wait = base::MakeError(base::result_code::kCallerGone,
                                     base::outcome::kNotRun, "gone");
  here.RunUntil([&] { return waiting->has_value(); });
  BOOST_REQUIRE(!(*waiting)->has_value());
  BOOST_TEST(((*waiting)->error().code == base::result_code::kCallerGone));
  BOOST_TEST(here.Waits("abandoned") == 1);
  // Its tokens are returned once they are granted.
  here.RunUntil([&] { return here.calls.size() == 2u; });
  BOOST_TEST(here.calls[1].question.count == -9000);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
