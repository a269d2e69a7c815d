// SPDX-License-Identifier: MIT
// Membership under packet loss, unresponsive processes and network partitions,
// in virtual time.
#include <boost/test/unit_test.hpp>

#include "fake_network.h"
#include "membership/ownership.h"

namespace {

using namespace valeledge;
using namespace valeledge::membership;
using namespace std::chrono_literals;
using test::fake_network;

bool IsAlive(const member* each) {
  return each != nullptr &&
         each->health == static_cast<int>(member_health::kAlive);
}

bool IsGone(const member* each) {
  return each == nullptr ||
         each->health == static_cast<int>(member_health::kDead);
}

bool AllKnowAll(fake_network& net) {
  for (std::size_t i = 0; i < net.size(); ++i) {
    if (!net.AllViewsSatisfy(static_cast<int>(i), IsAlive))
      return false;
  }
  return true;
}

}  // namespace

BOOST_AUTO_TEST_CASE(processes_that_know_only_seeds_discover_each_other) {
  for (const unsigned seed : {1U, 2U, 3U}) {
    fake_network net(24, {}, seed);
    net.Run(10s, [&] { return AllKnowAll(net); });
    BOOST_TEST(AllKnowAll(net), "seed " << seed);
  }
}

// Until hosts have discovered each other, they select different owners for the
// same task. Discovery took 25 s when the probed process limited the rate of
// full syncs.
BOOST_AUTO_TEST_CASE(hundreds_started_together_discover_each_other) {
  fake_network net(295, {}, 1);
  const auto all_known = [&] {
    for (int i = 0; i < 295; ++i) {
      if (net.At(i).others.size() != 294)
        return false;
    }
    return true;
  };
  const auto took = net.Run(30s, all_known);
  BOOST_TEST(took <= 12s, "took " << took.count() << " us");
}

BOOST_AUTO_TEST_CASE(leaving_reaches_all_members_within_two_seconds) {
  for (const unsigned seed : {1U, 2U, 3U}) {
    fake_network net(64, {}, seed);
    net.Run(10s, [&] { return AllKnowAll(net); });
    net.SetLoss(0.1);
    net.Send(5, AnnounceLeaving(net.At(5), net.random()));
    const auto leaving = [](const member* each) {
      return each != nullptr && each->leaving;
    };
    const auto took =
        net.Run(10s, [&] { return net.AllViewsSatisfy(5, leaving); });
    BOOST_TEST(took < 2s, "took " << took.count() << " us");
  }
}

BOOST_AUTO_TEST_CASE(an_unresponsive_process_is_declared_dead_within_bounds) {
  fake_network net(32, {}, 4);
  net.Run(10s, [&] { return AllKnowAll(net); });
  net.Suspend(7);
  const auto took =
      net.Run(60s, [&] { return net.AllViewsSatisfy(7, IsGone); });
  // One round of probes, the suspicion timeout, and dissemination.
  BOOST_TEST(took < 32s + 4s + 5s);
  BOOST_TEST(took > 4s);
}

// Processes that wait for a terminated member switch to the next one once it is
// suspected: hosts tolerate the loss of a limit's owner for two seconds.
BOOST_AUTO_TEST_CASE(suspicion_reaches_all_members_within_two_seconds) {
  const auto is_suspected = [](const member* each) { return !IsAlive(each); };
  for (const unsigned seed : {1U, 2U, 3U}) {
    fake_network net(69, {}, seed);
    net.Run(20s, [&] { return AllKnowAll(net); });
    net.Suspend(7);
    // Processes that wait for the member schedule it as their next probe.
    for (int i = 0; i < 69; ++i) {
      if (i != 7)
        ProbeNext(net.At(i), fake_network::Address(7));
    }
    const auto took =
        net.Run(20s, [&] { return net.AllViewsSatisfy(7, is_suspected); });
    BOOST_TEST(took <= 2s, "took " << took.count() << " us");
  }
}

BOOST_AUTO_TEST_CASE(a_paused_process_is_alive_again_after_resuming) {
  fake_network net(16, {}, 5);
  net.Run(10s, [&] { return AllKnowAll(net); });
  net.Suspend(3);
  net.Run(60s, [&] { return net.AllViewsSatisfy(3, IsGone); });
  net.Resume(3);
  const auto took =
      net.Run(30s, [&] { return net.AllViewsSatisfy(3, IsAlive); });
  BOOST_TEST(net.AllViewsSatisfy(3, IsAlive),
             "after " << took.count() << " us");
}

BOOST_AUTO_TEST_CASE(packet_loss_alone_declares_no_member_dead) {
  fake_network net(24, {}, 6);
  net.Run(10s, [&] { return AllKnowAll(net); });
  net.SetLoss(0.2);
  for (int second = 0; second < 60; ++second) {
    net.Run(1s);
    for (int i = 0; i < 24; ++i)
      BOOST_TEST(!net.AllViewsSatisfy(i, IsGone));
  }
}

