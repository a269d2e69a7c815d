// SPDX-License-Identifier: MIT
#include "decisions/engine_estimate.h"

#include <algorithm>
#include <cmath>

#include <boost/math/distributions/normal.hpp>

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

// The same for the variance, to which a few responses contribute most.
constexpr double kMaxVarianceMemory = 64;

// The same after a change of speed: three more observations then move the
// estimate by more than half of the difference.
constexpr double kMemoryAfterChange = 3;

// Share that older observations keep in the drift for each new one. The speed
// has changed if the drift exceeds the spread; of an engine that has not
// changed, the drift's standard deviation is 0.46 times the spread.
constexpr double kDriftMemory = 0.65;

// Bounds in that comparison, so that a single outlier is no change.
constexpr double kMaxDrift = 0.7;
constexpr double kMinSpread = 0.25;

// Number of attempts as which the older ones count for the failure share.
constexpr double kFailureMemory = 8;

// Number of observations as which the prior counts: a single outlier of 2.5
// times then shows as a factor of 1.45.
constexpr double kPriorWeight = 1.5;

// Quantiles are wider than those of a normal distribution of the same spread:
// response times have a longer tail, and the estimate lags behind. With 1, 7%
// of the responses of an engine with the noise above are later than the 99th
// percentile, with 1.6 0.8% are.
constexpr double kTailFactor = 1.6;

// Without any observation, 99 in 100 responses are assumed to start within 3
// times the expected time.
const double kPriorSpread = std::log(3.0) / 2.326 / kTailFactor;

// Number of observations as which that spread counts. Higher than for the
// factor, since engines differ less in it, and few responses show it.
constexpr double kPriorSpreadWeight = 8;

// Without new observations, the estimate loses half of its weight in this time.
// An engine that is avoided as slow is tried again after about the same time.
constexpr std::chrono::seconds kHalfLife{5};

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

// Mean of the logarithm of the factor, with the prior.
double LogFactorAt(const engine_estimate& estimate, base::time_point now) {
  const double weight = WeightAt(estimate, now);
  const double share = weight / (weight + kPriorWeight);
  return std::clamp(
      estimate.log_prior + share * (estimate.log_factor - estimate.log_prior),
      kMinLogFactor, kMaxLogFactor);
}

void MergeFailures(engine_estimate& estimate, const observation_sums& sums) {
  const auto attempts = static_cast<double>(sums.responses + sums.failures);
  const double share =
      std::min(static_cast<double>(sums.failures) / attempts, 1.0);
  estimate.failure_share +=
      (share - estimate.failure_share) * attempts / (attempts + kFailureMemory);
}

// Lets older observations count less if the latest ones show that the speed has
// changed.
void DetectChange(engine_estimate& estimate,
                  double deviation,
                  double responses) {
  if (estimate.mean_memory < kMemoryAfterChange) {
    estimate.drift = 0;
    return;
  }
  const double kept = std::pow(kDriftMemory, responses);
  const double limited = std::clamp(deviation, -kMaxDrift, kMaxDrift);
  estimate.drift = kept * estimate.drift + (1 - kept) * limited;
  const double spread = std::max(std::sqrt(estimate.variance), kMinSpread);
  if (std::abs(estimate.drift) > spread)
    estimate.mean_memory = kMemoryAfterChange;
}

// Lets all observations so far lose weight by time.
void Age(engine_estimate& estimate, base::time_point now) {
  const double kept = Decay(estimate, now);
  estimate.weight *= kept;
  estimate.mean_memory *= kept;
  estimate.variance_memory *= kept;
  estimate.failure_share *= kept;
  estimate.updated_at = now;
}

}  // namespace

void Add(observation_sums& sums, const observation_sums& other) {
  sums.responses += other.responses;
  sums.log_factor_sum += other.log_factor_sum;
  sums.log_factor_squares += other.log_factor_squares;
  sums.failures += other.failures;
}

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
  if (!std::isfinite(observed))
    return;
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

bool IsValid(const engine_estimate& estimate) {
  // Values are rounded when they are sent.
  constexpr double kTolerance = 0.001;
  const double widest = kMaxLogFactor - kMinLogFactor + kTolerance;
  return estimate.log_factor >= kMinLogFactor - kTolerance &&
         estimate.log_factor <= kMaxLogFactor + kTolerance &&
         estimate.variance >= 0 && estimate.variance <= widest * widest &&
         estimate.weight >= 0 && estimate.weight <= kMaxWeight &&
         estimate.failure_share >= 0 && estimate.failure_share <= 1;
}

double WeightAt(const engine_estimate& estimate, base::time_point now) {
  return estimate.weight * Decay(estimate, now);
}

void MergeObservations(engine_estimate& estimate,
                       const observation_sums& sums,
                       base::time_point now) {
  if (sums.IsEmpty())
    return;
  Age(estimate, now);
  MergeFailures(estimate, sums);
  if (sums.responses == 0)
    return;
  const auto responses = static_cast<double>(sums.responses);
  const double mean = sums.log_factor_sum / responses;
  const double variance =
      std::max(sums.log_factor_squares / responses - mean * mean, 0.0);
  const double deviation = mean - estimate.log_factor;
  DetectChange(estimate, deviation, responses);
  const double share = responses / (estimate.mean_memory + responses);
  estimate.log_factor += share * deviation;
  const double rest = (1 - share) * deviation;
  estimate.variance += (variance + rest * rest - estimate.variance) *
                       responses / (estimate.variance_memory + responses);
  estimate.weight = std::min(estimate.weight + responses, kMaxWeight);
  estimate.mean_memory = std::min(estimate.mean_memory + responses, kMaxWeight);
  estimate.variance_memory =
      std::min(estimate.variance_memory + responses, kMaxVarianceMemory);
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
  const double variance = (weight * estimate.variance +
                           kPriorSpreadWeight * kPriorSpread * kPriorSpread) /
                          (weight + kPriorSpreadWeight);
  const double spread = std::sqrt(variance) * kTailFactor;
  return expected *
         std::exp(LogFactorAt(estimate, now) +
                  boost::math::quantile(boost::math::normal(), quantile) *
                      spread);
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
