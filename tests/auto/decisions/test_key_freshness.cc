// SPDX-License-Identifier: MIT
// A host goes by a key only while it certainly knows of all that were taken
// away, whatever happens to the messages by which it learns so.
#include "decisions/key_freshness.h"

#include <optional>
#include <random>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace {

using namespace valeledge::decisions;
using namespace std::chrono_literals;

boot_time At(std::chrono::milliseconds when) {
  return boot_time(1h + when);
}

BOOST_AUTO_TEST_SUITE(certainty_of_keys)

BOOST_AUTO_TEST_CASE(a_reading_counts_from_when_it_was_asked_for) {
  key_certainty known;
  BOOST_TEST(!AgeOf(known, At(0ms)));
  NoteReading(known, {At(100ms), 7}, 7, At(900ms));
  BOOST_TEST((AgeOf(known, At(900ms)) == 800ms));
  // One that comes again, or late, makes nothing younger, or older.
  NoteReading(known, {At(50ms), 7}, 7, At(950ms));
  BOOST_TEST((AgeOf(known, At(1000ms)) == 900ms));
}

BOOST_AUTO_TEST_CASE(a_reading_waits_for_what_it_found) {
  key_certainty known;
  NoteReading(known, {At(100ms), 7}, 5, At(200ms));
  NoteReading(known, {At(300ms), 9}, 5, At(400ms));
  BOOST_TEST(!AgeOf(known, At(400ms)));
  NoteRevision(known, 8);
  BOOST_TEST((AgeOf(known, At(500ms)) == 400ms));
  NoteRevision(known, 9);
  BOOST_TEST((AgeOf(known, At(500ms)) == 200ms));
  BOOST_TEST(known.awaited.empty());
}

BOOST_AUTO_TEST_CASE(what_awaits_is_bounded) {
  key_certainty known;
  for (int i = 0; i < 1000; ++i)
    NoteReading(known, {At(std::chrono::milliseconds(i)), 9}, 1, At(2s));
  BOOST_TEST(known.awaited.size() <= 16u);
}

BOOST_AUTO_TEST_CASE(readings_of_another_clock_tell_nothing) {
  key_certainty known;
  NoteReading(known, {At(2s), 7}, 7, At(1s));
  NoteReading(known, {At(500ms), 0}, 7, At(1s));
  BOOST_TEST(!AgeOf(known, At(1s)));
}

BOOST_AUTO_TEST_CASE(keys_are_judged_by_what_is_certain) {
  const key_bounds strict{5s, 3s};
  BOOST_TEST((JudgeKey(true, 4s, strict) == key_verdict::kGood));
  BOOST_TEST((JudgeKey(true, 5s, strict) == key_verdict::kNotCertain));
  BOOST_TEST((JudgeKey(true, {}, strict) == key_verdict::kNotCertain));
  BOOST_TEST((JudgeKey(false, 2s, strict) == key_verdict::kUnknown));
  BOOST_TEST((JudgeKey(false, 4s, strict) == key_verdict::kNotCertain));
  const key_bounds lenient{std::nullopt, 3s};
  BOOST_TEST((JudgeKey(true, {}, lenient) == key_verdict::kGood));
  BOOST_TEST((JudgeKey(false, {}, lenient) == key_verdict::kNotCertain));
}

// A host freezes, is cut off, and gets what it was told late, twice, in another
// order or never; a key is taken away at a random time. A request that comes
// later than the bound after that is never served.
BOOST_AUTO_TEST_CASE(no_key_outlives_its_bound_whatever_comes_late) {
  struct answer {
    std::chrono::milliseconds comes_at;
    store_reading reading;
  };
  std::mt19937_64 random(35001);
  const key_bounds bounds{5s, 3s};
  int served = 0;
  for (int play = 0; play < 300; ++play) {
    std::uniform_int_distribution<int> delay(0, play % 2 == 0 ? 20 : 9000);
    std::uniform_int_distribution<int> any(0, 9);
    const auto revoked_at = std::chrono::milliseconds(
        std::uniform_int_distribution(0, 20'000)(random));
    // The store's revision rises from 1 to 2 as the key goes.
    const auto revision_at = [&](std::chrono::milliseconds when) {
      return when >= revoked_at ? 2 : 1;
    };
    key_certainty known;
    std::int64_t here = 1;
    std::vector<answer> on_the_way;
    auto news_at = revoked_at + std::chrono::milliseconds(delay(random));
    for (auto now = 0ms; now < 30s; now += 20ms) {
      const bool frozen = play % 3 == 0 && now >= 6s && now < 13s;
      if (now % 600ms == 0ms && !frozen) {
        const auto read_at = now + std::chrono::milliseconds(delay(random));
        const store_reading reading{At(now), revision_at(read_at)};
        const int copies = any(random) == 0 ? 0 : 1 + any(random) % 2;
        for (int i = 0; i < copies; ++i) {
          on_the_way.push_back(
              {read_at + std::chrono::milliseconds(delay(random)), reading});
        }
      }
      if (frozen)
        continue;
      // Datagrams that waited meanwhile come before, or after, what changed.
      const bool news_first = any(random) < 5;
      if (news_first && now >= news_at)
        here = 2;
      for (const answer& each : on_the_way) {
        if (each.comes_at <= now)
          NoteReading(known, each.reading, here, At(now));
      }
      std::erase_if(on_the_way,
                    [&](const answer& each) { return each.comes_at <= now; });
      if (now >= news_at)
        here = 2;
      NoteRevision(known, here);
      const bool has_key = here == 1;
      const auto verdict = JudgeKey(has_key, AgeOf(known, At(now)), bounds);
      if (verdict != key_verdict::kGood)
        continue;
      ++served;
      BOOST_REQUIRE_LE((now - revoked_at).count(), 5000);
    }
  }
  BOOST_TEST(served > 50'000);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
