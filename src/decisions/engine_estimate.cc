// SPDX-License-Identifier: MIT
#include "decisions/engine_estimate.h"

#include <algorithm>
#include <cmath>

namespace valeledge::decisions {

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;

// An observation that differs from the estimate by a larger factor than this is
// limited to it. Engines that work normally vary by a factor of up to 2.5.
const double kMaxLogDeviation = std::log(4.0);

// Older observations together have at most the weight of this many new ones.
// If 15% of the responses take 2.5 times as long, the estimate then varies by
// 6%, which is less than the tenth from which a change is published.
constexpr double kMaxWeight = 16;

// The same while the latest observations show another speed than the estimate:
// three more observations then move it by more than half of the difference.
constexpr double kMaxWeightInDrift = 3;

// Share that older observations keep in the drift for each new one.
constexpr double kDriftMemory = 0.75;

// The drift counts as a change of speed above this many times the spread. Of an
// engine that has not changed, its standard deviation is 0.38 times the spread.
constexpr double kDriftThreshold = 1.0;

// Lower bound of the spread in that comparison.
constexpr double kMinSpread = 0.25;

// Number of observations as which the prior counts: a single outlier of 2.5
// times then shows as a factor of 1.35.
constexpr double kPriorWeight = 2;

// Without any observation, 99 in 100 responses are assumed to start within 3
// times the expected time.
const double kPriorSpread = std::log(3.0) / 2.326;

// Without new observations, the estimate loses half of its weight in this time.
// An engine that is avoided because it was slow is tried again after about as
// much.
constexpr std::chrono::seconds kHalfLife{10};

// Fewer recent responses than this do not count for the median.
constexpr double kMinWeightForMedian = 2;

// More observations of one engine than a host can make between two reports.
constexpr std::int64_t kMaxObservations = 10'000;

const double kMinLogFactor = std::log(kMinEngineFactor);
const double kMaxLogFactor = std::log(kMaxEngineFactor);

double Decay(const engine_estimate& estimate, base::time_point now) {
  const std::chrono::duration<double> age =
      std::max(now - estimate.updated_at, base::time_point::duration(0));
  return std::exp2(-(age / std::chrono::duration<double>(kHalfLife)));
}

double WeightAt(const engine_estimate& estimate, base::time_point now) {
  return estimate.weight * Decay(estimate, now);
}

// Mean of the logarithm of the factor, with the prior.
double LogFactorAt(const engine_estimate& estimate, base::time_point now) {
  const double weight = WeightAt(estimate, now);
  const double share = weight / (weight + kPriorWeight);
  return std::clamp(
      estimate.log_prior + share * (estimate.log_factor - estimate.log_prior),
      kMinLogFactor, kMaxLogFactor);
}

// Quantile of the standard normal distribution, by bisection of its
// distribution function.
double NormalQuantile(double quantile) {
  double low = -8;
  double high = 8;
  while (high - low > 1e-6) {
    const double middle = (low + high) / 2;
    const double below = std::erfc(-middle / std::sqrt(2.0)) / 2;
    (below < quantile ? low : high) = middle;
  }
  return (low + high) / 2;
}

void MergeFailures(engine_estimate& estimate,
                   const observation_sums& sums,
                   base::time_point now) {
  const auto attempts = static_cast<double>(sums.responses + sums.failures);
  const double share =
      std::min(static_cast<double>(sums.failures) / attempts, 1.0);
  estimate.failure_share *= Decay(estimate, now);
  estimate.failure_share +=
      (share - estimate.failure_share) * attempts / (attempts + kMaxWeight / 2);
}

// Returns the weight of the observations before these.
double WeightBefore(engine_estimate& estimate,
                    double deviation,
                    double responses,
                    base::time_point now) {
  const double before = std::min(WeightAt(estimate, now), kMaxWeight);
  if (before < kMaxWeightInDrift) {
    estimate.drift = 0;
    return before;
  }
  const double kept = std::pow(kDriftMemory, responses);
  estimate.drift = kept * estimate.drift + (1 - kept) * deviation;
  const double spread = std::max(std::sqrt(estimate.variance), kMinSpread);
  const bool is_changing = std::abs(estimate.drift) > kDriftThreshold * spread;
  return is_changing ? kMaxWeightInDrift : before;
}

}  // namespace

