// SPDX-License-Identifier: MIT
// Guards against hosts that keep deleted keys because the host that sent them
// the changes had not seen the deletion itself.
//
// A host was frozen while the entry of a backend server was removed and the
// other host of its availability zone was restarted. It then received only the
// changes that the restarted host had seen, kept the server, and sent all its
// streams there until the server exited.
#include <map>
#include <string>
#include <utility>

#include <boost/test/unit_test.hpp>

#include "mirror_fleet.h"

namespace {

using namespace valeledge;
using namespace std::chrono_literals;

host::mirrored_keys MakeKeys() {
  return host::mirrored_keys({[](const auto&, const auto&) {},
                              [](const auto&, auto) {}, [](std::int64_t) {},
                              [] { return std::nullopt; }});
}

std::map<std::string, host::mirrored_value> Values(
    std::initializer_list<std::pair<std::string, std::int64_t>> keys) {
  std::map<std::string, host::mirrored_value> values;
  for (const auto& [key, revision] : keys)
    values[key] = {"value", revision, {}};
  return values;
}

// Lets one host request a snapshot from another.
void Fetch(host::mirrored_keys& to, host::mirrored_keys& from) {
  BOOST_TEST(to.Apply(from.SnapshotSince(to.revision(), true)));
}

BOOST_AUTO_TEST_SUITE(missed_deletions)

BOOST_AUTO_TEST_CASE(a_restarted_host_passes_on_deletions_before_its_start) {
  auto frozen = MakeKeys();
  frozen.Replace(Values({{"leaves", 1}, {"stays", 2}}), 2);
  auto restarted = MakeKeys();
  restarted.Replace(Values({{"stays", 2}}), 3);
  Fetch(frozen, restarted);
  BOOST_TEST(!frozen.Value("leaves").has_value());
  BOOST_TEST(frozen.Value("stays").has_value());
  BOOST_TEST(frozen.revision() == 3);
}

// The same for a host that was not restarted, and read all keys again.
BOOST_AUTO_TEST_CASE(a_key_that_exists_only_between_two_reads_is_removed) {
  auto reader = MakeKeys();
  reader.Replace(Values({{"stays", 1}}), 1);
  auto follower = MakeKeys();
  follower.Replace(Values({{"stays", 1}, {"brief", 2}}), 2);
  reader.Replace(Values({{"stays", 1}}), 3);
  Fetch(follower, reader);
  BOOST_TEST(!follower.Value("brief").has_value());
}

BOOST_AUTO_TEST_CASE(deletions_pass_through_hosts_that_lacked_the_key) {
  auto first = MakeKeys();
  first.Replace(Values({{"stays", 2}}), 2);
  first.Remove("leaves", 3, false);
  first.Advance(3);
  auto second = MakeKeys();
  second.Replace(Values({{"stays", 2}}), 2);
  Fetch(second, first);
  auto last = MakeKeys();
  last.Replace(Values({{"leaves", 1}, {"stays", 2}}), 2);
  Fetch(last, second);
  BOOST_TEST(!last.Value("leaves").has_value());
}

// A host that receives changes knows no more of the past than their sender.
BOOST_AUTO_TEST_CASE(received_changes_have_the_gaps_of_their_sender) {
  auto sender = MakeKeys();
  sender.Replace(Values({{"stays", 1}}), 1);
  auto receiver = MakeKeys();
  Fetch(receiver, sender);
  auto last = MakeKeys();
  last.Replace(Values({{"stays", 1}, {"brief", 2}}), 2);
  sender.Replace(Values({{"stays", 1}}), 4);
  Fetch(receiver, sender);
  Fetch(last, receiver);
  BOOST_TEST(!last.Value("brief").has_value());
}

// The changes were requested at revision 1, but arrive at revision 2, where the
// sender has a gap.
BOOST_AUTO_TEST_CASE(late_changes_are_not_applied_inside_a_gap) {
  auto sender = MakeKeys();
  sender.Replace(Values({{"stays", 1}}), 1);
  sender.Replace(Values({{"stays", 1}}), 3);
  auto receiver = MakeKeys();
  receiver.Replace(Values({{"stays", 1}}), 1);
  const auto late = sender.SnapshotSince(receiver.revision(), true);
  receiver.Replace(Values({{"stays", 1}, {"brief", 2}}), 2);
  BOOST_TEST(receiver.Apply(late));
  Fetch(receiver, sender);
  BOOST_TEST(!receiver.Value("brief").has_value());
}

// An interruption of all hosts but one must not make them all transfer all
// keys.
BOOST_AUTO_TEST_CASE(changes_since_before_a_read_are_sent_alone) {
  auto reader = MakeKeys();
  reader.Replace(Values({{"leaves", 1}, {"stays", 2}}), 2);
  reader.Replace(Values({{"stays", 2}}), 9);
  for (const std::int64_t since : {2, 9})
    BOOST_TEST(!reader.SnapshotSince(since, true).whole);
  for (const std::int64_t since : {0, 1, 3, 8})
    BOOST_TEST(reader.SnapshotSince(since, true).whole);
}

BOOST_AUTO_TEST_CASE(all_hosts_have_the_keys_of_the_store_after_disturbances) {
  std::int64_t whole = 0;
  std::int64_t changes = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    test::mirror_fleet fleet({}, seed);
    fleet.Run(10s, 3s);
    BOOST_TEST(fleet.CountDiverged() == 0, "seed " << seed);
    whole += fleet.whole_snapshots();
    changes += fleet.change_snapshots();
  }
  BOOST_TEST_MESSAGE(whole << " snapshots of all keys, " << changes
                           << " of changes");
}

// Hosts that the store refuses now and then must not take this for an outage:
// the others would use servers that have left for longer than these serve.
BOOST_AUTO_TEST_CASE(refusals_of_some_hosts_do_not_extend_the_use_of_a_server) {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    test::mirror_fleet fleet({}, seed);
    fleet.Run(10s, 3s);
    BOOST_TEST(fleet.used_too_long().empty(),
               "seed " << seed << ": " << fleet.used_too_long().size());
  }
}

BOOST_AUTO_TEST_CASE(servers_are_used_while_they_register_after_an_outage) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    test::mirror_fleet fleet({}, seed);
    fleet.Rest(3s);
    fleet.BreakStore(4s);
    BOOST_TEST(fleet.missed().empty(),
               "seed " << seed << ": " << fleet.missed().size());
    fleet.Rest(3s);
    BOOST_TEST(fleet.CountDiverged() == 0);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
