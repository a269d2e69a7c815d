// SPDX-License-Identifier: MIT
#include "host/process/server_registry.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace valeledge;
using namespace std::chrono_literals;

// Two engines of one service that hold model m, and a request for it.
struct world {
  world() {
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
    wish.service = "s";
    wish.model = head.model;
    wish.head = &head;
    wish.avoid = &avoid;
    wish.weight.prompt_tokens = 1000;
    wish.weight.time_per_token =
        std::chrono::duration<double, std::milli>(0.05);
  }

  std::string Choose() {
    const auto choice = registry.Choose(wish, service, now, random);
    return choice ? choice->server->entry.instance : std::string("none");
  }

  host::server_registry registry{"z"};
  catalog::service service;
  host::request_metadata head;
  host::server_wish wish;
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

BOOST_AUTO_TEST_CASE(requests_go_where_other_hosts_have_sent_least) {
  world here;
  here.registry.TakeLoads("host-2", {Load("i-1", 20'000)});
  BOOST_TEST(here.Choose() == "i-2");
  here.registry.TakeSomeLoads("host-2", {Load("i-1", 0), Load("i-2", 20'000)});
  BOOST_TEST(here.Choose() == "i-1");
  here.registry.ForgetHost("host-2");
  BOOST_TEST(here.registry.Find("i-2")->others.unread_tokens == 0);
}

// Each report of a host replaces its last one; what it told of a server before
// that server's entry came counts from then on.
BOOST_AUTO_TEST_CASE(reports_of_hosts_add_up) {
  world here;
  here.registry.TakeLoads("host-2", {Load("i-1", 100), Load("i-3", 7)});
  here.registry.TakeLoads("host-3", {Load("i-1", 20)});
  BOOST_TEST(here.registry.Find("i-1")->others.unread_tokens == 120);
  here.registry.TakeSomeLoads("host-3", {Load("i-1", 30)});
  here.registry.TakeLoads("host-2", {Load("i-2", 5), Load("i-3", 8)});
  BOOST_TEST(here.registry.Find("i-1")->others.unread_tokens == 30);
  BOOST_TEST(here.registry.Find("i-1")->others.running == 1);
  BOOST_TEST(here.registry.Find("i-2")->others.unread_tokens == 5);
  catalog::backend_server entry;
  entry.instance = "i-3";
  here.registry.Put(entry, here.now);
  BOOST_TEST(here.registry.Find("i-3")->others.unread_tokens == 8);
  here.registry.ForgetHost("host-2");
  here.registry.ForgetHost("host-3");
  for (const std::string instance : {"i-1", "i-2", "i-3"}) {
    BOOST_TEST(here.registry.Find(instance)->others.unread_tokens == 0);
    BOOST_TEST(here.registry.Find(instance)->others.running == 0);
  }
}

// Of servers that are equal the one of which this host hears at once is taken.
BOOST_AUTO_TEST_CASE(servers_that_are_heard_of_at_once_are_preferred) {
  world here;
  here.registry.SetHearsAtOnce(
      [](const std::string& instance) { return instance == "i-2"; });
  BOOST_TEST(here.Choose() == "i-2");
}

BOOST_AUTO_TEST_CASE(leaving_suspended_and_tried_servers_get_nothing) {
  world here;
  here.avoid.push_back("i-1");
  BOOST_TEST(here.Choose() == "i-2");
  decisions::RecordFailure(here.registry.Find("i-2")->trust, true, here.now);
  BOOST_TEST(here.Choose() == "none");
  here.now += 10s;
  BOOST_TEST(here.Choose() == "i-2");
  catalog::backend_server entry = here.registry.Find("i-2")->entry;
  entry.draining = true;
  here.registry.Put(entry, here.now);
  BOOST_TEST(here.Choose() == "none");
  // One instance does not come back from leaving.
  entry.draining = false;
  here.registry.Put(entry, here.now);
  BOOST_TEST(here.Choose() == "none");
}

BOOST_AUTO_TEST_CASE(an_evacuated_zone_gets_nothing_until_it_is_taken_back) {
  world here;
  here.registry.Evacuate("z");
  BOOST_TEST(here.Choose() == "none");
  BOOST_TEST(!here.registry.AnyHolds(here.wish, here.now));
  // A server that comes meanwhile stands in the zone as well.
  catalog::backend_server entry = here.registry.Find("i-1")->entry;
  entry.instance = "i-3";
  here.registry.Put(entry, here.now);
  BOOST_TEST(here.Choose() == "none");
  here.registry.EndEvacuation("z", here.now);
  BOOST_TEST(here.Choose() != "none");
}

// Where route and workspace both have homes, both bind.
BOOST_AUTO_TEST_CASE(a_request_is_served_only_in_its_homes) {
  world here;
  here.registry = host::server_registry("z", {{"z", "west"}, {"y", "south"}});
  for (const auto& [instance, zone] :
       {std::pair{"i-1", "z"}, {"i-2", "y"}, {"i-3", "nowhere"}}) {
    catalog::backend_server entry;
    entry.instance = instance;
    entry.service = "s";
    entry.zone = zone;
    entry.models.push_back({"m", 1, {}});
    here.registry.Put(entry, here.now);
  }
  const std::vector<std::string> west = {"west"};
  const std::vector<std::string> both = {"west", "south"};
  const std::vector<std::string> south = {"south"};
  here.wish.route_homes = &west;
  for (int i = 0; i < 20; ++i)
    BOOST_TEST(here.Choose() == "i-1");
  here.wish.route_homes = &both;
  here.wish.workspace_homes = &south;
  for (int i = 0; i < 20; ++i)
    BOOST_TEST(here.Choose() == "i-2");
  here.wish.route_homes = &west;
  BOOST_TEST(here.Choose() == "none");
  BOOST_TEST(!here.registry.AnyHolds(here.wish, here.now));
}

BOOST_AUTO_TEST_CASE(a_cold_server_is_used_only_beside_no_warm_one) {
  world here;
  here.service.cold_rate = 6.9;
  here.service.cold_time = 3s;
  here.registry.SetColdShare([] { return decisions::cold_share{0, 64, true}; });
  catalog::backend_server entry = here.registry.Find("i-1")->entry;
  entry.cold_for = 3s;
  here.registry.Put(entry, here.now);
  for (int i = 0; i < 100; ++i)
    BOOST_TEST(here.Choose() == "i-2");
  here.avoid.push_back("i-2");
  // Its turn comes within 64 hosts' pauses, 19 s, and most likely not now.
  int sent = 0;
  for (int i = 0; i < 1000; ++i)
    sent += here.Choose() == "none" ? 0 : 1;
  BOOST_TEST(sent <= 1);
  here.now += 3s;
  BOOST_TEST(here.Choose() == "i-1");
}

// Its servers may have become cold, and have not said so yet.
BOOST_AUTO_TEST_CASE(a_zone_that_is_taken_back_counts_as_cold) {
  world here;
  here.service.cold_rate = 6.9;
  here.service.cold_time = 3s;
  here.registry.SetColdShare([] {
    return decisions::cold_share{0, 64, false};
  });
  here.registry.Evacuate("z");
  here.registry.EndEvacuation("z", here.now);
  BOOST_TEST(here.Choose() == "none");
  here.registry.Put(here.registry.Find("i-2")->entry, here.now);
  BOOST_TEST(here.Choose() == "i-2");
  here.avoid.push_back("i-2");
  here.now += 3s;
  BOOST_TEST(here.Choose() == "i-1");
}

BOOST_AUTO_TEST_CASE(a_lapsed_entry_is_used_for_a_while) {
  world here;
  here.avoid.push_back("i-2");
  here.registry.Remove("i-1", true, 1800ms, here.now);
  BOOST_TEST(here.Choose() == "i-1");
  here.registry.Sweep(here.now + 1800ms);
  BOOST_TEST(here.Choose() == "none");
}

BOOST_AUTO_TEST_CASE(newer_facts_stand_against_an_entry) {
  world here;
  here.avoid.push_back("i-2");
  here.wish.adapter = "a1";
  BOOST_TEST(here.Choose() == "i-1");
  here.wish.adapter = "a2";
  BOOST_TEST(here.Choose() == "none");
  auto& facts = here.registry.Find("i-1")->facts;
  facts[host::KeyOf("m/a2")] = {true, here.now};
  BOOST_TEST(here.Choose() == "i-1");
  facts[host::KeyOf("m")] = {false, here.now};
  BOOST_TEST(here.Choose() == "none");
  here.wish.adapter = "a1";
  here.now += 10s;
  BOOST_TEST(here.Choose() == "i-1");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
