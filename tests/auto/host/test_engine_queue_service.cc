// SPDX-License-Identifier: MIT
// Queues for engines, between hosts that ask for an engine and the owner of the
// queue, and what callers get.
#include "host/process/engine_queue_client.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "queue_world.h"

namespace {

using namespace valeledge;
using namespace valeledge::test;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(engine_queue_services)

BOOST_AUTO_TEST_CASE(an_idle_engine_is_granted_at_once) {
  queue_world world;
  const auto asked = world.Ask(2, queue_world::Request(1, 800ms));
  BOOST_TEST((world.Await(asked) == engine_place_verdict::kGranted));
  BOOST_TEST(asked->answer->place->server() == "e1");
  // The owner's own requests are queued with those of the others.
  const auto own = world.AskQueued(0, queue_world::Request(1, 800ms), 1);
  // A place that is not used is granted to the next request.
  asked->answer->place.reset();
  BOOST_TEST((world.Await(own) == engine_place_verdict::kGranted));
  BOOST_TEST(world.hosts[0].ends == 1);
}

// Guards against requests that are sent in the order of their hosts' timers.
BOOST_AUTO_TEST_CASE(requests_of_all_hosts_are_granted_by_priority) {
  queue_world world;
  world.ReportLoad("e1", 4, 8000);
  const auto patient = world.AskQueued(2, queue_world::Request(2, 8s), 1);
  const auto urgent = world.AskQueued(1, queue_world::Request(0, 2s), 2);
  world.ReportLoad("e1", 4, 0);
  BOOST_TEST((world.Await(urgent) == engine_place_verdict::kGranted));
  BOOST_TEST(!patient->answer);
  // The report shows the granted request, and then that it has been read.
  world.ReportLoad("e1", 5, kPrompt);
  world.ReportLoad("e1", 5, 0);
  BOOST_TEST((world.Await(patient) == engine_place_verdict::kGranted));
}

// Guards against newcomers elsewhere that see a free engine while requests wait
// for it, and against hosts of older builds that overtake those.
BOOST_AUTO_TEST_CASE(other_hosts_see_the_queue) {
  queue_world world;
  world.ReportLoad("e1", 4, 8000);
  const auto waiting = world.AskQueued(2, queue_world::Request(1, 2s), 1);
  const auto& reported = world.hosts[0].reported;
  BOOST_REQUIRE_EQUAL(reported.size(), 1u);
  BOOST_TEST(reported.front().queued_tokens == kPrompt);
  // An older build reads it as tokens that were sent.
  BOOST_TEST(reported.front().unread_tokens == kPrompt);
  auto& servers = world.hosts[1].core->servers;
  servers.UpdateLoads("10.0.0.1", reported);
  BOOST_TEST(servers.Find("e1")->HasQueue());
  BOOST_TEST(servers.Find("e1")->others.unread_tokens == 8000);
  // The periodic report contains it as well, and the owner's end clears it.
  BOOST_TEST(world.hosts[0].core->servers.OwnLoads().size() == 1u);
  servers.ForgetHost("10.0.0.1");
  BOOST_TEST(!servers.Find("e1")->HasQueue());
}

// Guards against hosts that receive no direct reports and see free engines, and
// against engines that seem to have a queue for ever.
BOOST_AUTO_TEST_CASE(all_hosts_are_told_which_engines_have_a_queue) {
  queue_world world;
  std::vector<std::int64_t> told;
  world.hosts[0].core->queues_changed = [&](const auto& servers) {
    for (const auto& each : servers)
      told.push_back(each->own.queued_tokens);
  };
  world.ReportLoad("e1", 4, 8000);
  const auto asked = world.AskQueued(2, queue_world::Request(1, 2s), 1);
  BOOST_TEST(told == std::vector<std::int64_t>{kPrompt});
  world.ReportLoad("e1", 4, 0);
  world.Await(asked);
  // The queue is shown for a second.
  world.hosts[0].owner->Tick(std::chrono::steady_clock::now());
  BOOST_TEST(told.size() == 1u);
  world.hosts[0].owner->Tick(std::chrono::steady_clock::now() + 2s);
  BOOST_REQUIRE_EQUAL(told.size(), 2u);
  BOOST_TEST(told.back() == 0);
}

BOOST_AUTO_TEST_CASE(requests_that_cannot_be_in_time_are_refused_at_once) {
  queue_world world;
  world.ReportLoad("e1", 4, 40'000);
  const auto asked = world.Ask(2, queue_world::Request(1, 500ms));
  BOOST_TEST((world.Await(asked) == engine_place_verdict::kRefused));
  BOOST_TEST(asked->answer->retry_after.count() >= 900);
  BOOST_TEST(world.Waiting() == 0);
}

// Guards against capacity that is reserved for a caller that has disconnected.
BOOST_AUTO_TEST_CASE(the_place_of_a_withdrawn_request_is_released) {
  queue_world world;
  world.ReportLoad("e1", 4, 8000);
  const auto gone = world.AskQueued(2, queue_world::Request(0, 2s), 1);
  const auto next = world.AskQueued(1, queue_world::Request(1, 2s), 2);
  gone->withdrawn = true;
  BOOST_TEST((world.Await(gone) == engine_place_verdict::kWithdrawn));
  world.AwaitWaiting(1);
  world.ReportLoad("e1", 4, 0);
  BOOST_TEST((world.Await(next) == engine_place_verdict::kGranted));
}

// The owner was killed: connections to it fail.
BOOST_AUTO_TEST_CASE(the_next_owner_is_asked_after_one_was_killed) {
  queue_world world;
  world.hosts[0].state = queue_world::reachability::kFails;
  const auto first = world.Ask(2, queue_world::Request(1, 800ms));
  BOOST_TEST((world.Await(first) == engine_place_verdict::kNoOwner));
  BOOST_TEST(world.hosts[2].suspicions == 1);
  const auto second = world.Ask(2, queue_world::Request(1, 800ms));
  BOOST_TEST((world.Await(second) == engine_place_verdict::kGranted));
}

// The owner was suspended, or is partitioned, while a request waits there.
// Guards against a request that waits for its whole time.
BOOST_AUTO_TEST_CASE(a_silent_owner_is_given_up_within_250_ms) {
  queue_world world;
  world.ReportLoad("e1", 4, 8000);
  const auto waiting = world.AskQueued(2, queue_world::Request(1, 8s), 1);
  const auto silent_at = std::chrono::steady_clock::now();
  world.hosts[0].state = queue_world::reachability::kSilent;
  BOOST_TEST((world.Await(waiting) == engine_place_verdict::kNoOwner));
  // One interval of the check is added to 250 ms; the rest is for the machine.
  BOOST_TEST((waiting->answered_at - silent_at).count() <= 600'000'000);
  const auto next = world.Ask(2, queue_world::Request(1, 8s));
  world.ReportLoad("e1", 4, 0);
  BOOST_TEST((world.Await(next) == engine_place_verdict::kGranted));
  BOOST_TEST(world.hosts[2].suspicions == 1);
}

// Guards against an owner that is given up because its queue is long.
BOOST_AUTO_TEST_CASE(an_owner_that_answers_probes_is_not_given_up) {
  queue_world world;
  world.ReportLoad("e1", 4, 8000);
  const auto waiting = world.Ask(2, queue_world::Request(1, 900ms));
  BOOST_TEST((world.Await(waiting) == engine_place_verdict::kGranted));
  BOOST_TEST(world.hosts[2].suspicions == 0);
}

// A partition leaves two owners. Guards against more than one excess request
// for each engine and owner before the next load report.
BOOST_AUTO_TEST_CASE(two_owners_grant_one_request_each) {
  queue_world world;
  world.hosts[0].state = queue_world::reachability::kFails;
  world.Await(world.Ask(2, queue_world::Request(1, 800ms)));
  std::vector<std::shared_ptr<queue_world::pending>> asked;
  for (int i = 0; i < 4; ++i) {
    asked.push_back(world.Ask(0, queue_world::Request(1, 8s)));
    asked.push_back(world.Ask(2, queue_world::Request(1, 8s)));
  }
  world.RunUntil([&] {
    return std::ranges::count_if(asked, [](const auto& each) {
             return each->answer.has_value();
           }) == 2;
  });
  BOOST_TEST((*asked[0]->answer).place->server() == "e1");
  BOOST_TEST((*asked[1]->answer).place->server() == "e1");
}

// Guards against grants for an engine that has ended.
BOOST_AUTO_TEST_CASE(requests_move_on_after_their_engine_has_ended) {
  queue_world world;
  world.ReportLoad("e1", 4, 8000);
  const auto waiting = world.AskQueued(2, queue_world::Request(1, 2s), 1);
  world.AddEngine("e2");
  for (auto& each : world.hosts)
    each.core->servers.Remove("e1", false, 0ms,
                              std::chrono::steady_clock::now());
  BOOST_TEST((world.Await(waiting) == engine_place_verdict::kGranted));
  BOOST_TEST(waiting->answer->place->server() == "e2");
}

// The store is unavailable: entries lapse and are used for their grace period.
BOOST_AUTO_TEST_CASE(an_unavailable_store_has_no_effect) {
  queue_world world;
  for (auto& each : world.hosts) {
    each.core->is_stale = [] { return true; };
    each.core->servers.Remove("e1", true, 10s,
                              std::chrono::steady_clock::now());
  }
  const auto asked = world.Ask(2, queue_world::Request(1, 800ms));
  BOOST_TEST((world.Await(asked) == engine_place_verdict::kGranted));
}

// A host of an older build does not know the question.
BOOST_AUTO_TEST_CASE(an_owner_of_an_older_build_leaves_the_choice_to_the_host) {
  queue_world world;
  world.hosts[0].state = queue_world::reachability::kOlderBuild;
  const auto asked = world.Ask(2, queue_world::Request(1, 800ms));
  BOOST_TEST((world.Await(asked) == engine_place_verdict::kNoOwner));
}

BOOST_AUTO_TEST_CASE(nothing_is_queued_if_the_feature_is_off) {
  queue_world world;
  world.configuration.services.front().mixed_urgency = false;
  world.Configure();
  const auto asked = world.Ask(2, queue_world::Request(1, 800ms));
  BOOST_TEST((world.Await(asked) == engine_place_verdict::kNoOwner));
  const auto& server = *world.hosts[2].core->servers.Find("e1");
  BOOST_TEST(!world.hosts[2].client->OwnerOf(server).has_value());
}

// Guards against resumed streams that only services with the feature queue, and
// against new requests that overtake them there.
BOOST_AUTO_TEST_CASE(streams_that_are_resumed_are_queued_without_the_feature) {
  queue_world world;
  world.configuration.services.front().mixed_urgency = false;
  world.Configure();
  world.ReportLoad("e1", 32, 0);
  auto request = queue_world::Request(1, 3s);
  request.resumes = true;
  const auto resumed = world.AskQueued(2, std::move(request), 1);
  const auto other = world.AskQueued(1, queue_world::Request(0, 3s), 2);
  const auto& server = *world.hosts[2].core->servers.Find("e1");
  BOOST_TEST(world.hosts[0].core->servers.Find("e1")->HasQueue());
  world.ReportLoad("e1", 31, 0);
  BOOST_TEST((world.Await(resumed) == engine_place_verdict::kGranted));
  BOOST_TEST(!other->answer.has_value());
  BOOST_TEST(!world.hosts[2].client->OwnerOf(server).has_value());
}

// Guards against requests that wait, and engines that seem to have a queue,
// after a configuration has ended the feature.
BOOST_AUTO_TEST_CASE(a_queue_ends_with_the_feature) {
  queue_world world;
  world.ReportLoad("e1", 4, 8000);
  const auto waiting = world.AskQueued(2, queue_world::Request(1, 8s), 1);
  world.configuration.services.front().mixed_urgency = false;
  world.Configure();
  BOOST_TEST((world.Await(waiting) == engine_place_verdict::kNoOwner));
  world.hosts[0].owner->Tick(std::chrono::steady_clock::now() + 2s);
  BOOST_TEST(!world.hosts[0].core->servers.Find("e1")->HasQueue());
}

// Hosts without measurements state a time per token that is too high. Guards
// against refusals because of it, and against a slow model that is taken for a
// fast one.
BOOST_AUTO_TEST_CASE(the_lowest_recent_token_time_is_used) {
  queue_world world;
  world.ReportLoad("e1", 4, 20'000);
  const auto measured = world.AskQueued(2, queue_world::Request(1, 2s), 1);
  auto request = queue_world::Request(1, 2s);
  request.token_time = 0.055ms;
  const auto unmeasured = world.AskQueued(1, request, 2);
  // The same is refused if no host has measured the model.
  queue_world other;
  other.ReportLoad("e1", 4, 20'000);
  request.token_time = 0.11ms;
  BOOST_TEST(
      (other.Await(other.Ask(1, request)) == engine_place_verdict::kRefused));
}

// Guards against values that other hosts cannot have meant.
BOOST_AUTO_TEST_CASE(bad_values_are_counted_and_treated_as_absent) {
  queue_world world;
  for (const std::int64_t bad : {std::int64_t{-1}, std::int64_t{1} << 60}) {
    auto request = queue_world::Request(1, 800ms);
    request.tokens_to_read = bad;
    BOOST_TEST(
        (world.Await(world.Ask(2, request)) == engine_place_verdict::kNoOwner));
    request = queue_world::Request(1, std::chrono::milliseconds(bad));
    BOOST_TEST(
        (world.Await(world.Ask(2, request)) == engine_place_verdict::kNoOwner));
  }
  BOOST_TEST(world.CountOf(0, "valeledge_engine_queue_bad_values_total",
                           "question") == 4);
  auto endless = queue_world::Request(1, 800ms);
  endless.expected_events = 1e15;
  BOOST_TEST(
      (world.Await(world.Ask(2, endless)) == engine_place_verdict::kGranted));
  BOOST_TEST(world.CountOf(0, "valeledge_engine_queue_bad_values_total",
                           "expected_events") == 1);
  // A request without a valid priority is the last one.
  world.ReportLoad("e1", 4, 8000);
  const auto unknown = world.AskQueued(2, queue_world::Request(-7, 5s), 1);
  const auto known = world.AskQueued(2, queue_world::Request(3, 5s), 2);
  world.ReportLoad("e1", 4, 0);
  BOOST_TEST((world.Await(known) == engine_place_verdict::kGranted));
  BOOST_TEST(!unknown->answer);
  BOOST_TEST(world.CountOf(0, "valeledge_engine_queue_bad_values_total",
                           "priority") == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
