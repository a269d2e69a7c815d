// SPDX-License-Identifier: MIT
// How much later than expected the responses of an engine start, estimated from
// the observations of all hosts.
//
// Handles engines of unequal and changing speed: at 500 requests per second
// over 140 engines, 70 hosts observe about 4 responses per second of one engine
// together, and one host alone observes one in 20 seconds.
//
// All averages are taken of the natural logarithm of the factor, so that a
// factor of 2 and one of 0.5 have the same weight. Older observations lose
// influence by newer ones, and by time.
#ifndef VALELEDGE_DECISIONS_ENGINE_ESTIMATE_H_
#define VALELEDGE_DECISIONS_ENGINE_ESTIMATE_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "base/duration.h"

namespace valeledge::decisions {

// Bounds of the factor.
inline constexpr double kMinEngineFactor = 0.2;
inline constexpr double kMaxEngineFactor = 20;

// The estimate of one run of an engine.
struct engine_estimate {
  // Mean of the logarithm of the factor, and its variance.
  double log_factor = 0;
  double variance = 0;
  // Number of recent responses on which it was based at `updated_at`.
  double weight = 0;
  // Numbers of responses as which the mean and the variance count against new
  // ones. That of the mean is lower after a change of speed.
  double mean_memory = 0;
  double variance_memory = 0;
  // Share of failed attempts at `updated_at`.
  double failure_share = 0;
  // Logarithm of the factor that is assumed without observations: the median of
  // the engines of the same service.
  double log_prior = 0;
  // Mean deviation of the latest observations from `log_factor`. A lasting one
  // shows that the engine's speed has changed.
  double drift = 0;
  base::time_point updated_at;
};

// The outcome of one attempt at an engine.
struct engine_observation {
  // Time until the response started, or until the attempt failed.
  std::chrono::duration<double, std::milli> actual{0};
  // The same as expected from the engine's load, without any slowdown factor.
  std::chrono::duration<double, std::milli> expected{0};
  bool failed = false;
};

// Observations of one host, or of several added up.
struct observation_sums {
  std::int64_t responses = 0;
  double log_factor_sum = 0;
  double log_factor_squares = 0;
  std::int64_t failures = 0;

  bool IsEmpty() const { return responses == 0 && failures == 0; }
};

// Adds up sums.
void Add(observation_sums& sums, const observation_sums& other);

// Adds an observation to the sums. A factor that differs from the estimate by
// more than the usual variation of engines is limited to that. An attempt that
// failed before its response started, but later than estimated, also counts as
// a response after that time.
void RecordObservation(observation_sums& sums,
                       const engine_estimate& estimate,
                       const engine_observation& observation,
                       base::time_point now);

// Whether the sums can result from observations.
bool IsValid(const observation_sums& sums);

// Updates the estimate by observations.
void MergeObservations(engine_estimate& estimate,
                       const observation_sums& sums,
                       base::time_point now);

// Whether an estimate of another host can be valid.
bool IsValid(const engine_estimate& estimate);

// Number of recent responses on which the estimate is based, with decay.
double WeightAt(const engine_estimate& estimate, base::time_point now);

// Factor by which responses start later than expected. Close to the prior while
// there are few recent observations.
double CurrentFactor(const engine_estimate& estimate, base::time_point now);

// The same relative to the prior: 2 for an engine that takes twice the time of
// the median engine of its service.
double RelativeFactor(const engine_estimate& estimate, base::time_point now);

// Share of failed attempts, which decays like the factor.
double CurrentFailureShare(const engine_estimate& estimate,
                           base::time_point now);

// Time after sending by which the share `quantile` (between 0 and 1, both
// excluded) of responses has started. `expected`: as in engine_observation,
// without any slowdown factor.
std::chrono::duration<double, std::milli> FirstEventQuantile(
    const engine_estimate& estimate,
    std::chrono::duration<double, std::milli> expected,
    double quantile,
    base::time_point now);

// Logarithm of the factor for engines without observations: the median of those
// that have enough. Returns 0 if there are none.
double MedianLogFactor(const std::vector<const engine_estimate*>& estimates,
                       base::time_point now);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_ENGINE_ESTIMATE_H_
