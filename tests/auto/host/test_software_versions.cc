// SPDX-License-Identifier: MIT
// Streams before backend servers of several software versions.
#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "decisions/stream_patience.h"
#include "host/request/routed_request.h"
#include "relay_world.h"

namespace {

using namespace valeledge;
using namespace valeledge::test;
using namespace std::chrono_literals;

using action = scripted_response::connection_action;

// A stream that breaks after its first event, and the rest of it.
const scripted_response kBroken{kStreamHeader + Chunk(Event(1)),
                                action::kClose};
const scripted_response kRest{kStreamHeader + Chunk(Event(2)) + Chunk("")};

// The deadline of the requests is shorter than the patience of their callers.
const std::chrono::milliseconds kMaxResumeWait =
    decisions::MaxResumeWait(2000ms);

// Two servers, of which the second one is of the given version.
struct versions_world : relay_world {
  explicit versions_world(const std::string& second_version) {
    AddServer("i-1", first.address());
    core->servers.Find("i-1")->entry.software = "v1";
    AddServer("i-2", second.address());
    core->servers.Find("i-2")->entry.software = second_version;
    // The second server is used only if the first one may not be.
    core->servers.Find("i-2")->others.running = 3;
  }

  // A stream that its caller takes up again after its first event, naming the
  // attempt that began it.
  received_response TakeUp(const std::string& attempt) {
    added_fields = {{"Last-Event-Id", "1"}, {"Resumes", attempt}};
    return SendRequest("/resumed/");
  }
};

BOOST_AUTO_TEST_SUITE(software_versions)

BOOST_AUTO_TEST_CASE(a_broken_stream_does_not_go_on_at_another_version) {
  versions_world world("v1.1");
  world.first.script = {kBroken};
  world.second.script = {kRest};
  const auto seen = world.SendRequest("/resumed/");
  BOOST_TEST(world.second.requests.empty());
  BOOST_TEST(seen.broken);
  BOOST_TEST(seen.body == Event(1));
}

BOOST_AUTO_TEST_CASE(a_broken_stream_goes_on_at_another_server_of_its_version) {
  versions_world world("v1");
  world.first.script = {kBroken};
  world.second.script = {kRest};
  const auto seen = world.SendRequest("/resumed/");
  BOOST_TEST(seen.body == Event(1) + Event(2) + "(end)");
}

BOOST_AUTO_TEST_CASE(a_broken_stream_waits_for_a_server_of_its_version) {
  versions_world world("v1.1");
  world.first.script = {kBroken};
  world.second.script = {kRest};
  const auto begun = std::chrono::steady_clock::now();
  const auto seen = world.SendRequest("/resumed/", [&](fake_responder&) {
    const auto server = world.core->servers.Find("i-2");
    const bool is_due = std::chrono::steady_clock::now() - begun > 400ms;
    if (is_due && server->entry.software != "v1")
      server->entry.software = "v1";
  });
  BOOST_TEST(seen.body == Event(1) + Event(2) + "(end)");
}

BOOST_AUTO_TEST_CASE(a_broken_stream_does_not_wait_until_its_caller_gives_up) {
  versions_world world("v1.1");
  world.first.script = {kBroken};
  const auto begun = std::chrono::steady_clock::now();
  const auto seen = world.SendRequest("/resumed/");
  BOOST_TEST(seen.broken);
  const auto took = std::chrono::steady_clock::now() - begun;
  BOOST_TEST((took >= kMaxResumeWait));
  BOOST_TEST((took < kMaxResumeWait + 500ms));
}

// Guards against a wait that ends a millisecond early, since the time that is
// left at the first event is seldom a whole number of milliseconds.
BOOST_AUTO_TEST_CASE(the_wait_of_a_resumed_stream_is_not_rounded_down) {
  const catalog::route route;
  host::routed_request routed;
  routed.route = &route;
  routed.arrived = std::chrono::steady_clock::now();
  routed.deadline = routed.arrived + 2000ms;
  routed.waiting_since = routed.arrived + 500us;
  BOOST_TEST((host::ResumeCutoff(routed) >= routed.arrived + kMaxResumeWait));
}

BOOST_AUTO_TEST_CASE(a_stream_without_an_event_may_begin_at_another_version) {
  versions_world world("v1.1");
  world.first.script = {{kStreamHeader, action::kClose}};
  world.second.script = {{kStreamHeader + Chunk(Event(1)) + Chunk("")}};
  const auto seen = world.SendRequest("/resumed/");
  BOOST_TEST(seen.body == Event(1) + "(end)");
}

BOOST_AUTO_TEST_CASE(a_stream_that_is_taken_up_goes_on_at_its_version) {
  versions_world world("v1.1");
  // The first attempt runs at the second server.
  world.core->servers.Find("i-1")->others.running = 4;
  world.second.script = {{kBroken}, {kRest}};
  world.SendRequest("/resumed/");
  world.core->servers.Find("i-1")->others.running = 0;
  world.core->servers.Find("i-2")->trust = {};
  const auto seen = world.TakeUp("9c41");
  BOOST_TEST(world.first.requests.empty());
  BOOST_TEST(world.second.requests.size() == 2u);
  BOOST_TEST(seen.body == Event(2) + "(end)");
}

BOOST_AUTO_TEST_CASE(a_stream_of_unknown_version_is_refused_at_once) {
  versions_world world("v1.1");
  const auto seen = world.TakeUp("0123");
  BOOST_TEST(seen.status == 503);
  BOOST_TEST(world.first.requests.empty());
  BOOST_TEST(world.second.requests.empty());
}

BOOST_AUTO_TEST_CASE(a_stream_whose_first_attempt_is_not_named_is_refused) {
  versions_world world("v1.1");
  world.added_fields = {{"Last-Event-Id", "1"}};
  const auto seen = world.SendRequest("/resumed/");
  BOOST_TEST(seen.status == 503);
  BOOST_TEST(world.first.requests.empty());
}

// A stream of model "m" that began at the first of two engines, of different
// versions, and is taken up again when all slots of that engine are in use.
struct full_engine_world : versions_world {
  full_engine_world() : versions_world("v1.1") {
    // The selection of an engine has a random part.
    core->random.seed(1);
    model = "m";
    for (const auto& [instance, server] : core->servers.servers())
      server->entry.models = {{model, 1, {}}};
    engine = core->servers.Find("i-1");
    first.script = {kBroken, kRest};
    SendRequest("/resumed/");
    engine->trust = {};
    engine->room = {};
    engine->others.running = engine->entry.slots;
    first.on_request = [this] {
      sent_at = std::chrono::steady_clock::now();
      running_when_sent = engine->others.running;
    };
  }

