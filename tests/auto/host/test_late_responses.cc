// SPDX-License-Identifier: MIT
// Guards against late store responses that restore deleted entries.
//
// A store response with a large configuration and an old entry of a backend
// server was slow to arrive over narrow links. Meanwhile the hosts received the
// deletion of the entry from a peer. The late response then restored the entry,
// because entries with unknown keys were accepted as new even if they were
// older than the revision up to which the mirror was complete. The server
// reappeared at 12 of 63 hosts 3 to 244 ms after its removal, until they read
// the whole store again 12 s later. No snapshot that could have contained it
// was sent before the first of them had it again. A host sent a request to the
// server 3.5 s after the server had announced that it leaves, and 3.2 s after
// the host had received that.
#include <string>

#include <boost/test/unit_test.hpp>

#include "mirror_world.h"

namespace {

using namespace valeledge;

using world = test::mirror_world;

wire::mirror_entry Entry(const std::string& key, std::int64_t revision) {
  wire::mirror_entry entry;
  entry.key = key;
  entry.value = "of " + std::to_string(revision);
  entry.revision = revision;
  return entry;
}

BOOST_AUTO_TEST_SUITE(late_responses)

BOOST_AUTO_TEST_CASE(a_late_watch_response_restores_nothing) {
  world here;
  here.store.Put("server", "1");
  here.mirror.Start();
  here.RunUntil([&] { return here.mirror.revision() == 1; });
  here.store.holds_watch_responses = true;
  here.store.Put("server", "2");
  here.RunUntil([&] { return here.store.held_responses == 1; });
  wire::mirror_copy copy;
  copy.revision = 4;
  copy.deleted.push_back(Entry("server", 3));
  copy.entries.push_back(Entry("other", 4));
  here.mirror.Apply(copy);
  BOOST_TEST(!here.mirror.Value("server").has_value());
  here.store.holds_watch_responses = false;
  here.store.Wake();
  here.RunUntil([&] { return here.store.held_responses == 0; });
  here.RunUntil([&] { return here.mirror.IsCurrent(); });
  BOOST_TEST(!here.mirror.Value("server").has_value());
  BOOST_TEST(here.mirror.Value("other").has_value());
  BOOST_TEST(here.mirror.revision() == 4);
  // Snapshots for other hosts do not contain it either.
  BOOST_TEST(here.mirror.SnapshotSince(1).entries.size() == 1u);
}

// The same for a read of the whole store: its pages are not older than its
// revision, but that revision may be older than updates that peers have sent
// meanwhile.
BOOST_AUTO_TEST_CASE(a_late_store_read_restores_nothing) {
  world here;
  here.store.Put("server", "1");
  here.store.holds_read_responses = true;
  here.mirror.Start();
  here.RunUntil([&] { return here.store.held_responses == 1; });
  wire::mirror_copy copy;
  copy.revision = 4;
  copy.whole = true;
  copy.entries.push_back(Entry("other", 4));
  here.mirror.Apply(copy);
  here.store.holds_read_responses = false;
  here.store.Wake();
  here.RunUntil([&] { return here.mirror.IsCurrent(); });
  BOOST_TEST(!here.mirror.Value("server").has_value());
  BOOST_TEST(here.mirror.Value("other").has_value());
}

// A snapshot from a host that already has the restored entry contains both the
// entry and its deletion.
BOOST_AUTO_TEST_CASE(the_newer_of_entry_and_deletion_wins) {
  world here;
  wire::mirror_copy copy;
  copy.revision = 9;
  copy.entries.push_back(Entry("gone", 5));
  copy.deleted.push_back(Entry("gone", 7));
  copy.entries.push_back(Entry("back", 8));
  copy.deleted.push_back(Entry("back", 6));
  here.mirror.Apply(copy);
  BOOST_TEST(!here.mirror.Value("gone").has_value());
  BOOST_TEST(here.mirror.Value("back").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
