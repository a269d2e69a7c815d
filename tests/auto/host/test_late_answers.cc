// SPDX-License-Identifier: MIT
// What users saw: a request reached a backend server 3.5 s after the server had
// announced that it leaves, from a host that had known it for 3.2 s.
//
// Order of events: a large configuration was on its way to hosts that read the
// store, on narrow links. The same answer held an earlier state of a server's
// entry. Meanwhile the hosts heard from another one that the server had gone,
// and forgot it; then the answer came in whole, and brought the server back. It
// came back at 12 of 63 hosts, and stayed until they read everything again, 12
// s later.
//
// Cause: what came late was taken for new if its key was not known, though it
// was older than what this host had everything of.
//
// Evidence: in the logs of the day each of those hosts says that the server is
// gone, and 3 to 244 ms later that it is there again; no copy that they could
// have had it from was given before the first of them had it.
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

BOOST_AUTO_TEST_SUITE(late_answers)

BOOST_AUTO_TEST_CASE(an_answer_that_comes_late_brings_nothing_back) {
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
  // Nor do others get it from here.
  BOOST_TEST(here.mirror.SnapshotSince(1).entries.size() == 1u);
}

// The same for a reading of everything: its pages are no older than its
// revision, but that may be older than what peers have told meanwhile.
BOOST_AUTO_TEST_CASE(a_reading_that_comes_late_brings_nothing_back) {
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

// A host that has it back already gives both the entry and its deletion.
BOOST_AUTO_TEST_CASE(of_an_entry_and_its_later_deletion_the_deletion_holds) {
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
