// SPDX-License-Identifier: MIT
// Requests that wait for an engine, on a host that asks the owner of the queue.
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/test/unit_test.hpp>

#include "relay_world.h"

namespace {

using namespace valeledge;
using namespace valeledge::test;
using namespace std::chrono_literals;
using host::engine_place_verdict;

// A host with an engine that has prompts to read, and a scripted owner.
struct search_world : relay_world {
  search_world() {
    AddEngine(100ms);
    core->servers.SetStreamSeparation(host::feature_mode::kAuto);
    configuration.services.front().mixed_urgency = true;
    auto entry = core->servers.Find("i-1")->entry;
    entry.slots = 32;
    entry.models.push_back({"m", 1, {}});
    core->servers.Put(entry, std::chrono::steady_clock::now());
    ReportLoad(4000);
    core->acquire_engine = [this](host::engine_place_request request)
        -> boost::asio::awaitable<host::engine_place_result> {
      asked.push_back(std::move(request));
      co_return answer;
    };
  }

  // Adds another engine that holds the model.
  decisions::server_health& AddSecondEngine() {
    auto entry = core->servers.Find("i-1")->entry;
    entry.instance = "i-2";
    core->servers.Put(entry, std::chrono::steady_clock::now());
    return core->servers.Find("i-2")->trust;
  }

  void ReportLoad(std::int32_t unread_tokens) {
    wire::server_load load;
    load.server = host::KeyOf("i-1");
    load.running = unread_tokens > 0 ? 1 : 0;
    load.unread_tokens = unread_tokens;
    core->servers.UpdateLoads("other", {load});
  }

  void Grant(const std::string& instance) {
    answer.verdict = engine_place_verdict::kGranted;
    answer.place = std::make_shared<host::slot_handle>(
        instance, [this](host::slot_outcome, std::chrono::microseconds took) {
          returned += took.count() == 0 ? 1 : 0;
        });
  }