void RecordObservation(observation_sums& sums,
                       const engine_estimate& estimate,
                       const engine_observation& observation,
                       base::time_point now) {
  if (observation.failed)
    ++sums.failures;
  const bool is_measured =
      observation.expected.count() > 0 && observation.actual.count() > 0;
  if (!is_measured)
    return;
  const double known = LogFactorAt(estimate, now);
  const double observed = std::log(observation.actual / observation.expected);
  if (observation.failed && observed <= known)
    return;
  const double limited = std::clamp(
      std::clamp(observed, known - kMaxLogDeviation, known + kMaxLogDeviation),
      kMinLogFactor, kMaxLogFactor);
  ++sums.responses;
  sums.log_factor_sum += limited;
  sums.log_factor_squares += limited * limited;
}

bool IsValid(const observation_sums& sums) {
  const bool has_valid_counts =
      sums.responses >= 0 && sums.responses <= kMaxObservations &&
      sums.failures >= 0 && sums.failures <= kMaxObservations;
  if (!has_valid_counts || sums.IsEmpty())
    return false;
  // Sums are rounded when they are sent.
  constexpr double kTolerance = 0.01;
  const auto count = static_cast<double>(sums.responses);
  const double sum = sums.log_factor_sum;
  const double squares = sums.log_factor_squares;
  const double limit = std::max(-kMinLogFactor, kMaxLogFactor) + kTolerance;
  return sum >= count * (kMinLogFactor - kTolerance) &&
         sum <= count * (kMaxLogFactor + kTolerance) && squares >= 0 &&
         squares <= count * limit * limit &&
         sum * sum <= count * (squares + count * kTolerance);
}

void MergeObservations(engine_estimate& estimate,
                       const observation_sums& sums,
                       base::time_point now) {
  if (sums.IsEmpty())
    return;
  MergeFailures(estimate, sums, now);
  if (sums.responses == 0) {
    estimate.weight = WeightAt(estimate, now);
    estimate.updated_at = now;
    return;
  }
  const auto responses = static_cast<double>(sums.responses);
  const double mean = sums.log_factor_sum / responses;
  const double within =
      std::max(sums.log_factor_squares / responses - mean * mean, 0.0);
  const double deviation = mean - estimate.log_factor;
  const double before = WeightBefore(estimate, deviation, responses, now);
  const double total = before + responses;
  const double share = responses / total;
  // Variance of the older observations and these together.
  estimate.variance =
      (1 - share) * (estimate.variance + share * deviation * deviation) +
      share * within;
  estimate.log_factor += share * deviation;
  estimate.weight = std::min(total, kMaxWeight);
  estimate.updated_at = now;
}

double CurrentFactor(const engine_estimate& estimate, base::time_point now) {
  return std::exp(LogFactorAt(estimate, now));
}

double RelativeFactor(const engine_estimate& estimate, base::time_point now) {
  return std::exp(LogFactorAt(estimate, now) - estimate.log_prior);
}

double CurrentFailureShare(const engine_estimate& estimate,
                           base::time_point now) {
  return estimate.failure_share * Decay(estimate, now);
}

milliseconds FirstEventQuantile(const engine_estimate& estimate,
                                milliseconds expected,
                                double quantile,
                                base::time_point now) {
  const double weight = WeightAt(estimate, now);
  const double total = weight + kPriorWeight;
  const double variance = (weight * estimate.variance +
                           kPriorWeight * kPriorSpread * kPriorSpread) /
                          total;
  // The mean is uncertain as well.
  const double spread = std::sqrt(variance * (1 + 1 / (1 + weight)));
  return expected * std::exp(LogFactorAt(estimate, now) +
                             NormalQuantile(quantile) * spread);
}

double MedianLogFactor(const std::vector<const engine_estimate*>& estimates,
                       base::time_point now) {
  std::vector<double> factors;
  for (const engine_estimate* each : estimates) {
    if (WeightAt(*each, now) >= kMinWeightForMedian)
      factors.push_back(each->log_factor);
  }
  if (factors.empty())
    return 0;
  const auto middle =
      factors.begin() + static_cast<std::ptrdiff_t>((factors.size() - 1) / 2);
  std::ranges::nth_element(factors, middle);
  return *middle;
}

}  // namespace valeledge::decisions