BOOST_AUTO_TEST_CASE(partitioned_halves_merge_after_the_partition_heals) {
  fake_network net(20, {}, 7);
  net.Run(10s, [&] { return AllKnowAll(net); });
  net.Cut([](int from, int to) { return from % 2 != to % 2; });
  net.Run(120s,
          [&] { return IsGone(net.Find(0, 1)) && IsGone(net.Find(1, 0)); });
  BOOST_TEST(IsGone(net.Find(0, 1)));
  net.Run(30s);
  net.Cut({});
  net.Run(90s, [&] { return AllKnowAll(net); });
  BOOST_TEST(AllKnowAll(net));
}

BOOST_AUTO_TEST_CASE(leaving_lasts_until_the_process_restarts) {
  fake_network net(8, {}, 8);
  net.Run(10s, [&] { return AllKnowAll(net); });
  net.Send(2, AnnounceLeaving(net.At(2), net.random()));
  const auto leaving = [](const member* each) {
    return each != nullptr && each->leaving;
  };
  net.Run(5s);
  BOOST_TEST(net.AllViewsSatisfy(2, leaving));
  net.Suspend(2);
  net.Run(20s);
  net.Add(2, 2'000'000);
  const auto is_new_run = [](const member* each) {
    return each != nullptr && !each->leaving && IsAlive(each);
  };
  net.Run(20s, [&] { return net.AllViewsSatisfy(2, is_new_run); });
  BOOST_TEST(net.AllViewsSatisfy(2, is_new_run));
}

// If the clock is set back, a new run starts with a lower incarnation than the
// earlier run, which left. Unless the new run raises its incarnation, other
// members assume that it is the earlier run and assign no work to it until its
// clock has caught up.
BOOST_AUTO_TEST_CASE(
    a_restart_after_a_clock_step_back_replaces_the_earlier_run) {
  fake_network net(16, {}, 8);
  net.Suspend(2);
  net.Add(2, 60'000'000);
  net.Run(10s, [&] { return AllKnowAll(net); });
  net.Send(2, AnnounceLeaving(net.At(2), net.random()));
  net.Run(5s);
  net.Suspend(2);
  net.Run(2s);
  net.Add(2, 50'000'000);
  const auto is_new_run = [](const member* each) {
    return each != nullptr && !each->leaving && IsAlive(each);
  };
  const auto took =
      net.Run(20s, [&] { return net.AllViewsSatisfy(2, is_new_run); });
  BOOST_TEST(net.AllViewsSatisfy(2, is_new_run));
  BOOST_TEST(took < 4s, "took " << took.count() << " us");
}

BOOST_AUTO_TEST_CASE(soft_records_reach_all_members_and_the_newest_wins) {
  fake_network net(32, {}, 9);
  net.Run(10s, [&] { return AllKnowAll(net); });
  const auto announce = [&](int index, const char* value, int second) {
    net.Send(index, AnnounceRecord(net.At(index), "load/x", value,
                                   std::chrono::system_clock::time_point(
                                       std::chrono::seconds(second))));
  };
  announce(1, "old", 1);
  announce(2, "new", 2);
  const auto all_have_newest = [&] {
    for (int i = 0; i < 32; ++i) {
      const auto& records = net.At(i).soft.records;
      const auto found = records.find("load/x");
      if (found == records.end() || found->second.value != "new")
        return false;
    }
    return true;
  };
  const auto took = net.Run(20s, all_have_newest);
  BOOST_TEST(all_have_newest(), "after " << took.count() << " us");
}

BOOST_AUTO_TEST_CASE(a_restarted_process_receives_all_records_within_a_second) {
  // Guards against a fault found by outage.scn: the peers did not send their
  // full state because they had done so within the sync interval.
  fake_network net(16, {}, 12);
  net.Run(20s, [&] { return AllKnowAll(net); });
  for (int i = 0; i < 16; ++i) {
    net.Send(i, AnnounceRecord(net.At(i), "ready/" + std::to_string(i), "x",
                               std::chrono::system_clock::time_point()));
  }
  net.Run(20s);
  net.Suspend(9);
  net.Add(9, 2'000'000);
  const auto took = net.Run(10s, [&] {
    return net.At(9).soft.records.size() >= 16 && net.At(9).others.size() == 15;
  });
  BOOST_TEST(took <= 1s, "took " << took.count() << " us");
}

BOOST_AUTO_TEST_CASE(a_newer_table_reaches_all_members_within_seconds) {
  for (const unsigned seed : {1U, 2U, 3U}) {
    fake_network net(64, {}, seed);
    net.Run(10s, [&] { return AllKnowAll(net); });
    net.FetchTablesImmediately();
    net.SetLoss(0.1);
    net.Send(0, AnnounceTable(net.At(0), 7, net.random()));
    const auto all_have = [&] {
      for (int i = 0; i < 64; ++i) {
        if (net.At(i).table_revision != 7)
          return false;
      }
      return true;
    };
    const auto took = net.Run(30s, all_have);
    BOOST_TEST(all_have());
    BOOST_TEST(took < 5s, "took " << took.count() << " us");
  }
}