  std::vector<host::engine_place_request> asked;
  host::engine_place_result answer;
  int returned = 0;
};

BOOST_AUTO_TEST_SUITE(engine_queue_searches)

BOOST_AUTO_TEST_CASE(a_request_that_has_to_wait_asks_the_owner) {
  search_world world;
  world.Grant("i-1");
  const auto seen = world.SendRequest("/safe/");
  BOOST_TEST(seen.status == 200);
  BOOST_REQUIRE_EQUAL(world.asked.size(), 1u);
  BOOST_TEST(world.asked.front().model == "m");
  BOOST_TEST(world.asked.front().best == "i-1");
  BOOST_TEST(world.asked.front().left.count() <= 1000);
  world.answer.place.reset();
  BOOST_TEST(world.returned == 0);
}

// Guards against messages while there is capacity.
BOOST_AUTO_TEST_CASE(no_owner_is_asked_while_there_is_capacity) {
  search_world world;
  world.ReportLoad(0);
  BOOST_TEST(world.SendRequest("/safe/").status == 200);
  BOOST_TEST(world.asked.empty());
  // Others wait for the engine.
  world.core->servers.Find("i-1")->others.queued_tokens = 1;
  world.Grant("i-1");
  BOOST_TEST(world.SendRequest("/safe/").status == 200);
  BOOST_TEST(world.asked.size() == 1u);
}

// Guards against callers that are told a time that has nothing to do with the
// queue.
BOOST_AUTO_TEST_CASE(a_refused_caller_is_told_when_there_is_capacity) {
  search_world world;
  world.answer.verdict = engine_place_verdict::kRefused;
  world.answer.retry_after = 350ms;
  const auto seen = world.SendRequest("/safe/");
  BOOST_TEST(seen.status == 503);
  BOOST_TEST(world.first.requests.empty());
  BOOST_TEST(std::string(seen.fields["Retry-After"]) != "");
}

// Without an owner the request waits on its host, as without the feature.
BOOST_AUTO_TEST_CASE(without_an_owner_the_host_decides) {
  search_world world;
  const auto seen = world.SendRequest("/safe/", [&](fake_responder&) {
    if (!world.asked.empty())
      world.ReportLoad(0);
  });
  BOOST_TEST(seen.status == 200);
  BOOST_TEST(world.asked.size() == 1u);
}

// Guards against a place at an engine that this host may not use.
BOOST_AUTO_TEST_CASE(a_place_that_cannot_be_used_is_returned) {
  search_world world;
  world.Grant("i-9");
  const auto seen = world.SendRequest("/safe/", [&](fake_responder&) {
    if (!world.asked.empty())
      world.ReportLoad(0);
  });
  BOOST_TEST(seen.status == 200);
  world.answer.place.reset();
  BOOST_TEST(world.returned == 1);
}

// An owner that answers only when the request has stopped waiting.
void WaitForWithdrawal(search_world& world) {
  world.core->acquire_engine = [&world](host::engine_place_request request)
      -> boost::asio::awaitable<host::engine_place_result> {
    world.asked.push_back(request);
    boost::asio::steady_timer timer(world.context);
    while (!request.is_withdrawn()) {
      timer.expires_after(1ms);
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
    host::engine_place_result withdrawn;
    withdrawn.verdict = engine_place_verdict::kWithdrawn;
    co_return withdrawn;
  };
}

// Guards against a place that is kept for a caller that has disconnected.
BOOST_AUTO_TEST_CASE(a_request_is_withdrawn_when_its_caller_disconnects) {
  search_world world;
  WaitForWithdrawal(world);
  world.SendRequest("/safe/", [&](fake_responder& responder) {
    if (!world.asked.empty())
      responder.Disconnect();
  });
  BOOST_TEST(world.asked.size() == 1u);
  BOOST_TEST(world.first.requests.empty());
}

// Guards against a request that waits longer than its host can answer for.
BOOST_AUTO_TEST_CASE(a_request_is_withdrawn_when_its_host_stops) {
  search_world world;
  WaitForWithdrawal(world);
  const auto seen = world.SendRequest("/safe/", [&](fake_responder&) {
    if (!world.asked.empty())
      world.core->stop = StopAt(std::chrono::steady_clock::now());
  });
  BOOST_TEST(seen.status == 503);
  BOOST_TEST(world.first.requests.empty());
}

// Guards against a rejection that leaves its caller too little time to come
// back, and against a late response for one that has enough.
BOOST_AUTO_TEST_CASE(a_caller_that_cannot_come_back_is_not_rejected) {
  search_world world;
  world.answer.verdict = engine_place_verdict::kRefused;
  world.answer.retry_after = 350ms;
  BOOST_TEST(world.SendRequest("/safe/").status == 503);
  world.added_fields.emplace_back("X-Deadline-Ms", "1300");
  const auto seen = world.SendRequest("/safe/", [&](fake_responder&) {
    if (world.asked.size() > 1)
      world.ReportLoad(0);
  });
  BOOST_TEST(seen.status == 200);
  BOOST_REQUIRE_EQUAL(world.asked.size(), 2u);
  // The owner learns which request may be refused, and when its caller gives
  // up.
  BOOST_TEST(!world.asked.front().sent_anyway);
  BOOST_TEST(world.asked.front().caller_left.has_value());
  BOOST_TEST(world.asked.back().sent_anyway);
  BOOST_TEST((world.asked.back().caller_left.value() <= 1300ms));
  // The response of a request that cannot be refused may be late already.
  BOOST_TEST(world.asked.front().expected_events.has_value());
  BOOST_TEST(!world.asked.back().expected_events.has_value());
}

// Guards against a caller with a deadline of its own that is taken for one that
// was refused before.
BOOST_AUTO_TEST_CASE(first_tries_and_repeats_are_treated_alike) {
  for (const std::string deadline : {"2000", "1700"}) {
    search_world world;
    world.answer.verdict = engine_place_verdict::kRefused;
    world.answer.retry_after = 350ms;
    world.added_fields.emplace_back("X-Deadline-Ms", deadline);
    BOOST_TEST(world.SendRequest("/safe/").status == 503);
    BOOST_TEST(!world.asked.front().sent_anyway);
  }
}

// Guards against a request that asks again and takes what is reserved for
// another caller: it is recognized by its own deadline.
BOOST_AUTO_TEST_CASE(each_question_states_the_deadline_of_its_caller) {
  search_world world;
  world.Grant("i-1");
  world.core->acquire_engine = [&world](host::engine_place_request request)
      -> boost::asio::awaitable<host::engine_place_result> {
    world.asked.push_back(std::move(request));
    host::engine_place_result withdrawn;
    withdrawn.verdict = engine_place_verdict::kWithdrawn;
    co_return world.asked.size() == 1 ? withdrawn : world.answer;
  };
  world.added_fields.emplace_back("X-Deadline-Ms", "1300");
  BOOST_TEST(world.SendRequest("/safe/").status == 200);
  BOOST_REQUIRE_EQUAL(world.asked.size(), 2u);
  BOOST_TEST((world.asked.front().caller_left.value() <= 1300ms));
  BOOST_TEST((world.asked.back().caller_left.value() <=
              world.asked.front().caller_left.value()));
}

// Guards against a request that waits while later ones are granted at an engine
// that was full for a moment when it asked.
BOOST_AUTO_TEST_CASE(an_engine_that_was_full_is_not_avoided_while_waiting) {
  search_world world;
  world.Grant("i-1");
  decisions::server_health& full = world.AddSecondEngine();
  const auto now = std::chrono::steady_clock::now();
  decisions::RecordServerFull(full, now);
  BOOST_TEST(!decisions::AllowsRequests(full, now));
  BOOST_TEST(world.SendRequest("/safe/").status == 200);
  BOOST_REQUIRE_EQUAL(world.asked.size(), 1u);
  BOOST_TEST(world.asked.front().avoid.empty());
}

// The same for an engine that has failed, whose suspension lasts longer.
BOOST_AUTO_TEST_CASE(a_suspended_engine_is_avoided_while_waiting) {
  search_world world;
  world.Grant("i-1");
  const auto now = std::chrono::steady_clock::now();
  decisions::RecordFailure(world.AddSecondEngine(), true, now, now);
  BOOST_TEST(world.SendRequest("/safe/").status == 200);
  BOOST_REQUIRE_EQUAL(world.asked.size(), 1u);
  BOOST_TEST(world.asked.front().avoid.size() == 1u);
}

// Guards against the reservation of another caller being redeemed: the host
// that relays the request may have asked before.
BOOST_AUTO_TEST_CASE(relayed_requests_state_the_deadline_of_their_caller) {
  search_world world;
  world.Grant("i-1");
  world.origin = host::request_origin::kPeer;
  world.added_fields.emplace_back("X-Deadline-Ms", "1300");
  BOOST_TEST(world.SendRequest("/safe/").status == 200);
  BOOST_REQUIRE_EQUAL(world.asked.size(), 1u);
  BOOST_TEST((world.asked.front().caller_left.value() <= 1300ms));
}

BOOST_AUTO_TEST_CASE(no_deadline_is_stated_if_reservations_are_off) {
  search_world world;
  world.core->settings.features.return_reservations = host::feature_mode::kOff;
  world.Grant("i-1");
  world.added_fields.emplace_back("X-Deadline-Ms", "1300");
  BOOST_TEST(world.SendRequest("/safe/").status == 200);
  BOOST_REQUIRE_EQUAL(world.asked.size(), 1u);
  BOOST_TEST(!world.asked.front().caller_left.has_value());
}

BOOST_AUTO_TEST_CASE(no_events_are_stated_if_the_separation_is_off) {
  search_world world;
  world.core->servers.SetStreamSeparation(host::feature_mode::kOff);
  world.Grant("i-1");
  BOOST_TEST(world.SendRequest("/safe/").status == 200);
  BOOST_REQUIRE_EQUAL(world.asked.size(), 1u);
  BOOST_TEST(!world.asked.front().expected_events.has_value());
}

BOOST_AUTO_TEST_CASE(the_queue_is_not_used_if_the_feature_is_off) {
  search_world world;
  world.core->settings.features.engine_queues = host::feature_mode::kOff;
  const auto seen = world.SendRequest(
      "/safe/", [&](fake_responder&) { world.ReportLoad(0); });
  BOOST_TEST(seen.status == 200);
  BOOST_TEST(world.asked.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
