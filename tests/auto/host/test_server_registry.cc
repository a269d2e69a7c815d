// SPDX-License-Identifier: MIT
#include "host/process/server_registry.h"

#include <cmath>
#include <set>
#include <string>

#include <boost/test/unit_test.hpp>

#include "host/process/prompt_history.h"
#include "host/process/separation_reports.h"

namespace {

using namespace valeledge;
using namespace std::chrono_literals;

// Two engines of one service that hold model m, and a request for it.
struct fixture {
  fixture() {
    service.name = "s";
    service.engines.token_memory = 100'000;
    for (const std::string instance : {"i-1", "i-2"}) {
      catalog::backend_server entry;
      entry.instance = instance;
      entry.service = "s";
      entry.zone = "z";
      entry.slots = 8;
      entry.models.push_back({"m", 1, {"a1"}});
      registry.Put(entry, now);
    }
    head.model = "m";
    query.service = "s";
    query.model = head.model;
    query.head = &head;
    query.avoid = &avoid;
    query.weight.prompt_tokens = 1000;
    query.weight.time_per_token =
        std::chrono::duration<double, std::milli>(0.05);
  }

  std::string Choose() {
    const auto choice = registry.Choose(query, service, now, random);
    return choice ? choice->server->entry.instance : std::string("none");
  }

