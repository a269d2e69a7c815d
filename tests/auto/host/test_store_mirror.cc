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

// Servers that are taken away just after an outage are gone at once; only what
// went during the outage may come back.
BOOST_AUTO_TEST_CASE(only_what_went_during_an_outage_has_lapsed) {
  world here;
  here.store.Put("lapses", "1");
  here.store.Put("leaves", "1");
  here.mirror.Start();
  here.RunUntil([&] { return here.put.size() == 2; });
  here.store.down = true;
  here.store.Wake();
  here.RunUntil([&] { return !here.mirror.IsCurrent(); });
  here.store.Remove("lapses");
  here.store.down = false;
  here.RunUntil([&] { return here.removed.size() == 1; });
  BOOST_TEST(here.removed.back().first == "lapses");
  BOOST_TEST(here.removed.back().second);
  here.store.Remove("leaves");
  here.RunUntil([&] { return here.removed.size() == 2; });
  BOOST_TEST(here.removed.back().first == "leaves");
  BOOST_TEST(!here.removed.back().second);
}

BOOST_AUTO_TEST_CASE(a_copy_is_read_anew_once_its_history_is_gone) {
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

// A host that the store turns away takes the copy of another; an older copy
// changes nothing.
BOOST_AUTO_TEST_CASE(takes_only_newer_copies) {
  world here;
  here.store.Put("a", "1");
  here.mirror.Start();
  here.RunUntil([&] { return here.put.size() == 1; });
  wire::mirror_copy copy = here.mirror.CopySince(0);
  wire::mirror_entry entry;
  entry.key = "b";
  entry.value = "2";
  entry.revision = copy.revision + 1;
  copy.entries.push_back(entry);
  here.mirror.Take(copy);
  BOOST_TEST(here.put.size() == 1u);
  copy.revision += 1;
  here.mirror.Take(copy);
  BOOST_TEST(here.put.size() == 2u);
  BOOST_TEST(here.mirror.revision() == copy.revision);
}

// A host that does not follow the store reads it once, then only takes copies,
// until nobody has heard of the store for a while.
BOOST_AUTO_TEST_CASE(stands_in_when_nobody_follows) {
  world here;
  here.follows = false;
  here.store.Put("a", "1");
  here.mirror.HearAnswer({{1, 1, true}, std::chrono::milliseconds(0)});
  here.mirror.Start();
  here.RunUntil([&] { return here.put.size() == 1; });
  here.store.Wake();
  here.mirror.HearAnswer({{1, 2, true}, std::chrono::milliseconds(0)});
  here.store.Put("b", "2");
  here.RunUntil([&] { return here.put.size() == 2; });
  BOOST_TEST(here.mirror.Age().has_value());
}

BOOST_AUTO_TEST_CASE(a_copy_since_a_revision_has_changes_and_deletions) {
  world here;
  here.store.Put("a", "1");
  here.store.Put("b", "1");
  here.mirror.Start();
  here.RunUntil([&] { return here.put.size() == 2; });
  const std::int64_t before = here.mirror.revision();
  here.store.Remove("a");
  here.store.Put("c", "1");
  here.RunUntil([&] { return here.put.size() == 3; });
  const wire::mirror_copy copy = here.mirror.CopySince(before);
  BOOST_TEST(!copy.whole);
  BOOST_REQUIRE(copy.entries.size() == 1u);
  BOOST_TEST(copy.entries.front().key == "c");
  BOOST_REQUIRE(copy.deleted.size() == 1u);
  BOOST_TEST(copy.deleted.front().key == "a");
  world other;
  other.mirror.Take(here.mirror.CopySince(0));
  BOOST_TEST(other.put.size() == 2u);
}

// That an answer is on its way is news for the others, which would read for
// themselves after 1.1 s; it is not whole, so that copies of peers are wanted.
BOOST_AUTO_TEST_CASE(parts_of_an_answer_show_that_the_store_answers) {
  world here;
  here.store.Put("a", "1");
  here.mirror.Start();
  here.RunUntil([&] { return here.put.size() == 1; });
  const auto whole = here.mirror.NewestAnswer();
  BOOST_REQUIRE(whole.has_value());
  const auto later = std::chrono::steady_clock::now();
  here.store.heard = later;
  const auto part = here.mirror.NewestAnswer();
  BOOST_REQUIRE(part.has_value());
  BOOST_TEST(part->stamp.count == whole->stamp.count + 1);
  BOOST_TEST(part->stamp.chosen);
  // The same part counts once.
  BOOST_TEST(here.mirror.NewestAnswer()->stamp.count == part->stamp.count);
}

// A large value is given packed, on to others as it came, and as it is to those
// that take none; one that cannot be read leaves everything as it was.
BOOST_AUTO_TEST_CASE(large_values_are_given_packed) {
  const std::string large(200'000, 'x');
  world first;
  first.store.Put("a", large);
  first.mirror.Start();
  first.RunUntil([&] { return first.put.size() == 1; });
  wire::mirror_copy copy = first.mirror.CopySince(0);
  BOOST_TEST(copy.entries.front().packed);
  BOOST_TEST(copy.entries.front().value.size() < 1000u);
  BOOST_TEST(first.mirror.CopySince(0, false).entries.front().value == large);
  world second;
  BOOST_TEST(second.mirror.Take(copy));
  BOOST_TEST((second.mirror.Value("a") == large));
  BOOST_TEST((second.mirror.CopySince(0) == copy));
  BOOST_TEST(second.mirror.CopySince(0, false).entries.front().value == large);
  world third;
  copy.entries.front().value.pop_back();
  BOOST_TEST(!third.mirror.Take(copy));
  BOOST_TEST(third.mirror.revision() == 0);
  BOOST_TEST(third.put.empty());
}

// Where nothing changes for a second, no host that hears of the answers a
// little later takes the store for silent and reads for itself.
BOOST_AUTO_TEST_CASE(a_quiet_store_answers_before_others_stand_in) {
  constexpr std::chrono::milliseconds kTakenForSilent{1100};
  world here;
  here.store.Put("a", "1");
  here.mirror.Start();
  here.RunUntil([&] { return here.put.size() == 1; });
  BOOST_REQUIRE(here.store.longest_watch.has_value());
  BOOST_TEST((*here.store.longest_watch + host::kLoadReportInterval <
              kTakenForSilent - std::chrono::milliseconds(100)));
}

// A fleet whose followers are cut off would read the whole store host by host.
BOOST_AUTO_TEST_CASE(a_host_that_stands_in_goes_on_from_its_copy) {
  world first;
  first.store.Put("a", "1");
  first.mirror.Start();
  first.RunUntil([&] { return first.put.size() == 1; });
  world here;
  here.follows = false;
  here.knows_others = true;
  here.store.Put("a", "1");
  BOOST_TEST(here.mirror.Take(first.mirror.CopySince(0)));
  here.store.Put("b", "2");
  here.mirror.Start();
  // Nobody is known to be answered by the store.
  here.RunUntil([&] { return here.put.size() == 2; });
  BOOST_TEST(here.store.reads == 0);
}

// Entries of backend servers are alike, and too small to pack by themselves.
BOOST_AUTO_TEST_CASE(a_copy_of_many_small_entries_is_packed_as_one) {
  world first;
  constexpr std::size_t kServers = 1000;
  for (std::size_t i = 0; i < kServers; ++i) {
    first.store.Put("servers/" + std::to_string(i),
                    R"({"address":"10.0.0.)" + std::to_string(i) +
                        R"(:80","zone":"z","state":"ready","slots":12})");
  }
  first.mirror.Start();
  first.RunUntil([&] { return first.put.size() == kServers; });
  wire::mirror_request wanted;
  wanted.__set_takes_packed(true);
  const wire::mirror_copy plain = first.mirror.CopyFor(wanted);
  wanted.__set_takes_packed_copy(true);
  wire::mirror_copy packed = first.mirror.CopyFor(wanted);
  BOOST_TEST(wire::Encode(packed).size() < wire::Encode(plain).size() / 4);
  world second;
  BOOST_TEST(second.mirror.Take(packed));
  BOOST_TEST((second.mirror.CopyFor({}) == plain));
  world third;
  packed.packed.pop_back();
  BOOST_TEST(!third.mirror.Take(packed));
  BOOST_TEST(third.mirror.revision() == 0);
}

// Hosts that start together read the store one for each zone.
BOOST_AUTO_TEST_CASE(a_host_that_knows_others_waits_for_their_copy) {
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