  std::shared_ptr<host::known_server> engine;
  base::time_point sent_at;
  std::int64_t running_when_sent = 0;
};

// Guards against resumed streams that end with a rejection by an engine known
// to be full.
BOOST_AUTO_TEST_CASE(a_stream_that_is_taken_up_waits_for_room_at_its_version) {
  full_engine_world world;
  const auto begun = std::chrono::steady_clock::now();
  world.added_fields = {{"Last-Event-Id", "1"}, {"Resumes", "9c41"}};
  const auto seen = world.SendRequest("/resumed/", [&](fake_responder&) {
    if (std::chrono::steady_clock::now() - begun > 200ms)
      world.engine->others.running = world.engine->entry.slots - 1;
  });
  BOOST_TEST(seen.body == Event(2) + "(end)");
  BOOST_TEST(world.running_when_sent < world.engine->entry.slots);
  BOOST_TEST(world.second.requests.empty());
}

BOOST_AUTO_TEST_CASE(a_stream_that_is_taken_up_tries_a_full_engine_at_last) {
  full_engine_world world;
  const auto begun = std::chrono::steady_clock::now();
  const auto seen = world.TakeUp("9c41");
  BOOST_TEST(seen.body == Event(2) + "(end)");
  BOOST_TEST((world.sent_at - begun >= kMaxResumeWait));
}

BOOST_AUTO_TEST_CASE(a_stream_that_is_taken_up_uses_the_queue_of_its_engine) {
  full_engine_world world;
  decisions::RecordAccepted(world.engine->room, world.engine->entry.slots + 2);
  const auto begun = std::chrono::steady_clock::now();
  const auto seen = world.TakeUp("9c41");
  BOOST_TEST(seen.body == Event(2) + "(end)");
  BOOST_TEST((world.sent_at - begun < kMaxResumeWait / 2));
}

// Guards against resumed streams that are refused long before their callers
// give up.
BOOST_AUTO_TEST_CASE(a_stream_that_is_taken_up_waits_as_long_as_its_caller) {
  full_engine_world world;
  const auto begun = std::chrono::steady_clock::now();
  world.added_fields = {{"Last-Event-Id", "1"}, {"Resumes", "9c41"}};
  const auto seen = world.SendRequest("/resumed/", [&](fake_responder&) {
    if (std::chrono::steady_clock::now() - begun > 1300ms)
      world.engine->others.running = world.engine->entry.slots - 1;
  });
  BOOST_TEST(seen.body == Event(2) + "(end)");
  BOOST_TEST(world.running_when_sent < world.engine->entry.slots);
}

// Guards against resumed streams that lose their place in the queue of a full
// engine because the objective of new streams has passed.
BOOST_AUTO_TEST_CASE(a_queued_stream_is_not_abandoned_without_another_engine) {
  full_engine_world world;
  world.engine->others.running = 0;
  world.first.holds_responses = true;
  const auto begun = std::chrono::steady_clock::now();
  world.added_fields = {{"Last-Event-Id", "1"}, {"Resumes", "9c41"}};
  const auto seen = world.SendRequest("/resumed/", [&](fake_responder&) {
    if (std::chrono::steady_clock::now() - begun > 1100ms)
      world.first.ReleaseResponses();
  });
  BOOST_TEST(seen.body == Event(2) + "(end)");
}

// Guards against resumed streams that are refused after one rejection.
BOOST_AUTO_TEST_CASE(a_rejected_stream_returns_to_its_engine) {
  full_engine_world world;
  world.engine->others.running = 1;
  world.first.script = {{kNotRunResponse}, kRest};
  const auto seen = world.TakeUp("9c41");
  BOOST_TEST(seen.body == Event(2) + "(end)");
}

// Guards against resumed streams that are refused because the budget has no
// retry at the moment of a rejection.
BOOST_AUTO_TEST_CASE(a_rejected_stream_waits_for_a_retry) {
  full_engine_world world;
  world.engine->others.running = 1;
  world.first.script = {{kNotRunResponse}, kRest};
  const auto begun = std::chrono::steady_clock::now();
  while (world.core->retries.TryAcquire("s", begun)) {
  }
  world.added_fields = {{"Last-Event-Id", "1"}, {"Resumes", "9c41"}};
  const auto seen = world.SendRequest("/resumed/", [&](fake_responder&) {
    const auto now = std::chrono::steady_clock::now();
    if (now - begun > 300ms)
      world.core->retries.RecordRequest("s", now);
  });
  BOOST_TEST(seen.body == Event(2) + "(end)");
}

// Guards against resumed streams that are refused after attempts at engines
// that have just ended.
BOOST_AUTO_TEST_CASE(attempts_without_a_connection_do_not_count) {
  full_engine_world world;
  world.engine->others.running = 1;
  // The others are selected first.
  world.engine->others.unread_tokens = 600;
  for (const std::string instance : {"i-3", "i-4", "i-5", "i-6", "i-7"}) {
    world.AddServer(instance, base::endpoint{"127.0.0.1", 1});
    const auto server = world.core->servers.Find(instance);
    server->entry.software = "v1";
    server->entry.models = world.engine->entry.models;
  }
  const auto seen = world.TakeUp("9c41");
  BOOST_TEST(seen.body == Event(2) + "(end)");
}

// A host whose engines have a queue, without the feature.
struct queued_engine_world : full_engine_world {
  queued_engine_world() {
    core->acquire_engine = [this](host::engine_place_request request)
        -> boost::asio::awaitable<host::engine_place_result> {
      asked.push_back(std::move(request));
      host::engine_place_result answer;
      answer.verdict = verdict;
      answer.retry_after = 350ms;
      if (verdict == host::engine_place_verdict::kGranted) {
        answer.place = std::make_shared<host::slot_handle>(
            "i-1", [](host::slot_outcome, std::chrono::microseconds) {});
      }
      co_return answer;
    };
  }

