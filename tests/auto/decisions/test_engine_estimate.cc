// SPDX-License-Identifier: MIT
#include "decisions/engine_estimate.h"

#include <array>
#include <cmath>
#include <limits>
#include <random>

#include <boost/test/unit_test.hpp>

#include "decisions/engine_estimate_update.h"

namespace {

using namespace valeledge;
using namespace valeledge::decisions;
using namespace std::chrono_literals;
using milliseconds = std::chrono::duration<double, std::milli>;

constexpr milliseconds kExpected{200};

const base::time_point kStart = base::time_point() + 1h;

// An engine whose responses take `speed_factor` times the expected time, and
// 15% of them 2.5 times as long as that.
struct engine {
  void Respond(int count, std::chrono::milliseconds interval = 280ms) {
    std::bernoulli_distribution slow_phase(0.15);
    for (int i = 0; i < count; ++i) {
      now += interval;
      Add(speed_factor * (has_noise && slow_phase(random) ? 2.5 : 1));
    }
  }
  void Add(double factor) {
    observation_sums sums;
    RecordObservation(sums, estimate, {kExpected * factor, kExpected}, now);
    MergeObservations(estimate, sums, now);
  }
  double Factor() const { return CurrentFactor(estimate, now); }

  double speed_factor = 1;
  bool has_noise = false;
  engine_estimate estimate;
  base::time_point now = kStart;
  std::mt19937_64 random{5};
};

BOOST_AUTO_TEST_SUITE(engine_estimate_decisions)

BOOST_AUTO_TEST_CASE(an_engine_without_observations_has_the_prior) {
  engine_estimate estimate;
  BOOST_TEST(CurrentFactor(estimate, kStart) == 1);
  estimate.log_prior = std::log(0.5);
  BOOST_TEST(CurrentFactor(estimate, kStart) == 0.5,
             boost::test_tools::tolerance(1e-9));
  BOOST_TEST(RelativeFactor(estimate, kStart) == 1,
             boost::test_tools::tolerance(1e-9));
}

// Guards against a single slow response making an engine look slow, which other
// hosts would then avoid.
BOOST_AUTO_TEST_CASE(one_observation_moves_the_factor_by_less_than_half) {
  engine one;
  one.Add(2.5);
  BOOST_TEST(one.Factor() > 1.3);
  BOOST_TEST(one.Factor() < 1.5);
  engine outlier;
  outlier.Add(1000);
  BOOST_TEST(outlier.Factor() < 1.8);
}

BOOST_AUTO_TEST_CASE(an_outlier_hardly_moves_an_established_estimate) {
  engine steady;
  steady.Respond(30);
  steady.Add(1000);
  BOOST_TEST(steady.Factor() < 1.1);
  steady.Add(0.0001);
  BOOST_TEST(steady.Factor() > 0.95);
}

BOOST_AUTO_TEST_CASE(an_engine_at_0_55_of_the_speed_is_told_from_others) {
  engine slow{1 / 0.55, true};
  engine fast{1 / 1.2, true};
  slow.Respond(5);
  fast.Respond(5);
  BOOST_TEST(slow.Factor() / fast.Factor() > 1.5);
  slow.Respond(100);
  fast.Respond(100);
  BOOST_TEST(slow.Factor() / fast.Factor() > 1.8);
  BOOST_TEST(slow.Factor() / fast.Factor() < 2.6);
}

// Mean factor of 200 engines relative to the one before they changed.
struct changed_engines {
  explicit changed_engines(double speed_factor) : before(0) {
    for (std::size_t i = 0; i < engines.size(); ++i) {
      engines[i] = {speed_factor, true};
      engines[i].random.seed(i);
      engines[i].Respond(100);
    }
    before = Mean();
  }
  double Mean() const {
    double sum = 0;
    for (const engine& each : engines)
      sum += std::log(each.Factor());
    return std::exp(sum / static_cast<double>(engines.size()));
  }
  double Change(double speed_factor, int responses) {
    for (engine& each : engines) {
      each.speed_factor = speed_factor;
      each.Respond(responses);
    }
    return Mean() / before;
  }

