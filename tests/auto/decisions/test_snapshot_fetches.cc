// SPDX-License-Identifier: MIT
#include "decisions/snapshot_fetches.h"
#include "decisions/snapshot_serving.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace valeledge;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(snapshot_fetches)

const base::endpoint kOne{"10.0.0.1", 1};
const base::endpoint kTwo{"10.0.0.2", 1};
const base::endpoint kThree{"10.0.0.3", 1};
const base::endpoint kFour{"10.0.0.4", 1};
constexpr base::time_point kStart{100s};

// A copy on a full link comes in slowly, for longer than any copy should take:
// it is not given up, and nobody else is asked for the first 1.5 s.
BOOST_AUTO_TEST_CASE(a_fetch_continues_while_bytes_arrive) {
  decisions::snapshot_fetches fetches;
  BOOST_TEST(decisions::TryStartFetch(fetches, kOne, true, kStart));
  for (auto passed = 0ms; passed < 20s; passed += 400ms) {
    const auto now = kStart + passed;
    decisions::RecordBytes(fetches, kOne, passed.count(), now);
    BOOST_TEST((decisions::FetchDeadline(fetches, kOne) > now + 400ms));
    // The same peer is not asked twice at a time.
    BOOST_TEST(!decisions::TryStartFetch(fetches, kOne, true, now));
    if (passed + 390ms < decisions::kSlowSnapshotTime)
      BOOST_TEST(!decisions::TryStartFetch(fetches, kTwo, true, now + 390ms));
  }
  BOOST_TEST(decisions::TryStartFetch(fetches, kTwo, true, kStart + 20s));
}

BOOST_AUTO_TEST_CASE(a_fetch_without_progress_times_out) {
  decisions::snapshot_fetches fetches;
  BOOST_TEST(decisions::TryStartFetch(fetches, kOne, true, kStart));
  BOOST_TEST((decisions::FetchDeadline(fetches, kOne) == kStart + 1s));
  decisions::RecordBytes(fetches, kOne, 1000, kStart + 700ms);
  // News of no more bytes is no sign of life.
  decisions::RecordBytes(fetches, kOne, 1000, kStart + 900ms);
  BOOST_TEST((decisions::FetchDeadline(fetches, kOne) == kStart + 1700ms));
  // Who was not asked is not waited for.
  BOOST_TEST((decisions::FetchDeadline(fetches, kTwo) < kStart));
}

BOOST_AUTO_TEST_CASE(a_second_peer_is_queried_when_the_first_stalls) {
  decisions::snapshot_fetches fetches;
  BOOST_TEST(decisions::TryStartFetch(fetches, kOne, true, kStart));
  BOOST_TEST(!decisions::TryStartFetch(fetches, kTwo, true, kStart + 490ms));
  BOOST_TEST(decisions::TryStartFetch(fetches, kTwo, true, kStart + 500ms));
  BOOST_TEST(!decisions::TryStartFetch(fetches, kThree, true, kStart + 900ms));
  // Never more than two: they share this host's link.
  BOOST_TEST(!decisions::TryStartFetch(fetches, kThree, true, kStart + 3s));
  decisions::EndFetch(fetches, kTwo);
  BOOST_TEST(decisions::TryStartFetch(fetches, kFour, true, kStart + 3s));
}

BOOST_AUTO_TEST_CASE(the_next_fetch_may_start_when_one_has_ended) {
  decisions::snapshot_fetches fetches;
  BOOST_TEST(decisions::TryStartFetch(fetches, kOne, true, kStart));
  decisions::EndFetch(fetches, kOne);
  BOOST_TEST(decisions::TryStartFetch(fetches, kOne, true, kStart + 30ms));
}

// Each zone has a host that follows the store: copies cross zones only if none
// comes from the own one.
BOOST_AUTO_TEST_CASE(the_own_zone_is_queried_first) {
  decisions::snapshot_fetches fetches;
  BOOST_TEST(!decisions::TryStartFetch(fetches, kOne, false, kStart));
  BOOST_TEST(decisions::TryStartFetch(fetches, kTwo, true, kStart + 40ms));
  decisions::RecordSnapshot(fetches);
  decisions::EndFetch(fetches, kTwo);
  // The next newer copy is waited for anew.
  BOOST_TEST(!decisions::TryStartFetch(fetches, kOne, false, kStart + 320ms));
  BOOST_TEST(!decisions::TryStartFetch(fetches, kOne, false, kStart + 600ms));
  BOOST_TEST(decisions::TryStartFetch(fetches, kOne, false, kStart + 620ms));
}

BOOST_AUTO_TEST_CASE(
    a_host_is_stale_from_the_first_report_of_a_newer_snapshot) {
  decisions::snapshot_fetches fetches;
  BOOST_TEST(decisions::StaleFor(fetches, kStart).count() == 0);
  BOOST_TEST(decisions::TryStartFetch(fetches, kOne, true, kStart));
  decisions::EndFetch(fetches, kOne);
  BOOST_TEST(decisions::TryStartFetch(fetches, kTwo, true, kStart + 2s));
  BOOST_TEST(decisions::StaleFor(fetches, kStart + 3s).count() == 3000);
  decisions::RecordSnapshot(fetches);
  BOOST_TEST(decisions::StaleFor(fetches, kStart + 4s).count() == 0);
}

// 10 Mbit/s: 375 KB leave in 300 ms.
BOOST_AUTO_TEST_CASE(a_host_with_a_long_send_queue_sends_no_snapshot) {
  constexpr double kNarrowLink = 10e6 / 8;
  BOOST_TEST(decisions::MaySendSnapshot(0, kNarrowLink));
  BOOST_TEST(decisions::MaySendSnapshot(370'000, kNarrowLink));
  BOOST_TEST(!decisions::MaySendSnapshot(380'000, kNarrowLink));
  BOOST_TEST(decisions::MaySendSnapshot(7'400'000, 20 * kNarrowLink));
  BOOST_TEST(!decisions::MaySendSnapshot(7'600'000, 20 * kNarrowLink));
  // An unknown link is taken for one of 100 Mbit/s.
  BOOST_TEST(decisions::MaySendSnapshot(3'700'000, 0));
  BOOST_TEST(!decisions::MaySendSnapshot(3'800'000, 0));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
