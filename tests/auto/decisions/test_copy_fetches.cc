// SPDX-License-Identifier: MIT
#include "decisions/copy_fetches.h"

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

// Four hosts at 10 Mbit/s fetch 280 KB from one peer, which takes 0.9 s.
BOOST_AUTO_TEST_CASE(a_copy_on_a_shared_narrow_link_is_waited_for) {
  constexpr std::chrono::duration<double> kTakes{4 * 280e3 * 8 / 10e6};
  BOOST_TEST((decisions::kCopyTimeout > kTakes));
  decisions::copy_fetches fetches;
  BOOST_TEST(decisions::BeginFetch(fetches, kOne, true, kBegun));
  BOOST_TEST(!decisions::BeginFetch(fetches, kTwo, true, kBegun + 400ms));
  // The same peer is not asked twice at a time.
  BOOST_TEST(!decisions::BeginFetch(fetches, kOne, true, kBegun + 600ms));
}

BOOST_AUTO_TEST_CASE(another_peer_is_asked_beside_one_that_gives_nothing) {
  decisions::copy_fetches fetches;
  BOOST_TEST(decisions::BeginFetch(fetches, kOne, true, kBegun));
  BOOST_TEST(decisions::BeginFetch(fetches, kTwo, true, kBegun + 500ms));
  BOOST_TEST(!decisions::BeginFetch(fetches, kThree, true, kBegun + 900ms));
  BOOST_TEST(decisions::BeginFetch(fetches, kThree, true, kBegun + 1000ms));
  BOOST_TEST(!decisions::BeginFetch(fetches, kFour, true, kBegun + 1500ms));
  decisions::EndFetch(fetches, kTwo);
  BOOST_TEST(decisions::BeginFetch(fetches, kFour, true, kBegun + 1500ms));
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

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