  host::engine_place_verdict verdict = host::engine_place_verdict::kGranted;
  std::vector<host::engine_place_request> asked;
};

// Guards against resumed streams that pass the queue by and are sent to full
// engines.
BOOST_AUTO_TEST_CASE(a_stream_that_is_taken_up_asks_the_owner_for_room) {
  queued_engine_world world;
  const auto seen = world.TakeUp("9c41");
  BOOST_TEST(seen.body == Event(2) + "(end)");
  BOOST_REQUIRE_EQUAL(world.asked.size(), 1u);
  BOOST_TEST(world.asked.front().resumes);
  BOOST_TEST((world.asked.front().left > 1000ms));
  BOOST_TEST(world.asked.front().avoid == std::vector<std::string>{"i-2"},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(no_owner_is_asked_for_a_stream_while_there_is_room) {
  queued_engine_world world;
  world.engine->others.running = 0;
  world.TakeUp("9c41");
  BOOST_TEST(world.asked.empty());
}

// Guards against callers that wait although the owner knows that no engine will
// have room in time.
BOOST_AUTO_TEST_CASE(a_stream_without_hope_is_refused_at_once) {
  queued_engine_world world;
  world.verdict = host::engine_place_verdict::kRefused;
  const auto begun = std::chrono::steady_clock::now();
  const auto seen = world.TakeUp("9c41");
  BOOST_TEST(seen.status == 503);
  BOOST_TEST(std::string(seen.fields["Retry-After"]) != "");
  BOOST_TEST((std::chrono::steady_clock::now() - begun < 500ms));
}

// Guards against new streams that take the places for which others wait.
BOOST_AUTO_TEST_CASE(new_requests_ask_the_owner_while_streams_wait) {
  queued_engine_world world;
  world.engine->others.running = 0;
  world.core->servers.Find("i-2")->others.running = 4;
  world.engine->others.queued_tokens = 1;
  world.SendRequest("/resumed/");
  BOOST_REQUIRE_EQUAL(world.asked.size(), 1u);
  BOOST_TEST(!world.asked.front().resumes);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
