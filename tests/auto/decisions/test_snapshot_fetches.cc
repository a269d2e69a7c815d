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

// A transfer on a congested link is slow but progresses. It must not be
// abandoned, and no second peer is queried for the first 1.5 s.
BOOST_AUTO_TEST_CASE(a_fetch_continues_while_bytes_arrive) {
  decisions::snapshot_fetches fetches;
  BOOST_TEST(decisions::TryStartFetch(fetches, kOne, true, kStart));
  for (auto passed = 0ms; passed < 20s; passed += 400ms) {
    const auto now = kStart + passed;
    decisions::RecordBytes(fetches, kOne, passed.count(), now);
    BOOST_TEST((decisions::FetchDeadline(fetches, kOne) > now + 400ms));
    // No second fetch from the same peer while one is pending.
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
  // A report without new bytes is not progress.
  decisions::RecordBytes(fetches, kOne, 1000, kStart + 900ms);
  BOOST_TEST((decisions::FetchDeadline(fetches, kOne) == kStart + 1700ms));
  // There is no timeout for a peer without a fetch.
  BOOST_TEST((decisions::FetchDeadline(fetches, kTwo) < kStart));
}

BOOST_AUTO_TEST_CASE(a_second_peer_is_queried_when_the_first_stalls) {
  decisions::snapshot_fetches fetches;
  BOOST_TEST(decisions::TryStartFetch(fetches, kOne, true, kStart));
  BOOST_TEST(!decisions::TryStartFetch(fetches, kTwo, true, kStart + 490ms));
  BOOST_TEST(decisions::TryStartFetch(fetches, kTwo, true, kStart + 500ms));
  BOOST_TEST(!decisions::TryStartFetch(fetches, kThree, true, kStart + 900ms));
  // Never more than two: they share the link of this host.
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

// Each zone has a host that follows the store. Snapshots cross zones only if
// the own zone provides none.
BOOST_AUTO_TEST_CASE(the_own_zone_is_queried_first) {
  decisions::snapshot_fetches fetches;
  BOOST_TEST(!decisions::TryStartFetch(fetches, kOne, false, kStart));
  BOOST_TEST(decisions::TryStartFetch(fetches, kTwo, true, kStart + 40ms));
  decisions::RecordSnapshot(fetches);
  decisions::EndFetch(fetches, kTwo);
  // The time within the own zone starts again with the next newer snapshot.
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

// 375 KB are sent in 300 ms at 10 Mbit/s.
BOOST_AUTO_TEST_CASE(a_host_with_a_long_send_queue_sends_no_snapshot) {
  constexpr double kNarrowLink = 10e6 / 8;
  BOOST_TEST(decisions::MaySendSnapshot(0, kNarrowLink));
  BOOST_TEST(decisions::MaySendSnapshot(370'000, kNarrowLink));
  BOOST_TEST(!decisions::MaySendSnapshot(380'000, kNarrowLink));
  BOOST_TEST(decisions::MaySendSnapshot(7'400'000, 20 * kNarrowLink));
  BOOST_TEST(!decisions::MaySendSnapshot(7'600'000, 20 * kNarrowLink));
  // 100 Mbit/s are assumed for an unknown link.
  BOOST_TEST(decisions::MaySendSnapshot(3'700'000, 0));
  BOOST_TEST(!decisions::MaySendSnapshot(3'800'000, 0));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
