// SPDX-License-Identifier: MIT
#include "host/process/server_registry.h"

#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "registry_fixture.h"

namespace {

using namespace valeledge;
using namespace valeledge::test;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(server_registry)

// Three servers, of which the idle one is the only one of its version.
struct versions_fixture : registry_fixture {
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

BOOST_AUTO_TEST_CASE(an_instance_with_other_software_is_another_run) {
  registry_fixture setup;
  const auto before = setup.registry.Find("i-1");
  catalog::backend_server entry = before->entry;
  entry.software = "v2";
  setup.registry.Put(entry, setup.now);
  BOOST_TEST((setup.registry.Find("i-1") != before));
  BOOST_TEST(before->entry.software.empty());
}

BOOST_AUTO_TEST_CASE(requests_go_to_the_server_least_loaded_by_other_hosts) {
  registry_fixture setup;
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
  registry_fixture setup;
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
  registry_fixture setup;
  setup.registry.SetReceivesDirectly(
      [](const std::string& instance) { return instance == "i-2"; });
  BOOST_TEST(setup.Choose() == "i-2");
}

BOOST_AUTO_TEST_CASE(draining_suspended_and_tried_servers_get_no_requests) {
  registry_fixture setup;
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
  registry_fixture setup;
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
  registry_fixture setup;
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
  registry_fixture setup;
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
  registry_fixture setup;
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
  registry_fixture setup;
  setup.avoid.push_back("i-2");
  setup.registry.Remove("i-1", true, 1800ms, setup.now);
  BOOST_TEST(setup.Choose() == "i-1");
  setup.registry.RemoveExpired(setup.now + 1800ms);
  BOOST_TEST(setup.Choose() == "none");
}

// Not only from the next periodic removal on.
BOOST_AUTO_TEST_CASE(a_server_is_not_used_after_its_grace_period) {
  registry_fixture setup;
  setup.avoid.push_back("i-2");
  setup.registry.Remove("i-1", true, 1800ms, setup.now);
  setup.now += 1799ms;
  BOOST_TEST(setup.Choose() == "i-1");
  setup.now += 1ms;
  BOOST_TEST(setup.Choose() == "none");
  BOOST_TEST((setup.registry.Find("i-1")->SendBlock(setup.now) ==
              host::send_block::kLeaving));
}

BOOST_AUTO_TEST_CASE(newer_residency_overrides_take_precedence_over_an_entry) {
  registry_fixture setup;
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
  registry_fixture setup;
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
  registry_fixture setup;
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
  registry_fixture setup;
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
  registry_fixture setup;
  for (const char* instance : {"i-1", "i-2"})
    setup.registry.Find(instance)->trust.suspended_until = setup.now + 1s;
  BOOST_TEST(setup.Choose() == "none");
  BOOST_TEST(
      !setup.registry.EarliestRelease(setup.query, setup.now).has_value());
}

BOOST_AUTO_TEST_CASE(a_server_that_pauses_still_holds_its_models) {
  registry_fixture setup;
  for (const char* instance : {"i-1", "i-2"})
    setup.registry.Find(instance)->notices.backoff_until = setup.now + 3s;
  BOOST_TEST(setup.registry.AnyHolds(setup.query, setup.now));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