  std::array<engine, 200> engines;
  double before;
};

// Guards against an average that takes as long to forget as it took to learn.
BOOST_AUTO_TEST_CASE(a_change_of_speed_shows_within_five_responses) {
  changed_engines changed(1);
  BOOST_TEST(changed.Change(2.2, 5) > 1.5);
  BOOST_TEST(changed.Change(2.2, 10) > 1.85);
  BOOST_TEST(changed.Change(1, 5) < 1.5);
  BOOST_TEST(changed.Change(1, 10) < 1.15);
}

// Hosts learn of a change from a tenth on, so an estimate that varies by more
// would be published all the time.
BOOST_AUTO_TEST_CASE(an_unchanged_engine_varies_by_less_than_a_tenth) {
  engine steady{1, true};
  steady.Respond(50);
  double sum = 0;
  double squares = 0;
  constexpr int kSamples = 2000;
  for (int i = 0; i < kSamples; ++i) {
    steady.Respond(1);
    const double value = std::log(steady.Factor());
    sum += value;
    squares += value * value;
  }
  const double mean = sum / kSamples;
  BOOST_TEST(std::sqrt(squares / kSamples - mean * mean) < 0.1);
}

// An engine that is avoided has no responses that could show its recovery.
BOOST_AUTO_TEST_CASE(without_observations_the_factor_decays_to_the_prior) {
  engine sick{10};
  sick.Respond(30);
  sick.estimate.log_prior = std::log(0.9);
  const double before = sick.Factor();
  BOOST_TEST(before > 7);
  sick.now += 5s;
  BOOST_TEST(sick.Factor() < before * 0.85);
  sick.now += 25s;
  BOOST_TEST(sick.Factor() < 1.6);
  sick.now += 1h;
  BOOST_TEST(sick.Factor() == 0.9, boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_CASE(the_factor_stays_within_its_bounds) {
  engine stuck{1e6};
  stuck.Respond(200);
  BOOST_TEST(stuck.Factor() <= 20);
  BOOST_TEST(stuck.Factor() > 14);
  engine hasty{1e-6};
  hasty.Respond(200);
  BOOST_TEST(hasty.Factor() >= 0.2);
  BOOST_TEST(hasty.Factor() < 0.3);
}

BOOST_AUTO_TEST_CASE(observations_of_several_hosts_count_like_those_of_one) {
  engine one{1.5, true};
  one.Respond(8);
  engine other{1.5, true};
  observation_sums sums;
  std::bernoulli_distribution slow_phase(0.15);
  for (int i = 0; i < 8; ++i) {
    const double factor = 1.5 * (slow_phase(other.random) ? 2.5 : 1);
    RecordObservation(sums, other.estimate, {kExpected * factor, kExpected},
                      kStart);
  }
  MergeObservations(other.estimate, sums, kStart);
  BOOST_TEST(other.Factor() / one.Factor() > 0.8);
  BOOST_TEST(other.Factor() / one.Factor() < 1.25);
}

BOOST_AUTO_TEST_CASE(unusable_times_are_no_responses) {
  observation_sums sums;
  RecordObservation(sums, {}, {kExpected, milliseconds(0)}, kStart);
  RecordObservation(sums, {}, {milliseconds(-1), kExpected}, kStart);
  RecordObservation(sums, {}, {kExpected, milliseconds(std::nan(""))}, kStart);
  RecordObservation(
      sums, {},
      {milliseconds(std::numeric_limits<double>::infinity()), kExpected},
      kStart);
  BOOST_TEST(sums.IsEmpty());
}

// An attempt that is abandoned has no response, but would have had a late one.
// Without it, an engine that is abandoned each time would never look slow.
BOOST_AUTO_TEST_CASE(abandoned_attempts_count_as_late_responses) {
  observation_sums sums;
  RecordObservation(sums, {}, {kExpected / 2, kExpected, true}, kStart);
  BOOST_TEST(sums.responses == 0);
  BOOST_TEST(sums.failures == 1);
  RecordObservation(sums, {}, {kExpected * 2, kExpected, true}, kStart);
  BOOST_TEST(sums.responses == 1);
  BOOST_TEST(sums.failures == 2);
}

BOOST_AUTO_TEST_CASE(the_failure_share_follows_failures_and_decays) {
  engine_estimate estimate;
  observation_sums failed;
  failed.failures = 8;
  MergeObservations(estimate, failed, kStart);
  BOOST_TEST(CurrentFailureShare(estimate, kStart) == 0.5);
  BOOST_TEST(CurrentFailureShare(estimate, kStart + 5s) == 0.25);
  observation_sums good;
  good.responses = 8;
  MergeObservations(estimate, good, kStart);
  BOOST_TEST(CurrentFailureShare(estimate, kStart) == 0.25);
}

// Attempts beyond this quantile may be abandoned, so it must not be too low at
// any time.
BOOST_AUTO_TEST_CASE(the_quantile_covers_that_share_of_responses) {
  engine steady{1.8, true};
  steady.Respond(200);
  constexpr int kResponses = 20'000;
  int later = 0;
  milliseconds limits{0};
  std::bernoulli_distribution slow_phase(0.15);
  for (int i = 0; i < kResponses; ++i) {
    steady.Respond(1);
    const auto limit =
        FirstEventQuantile(steady.estimate, kExpected, 0.99, steady.now);
    limits += limit;
    const double factor = 1.8 * (slow_phase(steady.random) ? 2.5 : 1);
    later += kExpected * factor > limit ? 1 : 0;
  }
  BOOST_TEST_MESSAGE("later than the 99th percentile: " << later << " of "
                                                        << kResponses);
  BOOST_TEST(later <= kResponses / 100);
  BOOST_TEST((limits / kResponses < kExpected * 1.8 * 4));
  const auto median =
      FirstEventQuantile(steady.estimate, kExpected, 0.5, steady.now);
  BOOST_TEST(median / kExpected == steady.Factor(),
             boost::test_tools::tolerance(1e-3));
}

BOOST_AUTO_TEST_CASE(without_observations_the_99th_percentile_is_threefold) {
  const auto limit = FirstEventQuantile({}, kExpected, 0.99, kStart);
  BOOST_TEST(limit / kExpected == 3, boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_CASE(the_median_ignores_engines_with_few_observations) {
  engine_estimate normal;
  normal.log_factor = std::log(0.8);
  normal.weight = 8;
  normal.updated_at = kStart;
  engine_estimate slow = normal;
  slow.log_factor = std::log(2.0);
  engine_estimate unknown = slow;
  unknown.weight = 1;
  BOOST_TEST(MedianLogFactor({}, kStart) == 0);
  BOOST_TEST(MedianLogFactor({&unknown, &unknown}, kStart) == 0);
  BOOST_TEST(MedianLogFactor({&slow, &normal, &unknown, &normal, &unknown},
                             kStart) == normal.log_factor);
}

// Observations in one message of another host.
struct received {
  std::int32_t responses;
  std::int32_t log_factor_sum;
  std::int64_t log_factor_squares;
  std::int32_t failures;

  bool IsValid() const {
    wire::engine_observation message;
    message.responses = responses;
    message.log_factor_sum = log_factor_sum;
    message.log_factor_squares = log_factor_squares;
    message.failures = failures;
    return FromWire(message).has_value();
  }
};

BOOST_AUTO_TEST_CASE(observations_that_cannot_be_valid_are_refused) {
  BOOST_TEST((received{2, 1000, 500'000, 0}.IsValid()));
  BOOST_TEST((received{0, 0, 0, 1}.IsValid()));
  BOOST_TEST((!received{0, 0, 0, 0}.IsValid()));
  BOOST_TEST((!received{-1, 0, 0, 0}.IsValid()));
  BOOST_TEST((!received{1, 0, 0, -1}.IsValid()));
  BOOST_TEST((!received{2'000'000'000, 0, 0, 0}.IsValid()));
  BOOST_TEST((!received{1, 0, -1, 0}.IsValid()));
  // Beyond the bounds of the factor, and squares that do not fit the sum.
  BOOST_TEST((!received{1, 9000, 81'000'000, 0}.IsValid()));
  BOOST_TEST((!received{1, -9000, 81'000'000, 0}.IsValid()));
  BOOST_TEST((!received{2, 4000, 0, 0}.IsValid()));
  BOOST_TEST(
      (!received{1, 0, std::numeric_limits<std::int64_t>::max(), 0}.IsValid()));
}

BOOST_AUTO_TEST_CASE(estimates_that_cannot_be_valid_are_refused) {
  engine slow{1 / 0.55, true};
  slow.Respond(30);
  const auto good = ToWire(7, slow.estimate, slow.now);
  const auto copy = FromWire(good, slow.now);
  BOOST_REQUIRE(copy.has_value());
  BOOST_TEST(CurrentFactor(*copy, slow.now) == slow.Factor(),
             boost::test_tools::tolerance(0.01));
  const auto refuses = [&](auto change) {
    wire::engine_estimate_report bad = good;
    change(bad);
    return !FromWire(bad, slow.now);
  };
  BOOST_TEST(refuses([](auto& each) { each.log_factor = 4000; }));
  BOOST_TEST(refuses([](auto& each) { each.log_factor = -4000; }));
  BOOST_TEST(refuses([](auto& each) { each.log_spread = -1; }));
  BOOST_TEST(refuses([](auto& each) { each.log_spread = 2'000'000'000; }));
  BOOST_TEST(refuses([](auto& each) { each.failure_share = 1001; }));
  BOOST_TEST(refuses([](auto& each) { each.failure_share = -1; }));
  BOOST_TEST(refuses([](auto& each) { each.weight = -1; }));
  BOOST_TEST(refuses([](auto& each) { each.weight = 1'000'000; }));
}

BOOST_AUTO_TEST_CASE(an_estimate_is_published_when_it_has_changed) {
  engine slow{2};
  estimate_exchange exchange;
  const auto need = [&] {
    return PublicationNeed(slow.estimate, exchange, slow.now);
  };
  slow.Respond(10);
  BOOST_TEST((need() == publication_need::kNone));
  exchange.has_merged = true;
  BOOST_TEST((need() == publication_need::kUrgent));
  exchange.published = slow.estimate;
  exchange.published_at = slow.now;
  slow.now += 1s;
  BOOST_TEST((need() == publication_need::kNone));
  slow.speed_factor = 4;
  slow.Respond(2, 1ms);
  BOOST_TEST((need() == publication_need::kUseful));
  slow.Respond(10, 1ms);
  BOOST_TEST((need() == publication_need::kUrgent));
  // At most once a second.
  exchange.published_at = slow.now - 900ms;
  BOOST_TEST((need() == publication_need::kNone));
}

// Hosts that have missed it, or have started since, need it as well.
BOOST_AUTO_TEST_CASE(an_unchanged_estimate_is_published_again_after_a_while) {
  engine steady;
  steady.Respond(30);
  estimate_exchange exchange;
  exchange.published = steady.estimate;
  exchange.published_at = steady.now;
  steady.Respond(16);
  exchange.has_merged = true;
  BOOST_TEST((PublicationNeed(steady.estimate, exchange, steady.now) ==
              publication_need::kNone));
  steady.Respond(4);
  BOOST_TEST((PublicationNeed(steady.estimate, exchange, steady.now) ==
              publication_need::kUseful));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
