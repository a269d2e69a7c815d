// SPDX-License-Identifier: MIT
// A host accepts a key only while it is known to have received all revocations,
// regardless of delayed, repeated or lost messages.
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

BOOST_AUTO_TEST_SUITE(freshness_of_keys)

BOOST_AUTO_TEST_CASE(a_store_read_counts_from_its_request_time) {
  key_freshness freshness;
  BOOST_TEST(!DataAge(freshness, At(0ms)));
  RecordStoreRead(freshness, {At(100ms), 7}, 7, At(900ms));
  BOOST_TEST((DataAge(freshness, At(900ms)) == 800ms));
  // A repeated or late read does not change the age.
  RecordStoreRead(freshness, {At(50ms), 7}, 7, At(950ms));
  BOOST_TEST((DataAge(freshness, At(1000ms)) == 900ms));
}

BOOST_AUTO_TEST_CASE(a_store_read_is_pending_until_its_revision_is_here) {
  key_freshness freshness;
  RecordStoreRead(freshness, {At(100ms), 7}, 5, At(200ms));
  RecordStoreRead(freshness, {At(300ms), 9}, 5, At(400ms));
  BOOST_TEST(!DataAge(freshness, At(400ms)));
  RecordRevision(freshness, 8);
  BOOST_TEST((DataAge(freshness, At(500ms)) == 400ms));
  RecordRevision(freshness, 9);
  BOOST_TEST((DataAge(freshness, At(500ms)) == 200ms));
  BOOST_TEST(freshness.pending_reads.empty());
}

BOOST_AUTO_TEST_CASE(pending_reads_are_bounded) {
  key_freshness freshness;
  for (int i = 0; i < 1000; ++i)
    RecordStoreRead(freshness, {At(std::chrono::milliseconds(i)), 9}, 1,
                    At(2s));
  BOOST_TEST(freshness.pending_reads.size() <= 16u);
}

BOOST_AUTO_TEST_CASE(reads_with_an_invalid_time_or_revision_are_ignored) {
  key_freshness freshness;
  RecordStoreRead(freshness, {At(2s), 7}, 7, At(1s));
  RecordStoreRead(freshness, {At(500ms), 0}, 7, At(1s));
  BOOST_TEST(!DataAge(freshness, At(1s)));
}

BOOST_AUTO_TEST_CASE(keys_are_checked_against_the_bounds) {
  const key_bounds strict{5s, 3s};
  BOOST_TEST((CheckKey(true, 4s, strict) == key_verdict::kValid));
  BOOST_TEST((CheckKey(true, 5s, strict) == key_verdict::kNotFresh));
  BOOST_TEST((CheckKey(true, {}, strict) == key_verdict::kNotFresh));
  BOOST_TEST((CheckKey(false, 2s, strict) == key_verdict::kUnknown));
  BOOST_TEST((CheckKey(false, 4s, strict) == key_verdict::kNotFresh));
  const key_bounds lenient{std::nullopt, 3s};
  BOOST_TEST((CheckKey(true, {}, lenient) == key_verdict::kValid));
  BOOST_TEST((CheckKey(false, {}, lenient) == key_verdict::kNotFresh));
}

// Guards against a revoked key being accepted after the bound. A host is
// suspended or partitioned, and receives messages late, twice, out of order or
// never, while a key is revoked at a random time.
BOOST_AUTO_TEST_CASE(revoked_keys_are_rejected_in_time_despite_delays) {
  struct response {
    std::chrono::milliseconds arrives_at;
    store_read read;
  };
  std::mt19937_64 random(35001);
  const key_bounds bounds{5s, 3s};
  int served = 0;
  for (int run = 0; run < 300; ++run) {
    std::uniform_int_distribution<int> delay(0, run % 2 == 0 ? 20 : 9000);
    std::uniform_int_distribution<int> any(0, 9);
    const auto revoked_at = std::chrono::milliseconds(
        std::uniform_int_distribution(0, 20'000)(random));
    // The store's revision rises from 1 to 2 when the key is revoked.
    const auto revision_at = [&](std::chrono::milliseconds when) {
      return when >= revoked_at ? 2 : 1;
    };
    key_freshness freshness;
    std::int64_t here = 1;
    std::vector<response> in_flight;
    auto update_at = revoked_at + std::chrono::milliseconds(delay(random));
    for (auto now = 0ms; now < 30s; now += 20ms) {
      const bool frozen = run % 3 == 0 && now >= 6s && now < 13s;
      if (now % 600ms == 0ms && !frozen) {
        const auto read_at = now + std::chrono::milliseconds(delay(random));
        const store_read read{At(now), revision_at(read_at)};
        const int deliveries = any(random) == 0 ? 0 : 1 + any(random) % 2;
        for (int i = 0; i < deliveries; ++i) {
          in_flight.push_back(
              {read_at + std::chrono::milliseconds(delay(random)), read});
        }
      }
      if (frozen)
        continue;
      // Queued datagrams are processed before or after the update.
      const bool update_first = any(random) < 5;
      if (update_first && now >= update_at)
        here = 2;
      for (const response& each : in_flight) {
        if (each.arrives_at <= now)
          RecordStoreRead(freshness, each.read, here, At(now));
      }
      std::erase_if(in_flight, [&](const response& each) {
        return each.arrives_at <= now;
      });
      if (now >= update_at)
        here = 2;
      RecordRevision(freshness, here);
      const bool has_key = here == 1;
      const auto verdict =
          CheckKey(has_key, DataAge(freshness, At(now)), bounds);
      if (verdict != key_verdict::kValid)
        continue;
      ++served;
      BOOST_REQUIRE_LE((now - revoked_at).count(), 5000);
    }
  }
  BOOST_TEST(served > 50'000);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
