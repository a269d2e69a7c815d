// SPDX-License-Identifier: MIT
#include "decisions/advertised_limit.h"

#include <optional>

#include <boost/test/unit_test.hpp>

namespace {

using namespace valeledge;
using namespace valeledge::decisions;
using namespace std::chrono_literals;

const base::time_point kStart = base::time_point() + 1h;

limit_observation Response(std::optional<double> rate,
                           std::chrono::milliseconds sent,
                           std::chrono::milliseconds received) {
  return {rate, kStart + sent, kStart + received};
}

BOOST_AUTO_TEST_SUITE(advertised_limits)

BOOST_AUTO_TEST_CASE(a_later_response_changes_and_withdraws_the_limit) {
  limit_view known;
  BOOST_TEST((Observe(known, Response({}, 0ms, 5ms)) == limit_change::kNone));
  BOOST_TEST(
      (Observe(known, Response(2.3, 10ms, 15ms)) == limit_change::kAdvertised));
  BOOST_TEST(
      (Observe(known, Response(2.3, 20ms, 25ms)) == limit_change::kNone));
  BOOST_TEST(
      (Observe(known, Response(4, 30ms, 35ms)) == limit_change::kChanged));
  BOOST_TEST(known.limit->rate == 4);
  BOOST_TEST(
      (Observe(known, Response({}, 40ms, 45ms)) == limit_change::kWithdrawn));
  BOOST_TEST(!known.limit.has_value());
}

// The head of a long stream, or a delayed response, may be older than its
// receive time suggests.
BOOST_AUTO_TEST_CASE(a_delayed_response_neither_raises_nor_withdraws) {
  limit_view known;
  Observe(known, Response(1, 10ms, 15ms));
  BOOST_TEST((Observe(known, Response({}, 5ms, 20ms)) == limit_change::kNone));
  BOOST_TEST((Observe(known, Response(9, 14ms, 30ms)) == limit_change::kNone));
  BOOST_TEST(known.limit->rate == 1);
  BOOST_TEST(
      (Observe(known, Response(0.5, 14ms, 40ms)) == limit_change::kChanged));
  BOOST_TEST(known.limit->rate == 0.5);
}

BOOST_AUTO_TEST_CASE(a_limit_of_zero_is_a_limit) {
  limit_view known;
  BOOST_TEST(
      (Observe(known, Response(0, 0ms, 5ms)) == limit_change::kAdvertised));
  BOOST_REQUIRE(known.limit.has_value());
  BOOST_TEST(known.limit->rate == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
