// SPDX-License-Identifier: MIT
#include "decisions/relative_cost.h"

#include <array>
#include <cmath>
#include <random>

#include <boost/test/unit_test.hpp>

#include "decisions/engine_estimate.h"

namespace {

using namespace valeledge;
using namespace valeledge::decisions;
using namespace std::chrono_literals;
using milliseconds = std::chrono::duration<double, std::milli>;

constexpr milliseconds kUsual{100};

BOOST_AUTO_TEST_SUITE(relative_cost_decisions)

BOOST_AUTO_TEST_CASE(the_cost_of_a_model_starts_at_the_usual_one) {
  BOOST_TEST(CostRatio({}) == 1);
  relative_cost cost;
  RecordCost(cost, kUsual * 100, kUsual);
  BOOST_TEST(CostRatio(cost) < 1.15);
  RecordCost(cost, milliseconds(0), kUsual);
  RecordCost(cost, kUsual, milliseconds(0));
  BOOST_TEST(cost.weight == 1);
}

BOOST_AUTO_TEST_CASE(an_expensive_model_is_learned) {
  relative_cost cost;
  for (int i = 0; i < 60; ++i)
    RecordCost(cost, kUsual * 2, kUsual * CostRatio(cost));
  BOOST_TEST(CostRatio(cost) > 1.7);
  BOOST_TEST(CostRatio(cost) <= 2);
}

// Guards against costs and factors that drift apart without bound, since only
// their product can be observed.
BOOST_AUTO_TEST_CASE(costs_and_factors_keep_their_scale) {
  std::array<relative_cost, 4> models;
  std::array<engine_estimate, 4> engines;
  std::mt19937_64 random(3);
  std::bernoulli_distribution slow_phase(0.15);
  auto now = base::time_point() + 1h;
  for (int i = 0; i < 100'000; ++i, now += 50ms) {
    relative_cost& model = models[random() % models.size()];
    engine_estimate& engine = engines[random() % engines.size()];
    const milliseconds actual = kUsual * 0.45 * (slow_phase(random) ? 2.5 : 1);
    const milliseconds expected = kUsual * CostRatio(model);
    RecordCost(model, actual, expected * CurrentFactor(engine, now));
    observation_sums sums;
    RecordObservation(sums, engine, {actual, expected}, now);
    MergeObservations(engine, sums, now);
  }
  for (const relative_cost& each : models) {
    BOOST_TEST(CostRatio(each) > 0.7);
    BOOST_TEST(CostRatio(each) < 1.4);
  }
  for (const engine_estimate& each : engines) {
    BOOST_TEST(CurrentFactor(each, now) > 0.35);
    BOOST_TEST(CurrentFactor(each, now) < 0.9);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