  host::server_registry registry{"z"};
  catalog::service service;
  host::request_metadata head;
  host::server_query query;
  std::vector<std::string> avoid;
  base::time_point now = std::chrono::steady_clock::now();
  std::mt19937_64 random{3};
};

wire::server_load Load(const std::string& instance, std::int32_t unread) {
  wire::server_load load;
  load.server = host::KeyOf(instance);
  load.running = 1;
  load.unread_tokens = unread;
  return load;
}

BOOST_AUTO_TEST_SUITE(server_registry)

// Three servers, of which the idle one is the only one of its version.
struct versions_fixture : fixture {
  versions_fixture() {
    catalog::backend_server entry = registry.Find("i-2")->entry;
    entry.instance = "i-3";
    entry.software = "v1.1";
    registry.Put(entry, now);
    registry.ReplaceLoads("host-2", {Load("i-1", 800), Load("i-2", 800)});
  }
};

BOOST_AUTO_TEST_CASE(a_required_version_restricts_the_choice) {
  versions_fixture setup;
  const std::string required = "v1.1";
  setup.query.software = &required;
  setup.avoid = {"i-3"};
  BOOST_TEST(setup.Choose() == "none");
  BOOST_TEST(setup.registry.AnyHolds(setup.query, setup.now));
  BOOST_TEST(!setup.registry.AnyEligible(setup.query, setup.now));
}

BOOST_AUTO_TEST_CASE(versions_of_removed_servers_are_known_for_a_while) {
  versions_fixture setup;
  setup.registry.Remove("i-3", false, 0ms, setup.now);
  using versions = std::set<std::string>;
  BOOST_TEST(
      (setup.registry.SoftwareSince("s", setup.now) == versions{"", "v1.1"}));
  BOOST_TEST(
      (setup.registry.SoftwareSince("s", setup.now + 1s) == versions{""}));
  BOOST_TEST(setup.registry.SoftwareSince("other", setup.now).empty());
}

// An engine of which this host has seen one late response, and one that all
// hosts together have found to be slow.
struct estimates_fixture : fixture {
  estimates_fixture() {
    service.mixed_urgency = true;
    registry.ReplaceLoads("host-2", {Load("i-1", 4000), Load("i-2", 4000)});
    registry.Find("i-1")->trust.slowdown = 3;
    decisions::engine_estimate& slow = registry.Find("i-2")->estimate;
    slow.log_factor = std::log(2.0);
    slow.weight = 16;
    slow.updated_at = now;
  }
  host::server_choice ChoiceOf(const std::string& instance) {
    avoid = {instance == "i-1" ? "i-2" : "i-1"};
    return *registry.Choose(query, service, now, random);
  }
};

BOOST_AUTO_TEST_CASE(shared_estimates_replace_the_slowdown_seen_by_one_host) {
  estimates_fixture setup;
  BOOST_TEST(setup.Choose() == "i-2");
  setup.registry.SetSharedEstimates(host::feature_mode::kAuto);
  BOOST_TEST(setup.Choose() == "i-1");
}

// The expected time that is compared with the actual one must not contain the
// factor, or the estimate would approach 1 for any engine.
BOOST_AUTO_TEST_CASE(expected_times_and_backlogs_contain_the_shared_factor) {
  estimates_fixture setup;
  setup.registry.SetSharedEstimates(host::feature_mode::kAuto);
  const auto usual = setup.ChoiceOf("i-1");
  const auto slow = setup.ChoiceOf("i-2");
  BOOST_TEST(slow.unscaled.count() == usual.unscaled.count(),
             boost::test_tools::tolerance(1e-9));
  BOOST_TEST(usual.expected.count() == usual.unscaled.count());
  const double factor =
      decisions::CurrentFactor(slow.server->estimate, setup.now);
  BOOST_TEST(factor > 1.8);
  BOOST_TEST(slow.expected / slow.unscaled == factor,
             boost::test_tools::tolerance(1e-9));
  BOOST_TEST(slow.prefill_ahead / usual.prefill_ahead == factor,
             boost::test_tools::tolerance(1e-9));
  BOOST_TEST(slow.shared_factor.value_or(0) == factor);
}

BOOST_AUTO_TEST_CASE(recent_prompts_cost_more_at_a_slow_engine) {
  estimates_fixture setup;
  setup.registry.SetSharedEstimates(host::feature_mode::kAuto);
  setup.query.weight.prompt_tokens = 0;
  setup.registry.ReplaceLoads("host-2", {});
  decisions::engine_estimate& slow = setup.registry.Find("i-2")->estimate;
  for (const std::string instance : {"i-1", "i-2"}) {
    decisions::AddPromptRead(setup.registry.Find(instance)->pace, 100ms,
                             setup.now);
  }
  BOOST_TEST(setup.Choose() == "i-1");
  slow.log_factor = std::log(0.5);
  BOOST_TEST(setup.Choose() == "i-2");
}

// Guards services that do not use the feature against any change.
BOOST_AUTO_TEST_CASE(other_services_ignore_shared_estimates) {
  estimates_fixture setup;
  setup.service.mixed_urgency = false;
  setup.registry.SetSharedEstimates(host::feature_mode::kAuto);
  BOOST_TEST(setup.Choose() == "i-2");
  const auto late = setup.ChoiceOf("i-1");
  BOOST_TEST(late.expected / late.unscaled == 3,
             boost::test_tools::tolerance(1e-9));
  BOOST_TEST(late.prefill_ahead.count() == 200,
             boost::test_tools::tolerance(1e-9));
  BOOST_TEST(!late.shared_factor);
}

BOOST_AUTO_TEST_CASE(an_instance_with_other_software_is_another_run) {
  fixture setup;
  const auto before = setup.registry.Find("i-1");
  catalog::backend_server entry = before->entry;
  entry.software = "v2";
  setup.registry.Put(entry, setup.now);
  BOOST_TEST((setup.registry.Find("i-1") != before));
  BOOST_TEST(before->entry.software.empty());
}

BOOST_AUTO_TEST_CASE(requests_go_to_the_server_least_loaded_by_other_hosts) {
  fixture setup;
  setup.registry.ReplaceLoads("host-2", {Load("i-1", 20'000)});
  BOOST_TEST(setup.Choose() == "i-2");
  setup.registry.UpdateLoads("host-2", {Load("i-1", 0), Load("i-2", 20'000)});
  BOOST_TEST(setup.Choose() == "i-1");
  setup.registry.ForgetHost("host-2");
  BOOST_TEST(setup.registry.Find("i-2")->others.unread_tokens == 0);
}

// Each report of a host replaces its previous one. Loads reported for a server
// before its entry was read count once the entry is there.
BOOST_AUTO_TEST_CASE(load_reports_of_hosts_are_summed) {
  fixture setup;
  setup.registry.ReplaceLoads("host-2", {Load("i-1", 100), Load("i-3", 7)});
  setup.registry.ReplaceLoads("host-3", {Load("i-1", 20)});
  BOOST_TEST(setup.registry.Find("i-1")->others.unread_tokens == 120);
  setup.registry.UpdateLoads("host-3", {Load("i-1", 30)});
  setup.registry.ReplaceLoads("host-2", {Load("i-2", 5), Load("i-3", 8)});
  BOOST_TEST(setup.registry.Find("i-1")->others.unread_tokens == 30);
  BOOST_TEST(setup.registry.Find("i-1")->others.running == 1);
  BOOST_TEST(setup.registry.Find("i-2")->others.unread_tokens == 5);
  catalog::backend_server entry;
  entry.instance = "i-3";
  setup.registry.Put(entry, setup.now);
  BOOST_TEST(setup.registry.Find("i-3")->others.unread_tokens == 8);
  setup.registry.ForgetHost("host-2");
  setup.registry.ForgetHost("host-3");
  for (const std::string instance : {"i-1", "i-2", "i-3"}) {
    BOOST_TEST(setup.registry.Find(instance)->others.unread_tokens == 0);
    BOOST_TEST(setup.registry.Find(instance)->others.running == 0);
  }
}

// Among equal servers, the one whose load changes this host receives directly
// is selected.
BOOST_AUTO_TEST_CASE(servers_with_direct_updates_are_preferred) {
  fixture setup;
  setup.registry.SetReceivesDirectly(
      [](const std::string& instance) { return instance == "i-2"; });
  BOOST_TEST(setup.Choose() == "i-2");
}

BOOST_AUTO_TEST_CASE(draining_suspended_and_tried_servers_get_no_requests) {
  fixture setup;
  setup.avoid.push_back("i-1");
  BOOST_TEST(setup.Choose() == "i-2");
  decisions::RecordFailure(setup.registry.Find("i-2")->trust, true, setup.now,
                           setup.now);
  BOOST_TEST(setup.Choose() == "none");
  setup.now += 10s;
  BOOST_TEST(setup.Choose() == "i-2");
  catalog::backend_server entry = setup.registry.Find("i-2")->entry;
  entry.draining = true;
  setup.registry.Put(entry, setup.now);
  BOOST_TEST(setup.Choose() == "none");
  // An instance that has started draining does not stop doing so.
  entry.draining = false;
  setup.registry.Put(entry, setup.now);
  BOOST_TEST(setup.Choose() == "none");
}

BOOST_AUTO_TEST_CASE(
    an_evacuated_zone_gets_no_requests_until_the_evacuation_ends) {
  fixture setup;
  setup.registry.Evacuate("z");
  BOOST_TEST(setup.Choose() == "none");
  BOOST_TEST(!setup.registry.AnyHolds(setup.query, setup.now));
  // A server that joins during the evacuation is evacuated as well.
  catalog::backend_server entry = setup.registry.Find("i-1")->entry;
  entry.instance = "i-3";
  setup.registry.Put(entry, setup.now);
  BOOST_TEST(setup.Choose() == "none");
  setup.registry.EndEvacuation("z", setup.now);
  BOOST_TEST(setup.Choose() != "none");
}

// If both the route and the workspace restrict regions, both must allow the
// server's region.
BOOST_AUTO_TEST_CASE(a_request_is_served_only_in_allowed_regions) {
  fixture setup;
  setup.registry = host::server_registry("z", {{"z", "west"}, {"y", "south"}});
  for (const auto& [instance, zone] :
       {std::pair{"i-1", "z"}, {"i-2", "y"}, {"i-3", "nowhere"}}) {
    catalog::backend_server entry;
    entry.instance = instance;
    entry.service = "s";
    entry.zone = zone;
    entry.models.push_back({"m", 1, {}});
    setup.registry.Put(entry, setup.now);
  }
  const std::vector<std::string> west = {"west"};
  const std::vector<std::string> both = {"west", "south"};
  const std::vector<std::string> south = {"south"};
  setup.query.route_regions = &west;
  for (int i = 0; i < 20; ++i)
    BOOST_TEST(setup.Choose() == "i-1");
  setup.query.route_regions = &both;
  setup.query.workspace_regions = &south;
  for (int i = 0; i < 20; ++i)
    BOOST_TEST(setup.Choose() == "i-2");
  setup.query.route_regions = &west;
  BOOST_TEST(setup.Choose() == "none");
  BOOST_TEST(!setup.registry.AnyHolds(setup.query, setup.now));
}

BOOST_AUTO_TEST_CASE(a_cold_server_is_used_only_without_a_warm_one) {
  fixture setup;
  setup.service.cold_rate = 6.9;
  setup.service.cold_time = 3s;
  setup.registry.SetColdShare([] {
    return decisions::cold_share{0, 64, true};
  });
  catalog::backend_server entry = setup.registry.Find("i-1")->entry;
  entry.cold_for = 3s;
  setup.registry.Put(entry, setup.now);
  for (int i = 0; i < 100; ++i)
    BOOST_TEST(setup.Choose() == "i-2");
  setup.avoid.push_back("i-2");
  // This host's turn comes within the pauses of 64 hosts, 19 s, and most likely
  // not now.
  int sent = 0;
  for (int i = 0; i < 1000; ++i)
    sent += setup.Choose() == "none" ? 0 : 1;
  BOOST_TEST(sent <= 1);
  setup.now += 3s;
  BOOST_TEST(setup.Choose() == "i-1");
}

// Servers may have become cold during the evacuation without having updated
// their entries yet.
BOOST_AUTO_TEST_CASE(servers_are_cold_after_an_evacuation) {
  fixture setup;
  setup.service.cold_rate = 6.9;
  setup.service.cold_time = 3s;
  setup.registry.SetColdShare([] {
    return decisions::cold_share{0, 64, false};
  });
  setup.registry.Evacuate("z");
  setup.registry.EndEvacuation("z", setup.now);
  BOOST_TEST(setup.Choose() == "none");
  setup.registry.Put(setup.registry.Find("i-2")->entry, setup.now);
  BOOST_TEST(setup.Choose() == "i-2");
  setup.avoid.push_back("i-2");
  setup.now += 3s;
  BOOST_TEST(setup.Choose() == "i-1");
}

BOOST_AUTO_TEST_CASE(
    a_server_is_used_for_a_grace_period_after_its_entry_expired) {
  fixture setup;
  setup.avoid.push_back("i-2");
  setup.registry.Remove("i-1", true, 1800ms, setup.now);
  BOOST_TEST(setup.Choose() == "i-1");
  setup.registry.RemoveExpired(setup.now + 1800ms);
  BOOST_TEST(setup.Choose() == "none");
}

BOOST_AUTO_TEST_CASE(newer_residency_overrides_take_precedence_over_an_entry) {
  fixture setup;
  setup.avoid.push_back("i-2");
  setup.query.adapter = "a1";
  BOOST_TEST(setup.Choose() == "i-1");
  setup.query.adapter = "a2";
  BOOST_TEST(setup.Choose() == "none");
  auto& residency_overrides = setup.registry.Find("i-1")->residency_overrides;
  residency_overrides[host::KeyOf("m/a2")] = {true, setup.now};
  BOOST_TEST(setup.Choose() == "i-1");
  residency_overrides[host::KeyOf("m")] = {false, setup.now};
  BOOST_TEST(setup.Choose() == "none");
  setup.query.adapter = "a1";
  setup.now += 10s;
  BOOST_TEST(setup.Choose() == "i-1");
}

// Each heartbeat of a server updates its entry.
BOOST_AUTO_TEST_CASE(a_heartbeat_does_not_undo_what_responses_have_shown) {
  fixture setup;
  const auto first = setup.registry.Find("i-1");
  first->notices.leaving_since = setup.now;
  decisions::RecordReplaced(setup.registry.Find("i-2")->notices, setup.now);
  setup.registry.Put(first->entry, setup.now + 1s);
  setup.registry.Put(setup.registry.Find("i-2")->entry, setup.now + 1s);
  BOOST_TEST(setup.Choose() == "none");
  // The second one still writes its entry, so it is there.
  setup.registry.Put(first->entry, setup.now + 10s);
  setup.registry.Put(setup.registry.Find("i-2")->entry, setup.now + 10s);
  BOOST_TEST(setup.Choose() == "i-2");
}

BOOST_AUTO_TEST_CASE(a_server_that_starts_again_under_its_id_is_used) {
  fixture setup;
  using std::chrono::sys_time;
  catalog::backend_server entry = setup.registry.Find("i-1")->entry;
  entry.started_at = sys_time<std::chrono::milliseconds>(1000ms);
  setup.registry.Remove("i-2", false, 0ms, setup.now);
  setup.registry.Put(entry, setup.now);
  const auto earlier = setup.registry.Find("i-1");
  earlier->notices.leaving_since = setup.now;
  entry.draining = true;
  setup.registry.Put(entry, setup.now);
  BOOST_TEST(setup.Choose() == "none");
  entry.draining = false;
  entry.started_at = sys_time<std::chrono::milliseconds>(2000ms);
  BOOST_TEST(setup.registry.Put(entry, setup.now));
  BOOST_TEST(setup.Choose() == "i-1");
  BOOST_TEST((setup.registry.Find("i-1") != earlier));
}

BOOST_AUTO_TEST_CASE(the_earliest_release_is_known_if_all_servers_pause) {
  fixture setup;
  const auto first = setup.registry.Find("i-1");
  const auto second = setup.registry.Find("i-2");
  const auto release = [&setup] {
    return setup.registry.EarliestRelease(setup.query, setup.now);
  };
  first->notices.backoff_until = setup.now + 3s;
  BOOST_TEST(setup.Choose() == "i-2");
  BOOST_TEST(!release().has_value());
  second->notices.backoff_until = setup.now + 2s;
  BOOST_TEST(setup.Choose() == "none");
  BOOST_REQUIRE(release().has_value());
  BOOST_TEST((release()->at == setup.now + 2s));
  BOOST_TEST(!release()->by_permit);
  // A server that this host has suspended returns as well.
  second->notices.backoff_until = {};
  second->trust.suspended_until = setup.now + 1s;
  BOOST_TEST((release()->at == setup.now + 1s));
  second->trust.suspended_until = setup.now + 5s;
  BOOST_TEST((release()->at == setup.now + 3s));
  first->notices.backoff_until = {};
  first->advertised.limit = {1, setup.now};
  first->permit_retry_at = setup.now + 4s;
  BOOST_TEST((release()->at == setup.now + 4s));
  BOOST_TEST(release()->by_permit);
}

BOOST_AUTO_TEST_CASE(servers_suspended_by_this_host_alone_have_no_release) {
  fixture setup;
  for (const char* instance : {"i-1", "i-2"})
    setup.registry.Find(instance)->trust.suspended_until = setup.now + 1s;
  BOOST_TEST(setup.Choose() == "none");
  BOOST_TEST(
      !setup.registry.EarliestRelease(setup.query, setup.now).has_value());
}

BOOST_AUTO_TEST_CASE(a_server_that_pauses_still_holds_its_models) {
  fixture setup;
  for (const char* instance : {"i-1", "i-2"})
    setup.registry.Find(instance)->notices.backoff_until = setup.now + 3s;
  BOOST_TEST(setup.registry.AnyHolds(setup.query, setup.now));
}

// A request with a long prompt; i-1 has less to process.
struct separation_fixture : fixture {
  separation_fixture() {
    service.mixed_urgency = true;
    registry.SetStreamSeparation(host::feature_mode::kAuto);
    query.weight = {9000, 9050, 25us, {}};
    query.max_event_gap = 400ms;
    query.due = now + 800ms;
    registry.UpdateLoads("host-3", {Load("i-2", 1500)});
  }
  // Reports of another host about i-1.
  void Report(std::int32_t streams, std::int32_t prefill) {
    wire::server_load load = Load("i-1", 0);
    load.__set_long_streams(streams);
    load.__set_long_prefill_ms(prefill);
    registry.ReplaceLoads("host-2", {load});
  }
  decisions::separated_engine StateOf(const std::string& instance) {
    return host::server_registry::SeparatedOf(*registry.Find(instance),
                                              std::chrono::steady_clock::now());
  }
  std::optional<host::server_choice> Choice() {
    return registry.Choose(query, service, now, random);
  }
};

BOOST_AUTO_TEST_CASE(long_prompts_avoid_engines_with_long_streams) {
  separation_fixture setup;
  setup.Report(10, 400);
  const auto choice = setup.Choice();
  BOOST_REQUIRE(choice.has_value());
  BOOST_TEST(choice->server->entry.instance == "i-2");
  BOOST_REQUIRE(choice->separated.has_value());
  BOOST_TEST(
      (choice->separated->changed == decisions::separated_kind::kLongPrompt));
  BOOST_TEST((choice->separated->prefill == 225ms));
  setup.avoid = {"i-2"};
  BOOST_TEST(setup.Choose() == "i-1");
}

BOOST_AUTO_TEST_CASE(long_streams_avoid_engines_with_long_prompts) {
  separation_fixture setup;
  setup.Report(0, 1500);
  setup.query.weight = {800, 850, 25us, {}};
  BOOST_TEST(setup.Choose() == "i-1");
  setup.query.expected_events = 58;
  const auto choice = setup.Choice();
  BOOST_REQUIRE(choice.has_value());
  BOOST_TEST(choice->server->entry.instance == "i-2");
  BOOST_TEST(
      (choice->separated->changed == decisions::separated_kind::kLongStream));
  BOOST_TEST(choice->separated->stream_events == 58);
}

// Guards against costs that cannot be compared: without the pause cost only at
// an engine that is slow enough to make the prompt a long one.
BOOST_AUTO_TEST_CASE(the_pause_cost_counts_at_slow_and_fast_engines) {
  separation_fixture setup;
  setup.Report(1, 0);
  setup.registry.UpdateLoads("host-3", {Load("i-2", 0)});
  setup.registry.Find("i-2")->trust.slowdown = 1.2;
  setup.query.weight = {3000, 3050, 25us, {}};
  decisions::AddPromptRead(setup.registry.Find("i-1")->pace, 160ms, setup.now);
  decisions::AddPromptRead(setup.registry.Find("i-2")->pace, 400ms, setup.now);
  BOOST_TEST(setup.Choose() == "i-1");
}

// The same for an engine that has cached so much of a long prompt that the rest
// is not long.
BOOST_AUTO_TEST_CASE(the_pause_cost_of_long_prompts_counts_at_no_engine) {
  separation_fixture setup;
  wire::server_load load = Load("i-2", 0);
  load.__set_long_streams(1);
  setup.registry.UpdateLoads("host-3", {load});
  setup.head.prompt = {{1, 6000}};
  host::RecordPrompt(*setup.registry.Find("i-2"), setup.head, setup.now);
  setup.head.prompt.push_back({2, 3000});
  decisions::AddPromptRead(setup.registry.Find("i-2")->pace, 800ms, setup.now);
  const auto choice = setup.Choice();
  BOOST_REQUIRE(choice.has_value());
  BOOST_TEST(choice->server->entry.instance == "i-2");
  BOOST_TEST(
      (choice->separated->changed == decisions::separated_kind::kLongPrompt));
  BOOST_TEST(choice->separated->prefill.count() == 0);
}

// Guards services that do not use the feature, and hosts that switch it off,
// against any change.
BOOST_AUTO_TEST_CASE(without_the_feature_long_streams_change_nothing) {
  separation_fixture setup;
  setup.Report(10, 400);
  setup.registry.SetStreamSeparation(host::feature_mode::kOff);
  BOOST_TEST(setup.Choose() == "i-1");
  BOOST_TEST(!setup.Choice()->separated.has_value());
  setup.registry.SetStreamSeparation(host::feature_mode::kAuto);
  setup.service.mixed_urgency = false;
  BOOST_TEST(setup.Choose() == "i-1");
  const auto load = host::OwnLoad(*setup.registry.Find("i-1"));
  BOOST_TEST(!load.__isset.long_streams);
  BOOST_TEST(!load.__isset.long_prefill_ms);
}

BOOST_AUTO_TEST_CASE(reports_of_older_hosts_count_as_zero) {
  separation_fixture setup;
  setup.registry.ReplaceLoads("host-2", {Load("i-1", 0)});
  setup.registry.UpdateLoads("host-4", {Load("i-1", 0)});
  BOOST_TEST(setup.StateOf("i-1").long_streams == 0);
  BOOST_TEST(setup.StateOf("i-1").prefill_level.count() == 0);
  BOOST_TEST(setup.Choose() == "i-1");
}

BOOST_AUTO_TEST_CASE(invalid_reports_of_streams_and_prompts_count_as_absent) {
  separation_fixture setup;
  for (const std::int32_t bad : {-1, 2'000'000'000}) {
    setup.Report(bad, bad);
    BOOST_TEST(setup.StateOf("i-1").long_streams == 0);
    BOOST_TEST(setup.StateOf("i-1").prefill_level.count() == 0);
    wire::server_load load = Load("i-1", 0);
    load.__set_long_streams(bad);
    load.__set_long_prefill_ms(bad);
    BOOST_TEST(host::CountInvalidSeparation({load, Load("i-2", 0)}) == 2);
  }
}

// A host reports a server only while it has requests there. Its streams end
// with them; what its prompts cost decays.
BOOST_AUTO_TEST_CASE(streams_end_with_their_report_and_prefill_decays) {
  separation_fixture setup;
  setup.Report(3, 500);
  setup.Report(4, 600);
  BOOST_TEST(setup.StateOf("i-1").long_streams == 4);
  BOOST_TEST(setup.StateOf("i-1").prefill_level.count() == 600,
             boost::test_tools::tolerance(0.05));
  setup.registry.ReplaceLoads("host-2", {});
  BOOST_TEST(setup.StateOf("i-1").long_streams == 0);
  BOOST_TEST(setup.StateOf("i-1").prefill_level.count() > 500);
  setup.Report(4, 600);
  BOOST_TEST(setup.StateOf("i-1").prefill_level.count() == 600,
             boost::test_tools::tolerance(0.05));
  setup.registry.ForgetHost("host-2");
  BOOST_TEST(setup.StateOf("i-1").long_streams == 0);
  BOOST_TEST(setup.StateOf("i-1").prefill_level.count() < 1);
}

BOOST_AUTO_TEST_CASE(a_new_instance_has_no_streams_or_prompts) {
  separation_fixture setup;
  setup.registry.Find("i-1")->own.long_streams = 5;
  decisions::AddLongPrefill(setup.registry.Find("i-1")->own.long_prompts, 900ms,
                            std::chrono::steady_clock::now());
  catalog::backend_server entry = setup.registry.Find("i-1")->entry;
  setup.registry.Remove("i-1", false, 0ms, setup.now);
  setup.registry.Put(entry, setup.now);
  BOOST_TEST(setup.StateOf("i-1").long_streams == 0);
  BOOST_TEST(setup.StateOf("i-1").prefill_level.count() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
