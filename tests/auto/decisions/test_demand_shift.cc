// SPDX-License-Identifier: MIT
#include "decisions/demand_shift.h"

#include <random>

#include <boost/test/unit_test.hpp>

namespace {

using namespace valeledge::decisions;
using namespace std::chrono_literals;

constexpr std::size_t kModels = 40;
const std::vector<double> kBusy = {52, 20, 15, 12, 10, 9, 8, 8, 7, 7};

// Demand that starts at position `at` of the list, of which `part` has shifted
// by `step` positions.
std::vector<double> Demand(std::size_t at, std::size_t step, double part) {
  std::vector<double> out(kModels, 0.2);
  for (std::size_t i = 0; i < kBusy.size(); ++i) {
    out[at + i] += (1 - part) * kBusy[i];
    out[at + step + i] += part * kBusy[i];
  }
  return out;
}

// Simulates a shift by `step` positions over 6 s, with random arrivals.
void PlayShift(demand_shift& shift,
               valeledge::base::time_point& now,
               std::size_t at,
               std::size_t step,
               std::mt19937_64& random) {
  for (int tick = 0; tick < 120; ++tick) {
    const double part = std::clamp((tick - 40) / 60.0, 0.0, 1.0);
    auto demand = Demand(at, step, part);
    for (double& each : demand) {
      std::poisson_distribution<int> arrivals(each * 2);
      each = arrivals(random) / 2.0;
    }
    RecordDemand(shift, now, demand);
    now += 100ms;
  }
}

BOOST_AUTO_TEST_SUITE(demand_shift_prediction)

BOOST_AUTO_TEST_CASE(the_step_is_learned_from_a_shift) {
  std::mt19937_64 random(7);
  for (const std::size_t step : {1U, 2U, 3U}) {
    for (int round = 0; round < 50; ++round) {
      demand_shift shift;
      valeledge::base::time_point now{100s};
      PlayShift(shift, now, 0, step, random);
      BOOST_REQUIRE(shift.step);
      BOOST_TEST(*shift.step == step);
      PlayShift(shift, now, step, step, random);
      BOOST_TEST(*shift.step == step);
    }
  }
}

BOOST_AUTO_TEST_CASE(noise_and_a_burst_of_one_model_are_not_a_shift) {
  std::mt19937_64 random(11);
  demand_shift shift;
  valeledge::base::time_point now{100s};
  for (int tick = 0; tick < 600; ++tick) {
    auto demand = Demand(0, 1, 0);
    if (tick > 200 && tick < 240)
      demand[20] += 60;
    for (double& each : demand) {
      std::poisson_distribution<int> arrivals(each * 2);
      each = arrivals(random) / 2.0;
    }
    RecordDemand(shift, now, demand);
    now += 100ms;
    BOOST_TEST(!shift.step);
  }
}

BOOST_AUTO_TEST_CASE(before_a_shift_the_next_two_models_are_expected_to_rise) {
  const demand_shift shift;
  const auto soon = DemandAfterShift(shift, {50, 20, 5, 0, 0});
  const std::vector<double> expected = {0, 50, 50, 20, 5};
  BOOST_TEST(soon == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_learned_step_is_expected_alone) {
  demand_shift shift;
  shift.step = 2;
  const auto soon = DemandAfterShift(shift, {50, 20, 5, 0, 0});
  const std::vector<double> expected = {0, 0, 50, 20, 5};
  BOOST_TEST(soon == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_longer_list_resets_the_samples) {
  demand_shift shift;
  valeledge::base::time_point now{100s};
  RecordDemand(shift, now, {5, 1});
  RecordDemand(shift, now + 1s, {5, 1, 0});
  BOOST_TEST(shift.samples.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
