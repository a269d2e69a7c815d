// SPDX-License-Identifier: MIT
#include "decisions/snapshot_fetches.h"
#include "decisions/snapshot_serving.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace valeledge;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(copy_fetches)

const base::endpoint kOne{"10.0.0.1", 1};
const base::endpoint kTwo{"10.0.0.2", 1};
const base::endpoint kThree{"10.0.0.3", 1};
const base::endpoint kFour{"10.0.0.4", 1};
constexpr base::time_point kBegun{100s};

// A copy on a full link comes in slowly, for longer than any copy should take:
// it is not given up, and nobody else is asked for the first 1.5 s.
BOOST_AUTO_TEST_CASE(a_copy_is_waited_for_as_long_as_it_comes_in) {
  decisions::copy_fetches fetches;
  BOOST_TEST(decisions::BeginFetch(fetches, kOne, true, kBegun));
  for (auto passed = 0ms; passed < 20s; passed += 400ms) {
    const auto now = kBegun + passed;
    decisions::NoteBytes(fetches, kOne, passed.count(), now);
    BOOST_TEST((decisions::GiveUpAt(fetches, kOne) > now + 400ms));
    // The same peer is not asked twice at a time.
    BOOST_TEST(!decisions::BeginFetch(fetches, kOne, true, now));
    if (passed + 390ms < decisions::kSlowCopy)
      BOOST_TEST(!decisions::BeginFetch(fetches, kTwo, true, now + 390ms));
  }
  BOOST_TEST(decisions::BeginFetch(fetches, kTwo, true, kBegun + 20s));
}

BOOST_AUTO_TEST_CASE(a_copy_of_which_nothing_comes_is_given_up) {
  decisions::copy_fetches fetches;
  BOOST_TEST(decisions::BeginFetch(fetches, kOne, true, kBegun));
  BOOST_TEST((decisions::GiveUpAt(fetches, kOne) == kBegun + 1s));
  decisions::NoteBytes(fetches, kOne, 1000, kBegun + 700ms);
  // News of no more bytes is no sign of life.
  decisions::NoteBytes(fetches, kOne, 1000, kBegun + 900ms);
  BOOST_TEST((decisions::GiveUpAt(fetches, kOne) == kBegun + 1700ms));
  // Who was not asked is not waited for.
  BOOST_TEST((decisions::GiveUpAt(fetches, kTwo) < kBegun));
}

BOOST_AUTO_TEST_CASE(another_peer_is_asked_beside_one_that_gives_nothing) {
  decisions::copy_fetches fetches;
  BOOST_TEST(decisions::BeginFetch(fetches, kOne, true, kBegun));
  BOOST_TEST(!decisions::BeginFetch(fetches, kTwo, true, kBegun + 490ms));
  BOOST_TEST(decisions::BeginFetch(fetches, kTwo, true, kBegun + 500ms));
  BOOST_TEST(!decisions::BeginFetch(fetches, kThree, true, kBegun + 900ms));
  // Never more than two: they share this host's link.
  BOOST_TEST(!decisions::BeginFetch(fetches, kThree, true, kBegun + 3s));
  decisions::EndFetch(fetches, kTwo);
  BOOST_TEST(decisions::BeginFetch(fetches, kFour, true, kBegun + 3s));
}

BOOST_AUTO_TEST_CASE(after_a_copy_the_next_may_be_fetched_at_once) {
  decisions::copy_fetches fetches;
  BOOST_TEST(decisions::BeginFetch(fetches, kOne, true, kBegun));
  decisions::EndFetch(fetches, kOne);
  BOOST_TEST(decisions::BeginFetch(fetches, kOne, true, kBegun + 30ms));
}

// Each zone has a host that follows the store: copies cross zones only if none
// comes from the own one.
BOOST_AUTO_TEST_CASE(the_own_zone_is_asked_first) {
  decisions::copy_fetches fetches;
  BOOST_TEST(!decisions::BeginFetch(fetches, kOne, false, kBegun));
  BOOST_TEST(decisions::BeginFetch(fetches, kTwo, true, kBegun + 40ms));
  decisions::NoteCopy(fetches);
  decisions::EndFetch(fetches, kTwo);
  // The next newer copy is waited for anew.
  BOOST_TEST(!decisions::BeginFetch(fetches, kOne, false, kBegun + 320ms));
  BOOST_TEST(!decisions::BeginFetch(fetches, kOne, false, kBegun + 600ms));
  BOOST_TEST(decisions::BeginFetch(fetches, kOne, false, kBegun + 620ms));
}

BOOST_AUTO_TEST_CASE(a_host_is_behind_from_the_first_news_of_a_newer_copy) {
  decisions::copy_fetches fetches;
  BOOST_TEST(decisions::BehindFor(fetches, kBegun).count() == 0);
  BOOST_TEST(decisions::BeginFetch(fetches, kOne, true, kBegun));
  decisions::EndFetch(fetches, kOne);
  BOOST_TEST(decisions::BeginFetch(fetches, kTwo, true, kBegun + 2s));
  BOOST_TEST(decisions::BehindFor(fetches, kBegun + 3s).count() == 3000);
  decisions::NoteCopy(fetches);
  BOOST_TEST(decisions::BehindFor(fetches, kBegun + 4s).count() == 0);
}

// 10 Mbit/s: 375 KB leave in 300 ms.
BOOST_AUTO_TEST_CASE(a_host_with_much_to_send_gives_no_copy) {
  constexpr double kNarrow = 10e6 / 8;
  BOOST_TEST(decisions::MayGiveCopy(0, kNarrow));
  BOOST_TEST(decisions::MayGiveCopy(370'000, kNarrow));
  BOOST_TEST(!decisions::MayGiveCopy(380'000, kNarrow));
  BOOST_TEST(decisions::MayGiveCopy(7'400'000, 20 * kNarrow));
  BOOST_TEST(!decisions::MayGiveCopy(7'600'000, 20 * kNarrow));
  // An unknown link is taken for one of 100 Mbit/s.
  BOOST_TEST(decisions::MayGiveCopy(3'700'000, 0));
  BOOST_TEST(!decisions::MayGiveCopy(3'800'000, 0));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
