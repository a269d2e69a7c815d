// SPDX-License-Identifier: MIT
#include "decisions/demand_trend.h"

#include <cmath>
#include <functional>

#include <boost/test/unit_test.hpp>

namespace {

using namespace valeledge::decisions;
using std::chrono::milliseconds;

constexpr double kStep = 0.1;

// Rates after `seconds` of requests that arrive at `rate` per second at a time.
request_rates RatesAfter(double seconds,
                         const std::function<double(double)>& rate) {
  request_rates out{0, 0, std::chrono::seconds(1), std::chrono::seconds(8)};
  for (double at = 0; at < seconds; at += kStep) {
    out.recent += (1 - std::exp(-kStep / 1)) * (rate(at) - out.recent);
    out.steady += (1 - std::exp(-kStep / 8)) * (rate(at) - out.steady);
  }
  return out;
}

BOOST_AUTO_TEST_SUITE(demand_trends)

BOOST_AUTO_TEST_CASE(a_steady_rise_is_expected_to_go_on_during_the_load) {
  const auto rates = RatesAfter(60, [](double at) { return 3 * at; });
  const double in_2_s = ExpectedRise(rates, milliseconds(2000));
  BOOST_TEST(in_2_s > 5.5);
  BOOST_TEST(in_2_s < 6.5);
  BOOST_TEST(ExpectedRise(rates, milliseconds(4000)) > 1.9 * in_2_s);
}

BOOST_AUTO_TEST_CASE(no_rise_is_expected_of_steady_or_falling_demand) {
  const auto steady = RatesAfter(60, [](double) { return 20; });
  BOOST_TEST(ExpectedRise(steady, milliseconds(6000)) < 0.1);
  const auto falling =
      RatesAfter(60, [](double at) { return at < 50 ? 20 : 2; });
  BOOST_TEST(ExpectedRise(falling, milliseconds(6000)) == 0);
}

// Guards against replicas for a multiple of a demand that has just begun.
BOOST_AUTO_TEST_CASE(demand_is_expected_to_double_at_most) {
  const auto begun = RatesAfter(3, [](double) { return 20; });
  BOOST_TEST(ExpectedRise(begun, milliseconds(60'000)) <= begun.recent);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
