// SPDX-License-Identifier: MIT
#include "host/process/store_mirror.h"

#include <functional>
#include <string>
#include <vector>

#include <boost/asio/redirect_error.hpp>
#include <boost/test/unit_test.hpp>

#include "host/constants.h"
#include "mirror_world.h"
#include "wire/codec.h"

namespace {

using namespace valeledge;

using world = test::mirror_world;

BOOST_AUTO_TEST_SUITE(store_mirror)

BOOST_AUTO_TEST_CASE(reads_all_and_follows_changes) {
  world here;
  here.store.Put("a", "1");
  here.mirror.Start();
  here.RunUntil([&] { return here.put.size() == 1; });
  here.store.Put("b", "2");
  here.RunUntil([&] { return here.put.size() == 2; });
  here.store.Remove("a");
  here.RunUntil([&] { return here.removed.size() == 1; });
  BOOST_TEST(here.removed.front().first == "a");
  BOOST_TEST(!here.removed.front().second);
  BOOST_TEST(here.mirror.IsCurrent());
}

// Servers that are removed just after an outage are gone at once. Only keys
// that were removed during the outage may be registered again.
BOOST_AUTO_TEST_CASE(only_keys_removed_during_an_outage_have_lapsed) {
  world here;
  here.store.Put("lapses", "1");
  here.store.Put("leaves", "1");
  here.mirror.Start();
  here.RunUntil([&] { return here.put.size() == 2; });
  here.store.down = true;
  here.store.Wake();
  here.RunUntil([&] { return !here.mirror.IsCurrent(); });
  here.store.Remove("lapses");
  here.RunUntil([&] { return here.mirror.Age() >= decisions::kMinOutage; });
  here.store.down = false;
  here.RunUntil([&] { return here.removed.size() == 1; });
  BOOST_TEST(here.removed.back().first == "lapses");
  BOOST_TEST(here.removed.back().second);
  here.store.Remove("leaves");
  here.RunUntil([&] { return here.removed.size() == 2; });
  BOOST_TEST(here.removed.back().first == "leaves");
  BOOST_TEST(!here.removed.back().second);
}

// Servers that leave while the store refuses this host alone are gone at once.
BOOST_AUTO_TEST_CASE(
    keys_removed_while_other_hosts_are_served_have_not_lapsed) {
  world here;
  here.store.Put("leaves", "1");
  here.mirror.Start();
  here.RunUntil([&] { return here.put.size() == 1; });
  here.store.down = true;
  here.store.Wake();
  const auto refused_at = std::chrono::steady_clock::now();
  std::int64_t reports = 0;
  here.RunUntil([&] {
    here.mirror.RecordReportedResponse(
        {{1, ++reports, true}, std::chrono::milliseconds(0)});
    return std::chrono::steady_clock::now() - refused_at >=
           decisions::kMinOutage;
  });
  here.store.Remove("leaves");
  here.store.down = false;
  here.RunUntil([&] { return here.removed.size() == 1; });
  BOOST_TEST(!here.removed.back().second);
}

BOOST_AUTO_TEST_CASE(all_keys_are_read_once_after_a_lost_history) {
  world here;
  here.store.Put("a", "1");
  here.mirror.Start();
  here.RunUntil([&] { return here.put.size() == 1; });
  const int reads = here.store.reads;
  here.store.history_gone = true;
  here.store.Wake();
  here.store.Put("b", "2");
  here.RunUntil([&] { return here.put.size() == 2; });
  BOOST_TEST(here.store.reads == reads + 1);
}

BOOST_AUTO_TEST_CASE(reads_again_after_a_lost_history) {
  world here;
  here.store.Put("a", "1");
  here.mirror.Start();
  here.RunUntil([&] { return here.put.size() == 1; });
  here.store.history_gone = true;
  here.store.Put("b", "2");
  here.RunUntil([&] { return here.put.size() == 2; });
  BOOST_TEST(here.put.back() == "b");
}

// A host that the store refuses applies the snapshots of another host. An older
// snapshot changes nothing.
BOOST_AUTO_TEST_CASE(applies_only_newer_snapshots) {
  world here;
  here.store.Put("a", "1");
  here.mirror.Start();
  here.RunUntil([&] { return here.put.size() == 1; });
  wire::mirror_copy snapshot = here.mirror.SnapshotSince(0);
  wire::mirror_entry entry;
  entry.key = "b";
  entry.value = "2";
  entry.revision = snapshot.revision + 1;
  snapshot.entries.push_back(entry);
  here.mirror.Apply(snapshot);
  BOOST_TEST(here.put.size() == 1u);
  snapshot.revision += 1;
  here.mirror.Apply(snapshot);
  BOOST_TEST(here.put.size() == 2u);
  BOOST_TEST(here.mirror.revision() == snapshot.revision);
}

// A host that does not follow the store reads it once and then only applies
// snapshots, until no store response to any host has been reported for a while.
BOOST_AUTO_TEST_CASE(becomes_a_fallback_reader_without_followers) {
  world here;
  here.follows = false;
  here.store.Put("a", "1");
  here.mirror.RecordReportedResponse(
      {{1, 1, true}, std::chrono::milliseconds(0)});
  here.mirror.Start();
  here.RunUntil([&] { return here.put.size() == 1; });
  here.store.Wake();
  here.mirror.RecordReportedResponse(
      {{1, 2, true}, std::chrono::milliseconds(0)});
  here.store.Put("b", "2");
  here.RunUntil([&] { return here.put.size() == 2; });
  BOOST_TEST(here.mirror.Age().has_value());
}

BOOST_AUTO_TEST_CASE(a_snapshot_since_a_revision_has_changes_and_deletions) {
  world here;
  here.store.Put("a", "1");
  here.store.Put("b", "1");
  here.mirror.Start();
  here.RunUntil([&] { return here.put.size() == 2; });
  const std::int64_t before = here.mirror.revision();
  here.store.Remove("a");
  here.store.Put("c", "1");
  here.RunUntil([&] { return here.put.size() == 3; });
  const wire::mirror_copy snapshot = here.mirror.SnapshotSince(before);
  BOOST_TEST(!snapshot.whole);
  BOOST_REQUIRE(snapshot.entries.size() == 1u);
  BOOST_TEST(snapshot.entries.front().key == "c");
  BOOST_REQUIRE(snapshot.deleted.size() == 1u);
  BOOST_TEST(snapshot.deleted.front().key == "a");
  world other;
  other.mirror.Apply(here.mirror.SnapshotSince(0));
  BOOST_TEST(other.put.size() == 2u);
}

// The first part of a response is reported to the other hosts, which would
// otherwise read the store themselves after 1.1 s. Since the response is not
// complete, snapshots of peers are still requested.
BOOST_AUTO_TEST_CASE(a_partial_response_shows_that_the_store_responds) {
  world here;
  here.store.Put("a", "1");
  here.mirror.Start();
  here.RunUntil([&] { return here.put.size() == 1; });
  const auto complete = here.mirror.NewestResponse();
  BOOST_REQUIRE(complete.has_value());
  const auto later = std::chrono::steady_clock::now();
  here.store.response_started_at = later;
  const auto partial = here.mirror.NewestResponse();
  BOOST_REQUIRE(partial.has_value());
  BOOST_TEST(partial->stamp.count == complete->stamp.count + 1);
  BOOST_TEST(partial->stamp.chosen);
  // The same part counts once.
  BOOST_TEST(here.mirror.NewestResponse()->stamp.count == partial->stamp.count);
}

// A large value is sent compressed, forwarded as received, and sent
// uncompressed to hosts that do not support compression. A value that cannot be
// decoded changes nothing.
BOOST_AUTO_TEST_CASE(large_values_are_sent_compressed) {
  const std::string large(200'000, 'x');
  world first;
  first.store.Put("a", large);
  first.mirror.Start();
  first.RunUntil([&] { return first.put.size() == 1; });
  wire::mirror_copy snapshot = first.mirror.SnapshotSince(0);
  BOOST_TEST(snapshot.entries.front().packed);
  BOOST_TEST(snapshot.entries.front().value.size() < 1000u);
  BOOST_TEST(first.mirror.SnapshotSince(0, false).entries.front().value ==
             large);
  world second;
  BOOST_TEST(second.mirror.Apply(snapshot));
  BOOST_TEST((second.mirror.Value("a") == large));
  BOOST_TEST((second.mirror.SnapshotSince(0) == snapshot));
  BOOST_TEST(second.mirror.SnapshotSince(0, false).entries.front().value ==
             large);
  world third;
  snapshot.entries.front().value.pop_back();
  BOOST_TEST(!third.mirror.Apply(snapshot));
  BOOST_TEST(third.mirror.revision() == 0);
  BOOST_TEST(third.put.empty());
}

// While nothing changes for a second, hosts that receive reports of the
// responses slightly later must not assume that the store is unresponsive and
// read it themselves.
BOOST_AUTO_TEST_CASE(an_idle_watch_ends_before_fallback_readers_start) {
  constexpr std::chrono::milliseconds kTakeoverTimeout{1100};
  world here;
  here.store.Put("a", "1");
  here.mirror.Start();
  here.RunUntil([&] { return here.put.size() == 1; });
  BOOST_REQUIRE(here.store.max_watch_time.has_value());
  BOOST_TEST((*here.store.max_watch_time + host::kLoadReportInterval <
              kTakeoverTimeout - std::chrono::milliseconds(100)));
}

// In a fleet whose followers are disconnected, every host in turn would
// otherwise read the whole store.
BOOST_AUTO_TEST_CASE(a_fallback_reader_continues_from_its_snapshot) {
  world first;
  first.store.Put("a", "1");
  first.mirror.Start();
  first.RunUntil([&] { return first.put.size() == 1; });
  world here;
  here.follows = false;
  here.knows_others = true;
  here.store.Put("a", "1");
  BOOST_TEST(here.mirror.Apply(first.mirror.SnapshotSince(0)));
  here.store.Put("b", "2");
  here.mirror.Start();
  // No response of the store to any host is known.
  here.RunUntil([&] { return here.put.size() == 2; });
  BOOST_TEST(here.store.reads == 0);
}

// Entries of backend servers are similar to each other, and too small to be
// compressed individually.
BOOST_AUTO_TEST_CASE(a_snapshot_of_many_small_entries_is_compressed_as_one) {
  world first;
  constexpr std::size_t kServers = 1000;
  for (std::size_t i = 0; i < kServers; ++i) {
    first.store.Put("servers/" + std::to_string(i),
                    R"({"address":"10.0.0.)" + std::to_string(i) +
                        R"(:80","zone":"z","state":"ready","slots":12})");
  }
  first.mirror.Start();
  first.RunUntil([&] { return first.put.size() == kServers; });
  wire::mirror_request request;
  request.__set_takes_packed(true);
  const wire::mirror_copy plain = first.mirror.SnapshotFor(request);
  request.__set_takes_packed_copy(true);
  wire::mirror_copy compressed = first.mirror.SnapshotFor(request);
  BOOST_TEST(wire::Encode(compressed).size() < wire::Encode(plain).size() / 4);
  world second;
  BOOST_TEST(second.mirror.Apply(compressed));
  BOOST_TEST((second.mirror.SnapshotFor({}) == plain));
  world third;
  compressed.packed.pop_back();
  BOOST_TEST(!third.mirror.Apply(compressed));
  BOOST_TEST(third.mirror.revision() == 0);
}

// When hosts start together, one per zone reads the store.
BOOST_AUTO_TEST_CASE(a_host_that_knows_others_waits_for_their_snapshot) {
  world here;
  here.follows = false;
  here.knows_others = true;
  here.store.Put("a", "1");
  here.mirror.Start();
  here.context.run_for(std::chrono::milliseconds(600));
  BOOST_TEST(here.store.reads == 0);
  here.follows = true;
  here.RunUntil([&] { return here.put.size() == 1; });
  BOOST_TEST(here.store.reads == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