// All senders select the same recipients for a subject, without themselves; a
// direct record is not disseminated further.
BOOST_AUTO_TEST_CASE(direct_records_reach_the_same_members_from_every_sender) {
  fake_network net(24, {}, 5);
  net.Run(10s, [&] { return AllKnowAll(net); });
  const direct_recipients recipients{6, "i-1", std::nullopt};
  std::set<base::endpoint> addresses;
  for (int sender_index = 0; sender_index < 24; ++sender_index) {
    const auto events = SendDirectly(net.At(sender_index), "use", "1",
                                     recipients, net.random());
    BOOST_REQUIRE(events.datagrams.size() == 1u);
    const outgoing_datagram& each = events.datagrams.front();
    for (const base::endpoint& to : each.to) {
      addresses.insert(to);
      BOOST_TEST((to != fake_network::Address(sender_index)));
      const auto received =
          Receive(net.At(to.port - 1000), each.message,
                  fake_network::Address(sender_index), net.now(), net.random());
      BOOST_REQUIRE(received.direct.size() == 1u);
      BOOST_TEST(received.direct.front().sender ==
                 "n" + std::to_string(sender_index));
      BOOST_TEST(received.datagrams.empty());
    }
  }
  BOOST_TEST(addresses.size() == 6u);
}

BOOST_AUTO_TEST_CASE(direct_records_from_unknown_senders_are_ignored) {
  fake_network net(2, {}, 5);
  const auto events = SendDirectly(
      net.At(0), "use", "1", {6, {}, fake_network::Address(1)}, net.random());
  BOOST_REQUIRE(events.datagrams.size() == 1u);
  const auto received =
      Receive(net.At(1), events.datagrams.front().message,
              fake_network::Address(0), net.now(), net.random());
  BOOST_TEST(received.direct.empty());
}

BOOST_AUTO_TEST_CASE(owner_selection_is_consistent_and_stable) {
  fake_network net(10, {}, 11);
  net.Run(10s, [&] { return AllKnowAll(net); });
  int moved = 0;
  for (int cell = 0; cell < 100; ++cell) {
    const std::string name = "cell" + std::to_string(cell);
    auto members = Members(net.At(0));
    const auto* owner = ChooseCellOwner(members, name, "a");
    BOOST_REQUIRE(owner != nullptr);
    BOOST_TEST(owner->zone == "a");
    const std::string before = owner->id;
    const auto others = Members(net.At(9));
    BOOST_TEST(ChooseCellOwner(others, name, "a")->id == before);
    for (auto& each : members)
      each.leaving = each.leaving || each.id == "n4";
    const auto* after = ChooseCellOwner(members, name, "a");
    BOOST_TEST(after->id != "n4");
    moved += after->id != before ? 1 : 0;
    BOOST_TEST((before == "n4") == (after->id != before));
  }
  BOOST_TEST(moved < 45);
}

BOOST_AUTO_TEST_CASE(cells_are_distributed_evenly_among_schedulers) {
  // Guards against a fault found by measure_capacity.py: with rendezvous
  // hashing alone, one scheduler owned three cells and used 18 KB/s, others
  // owned none.
  std::vector<member> members;
  for (int i = 0; i < 30; ++i) {
    member each;
    each.id = "s" + std::to_string(i);
    each.zone = i % 2 == 0 ? "a" : "b";
    each.roles = role::kScheduler;
    members.push_back(each);
  }
  std::vector<cell_site> cells;
  for (int i = 0; i < 27; ++i)
    cells.push_back({"a." + std::to_string(i), "a"});
  const auto before = AssignCells(members, cells);
  std::map<std::string, int> owned;
  for (const auto& [cell, owner] : before) {
    BOOST_TEST(owner.zone == "a");
    BOOST_TEST(++owned[owner.id] <= 2);
  }
  BOOST_TEST(before.size() == 27U);
  // The assignment does not depend on the order of members and cells.
  std::ranges::reverse(members);
  std::ranges::reverse(cells);
  const auto again = AssignCells(members, cells);
  for (const auto& [cell, owner] : before)
    BOOST_TEST(again.at(cell).id == owner.id);
  // If a scheduler leaves, its cells and few others are reassigned.
  for (member& each : members)
    each.leaving = each.id == before.begin()->second.id;
  int moved = 0;
  for (const auto& [cell, owner] : AssignCells(members, cells))
    moved += owner.id != before.at(cell).id ? 1 : 0;
  BOOST_TEST(moved >= 1);
  BOOST_TEST(moved <= 6);
}

BOOST_AUTO_TEST_CASE(a_zone_without_schedulers_uses_another_zone) {
  std::vector<member> members(1);
  members[0].id = "only";
  members[0].zone = "b";
  members[0].roles = role::kScheduler;
  BOOST_REQUIRE(ChooseCellOwner(members, "cell", "a") != nullptr);
  members[0].leaving = true;
  BOOST_TEST(ChooseCellOwner(members, "cell", "a") == nullptr);
}
