// SPDX-License-Identifier: MIT
#include "decisions/replica_value.h"

#include <algorithm>
#include <cmath>

namespace valeledge::decisions {

namespace {

using detail::kMinRate;
using detail::kWorkPerReplica;

// An engine's batch is slow if more than this share of its slots is in use.
constexpr double kMaxSlotUtilization = 0.5;

// Share of a model's requests that are at risk if one of its engines is lost.
constexpr double kEngineLossShare = 0.04;

// Value of a model without a replica if its requests can wait for a load from a
// weight copy, as a share of its rate: some are served too late, and the load
// occupies an engine all the same.
constexpr double kDeferrableShare = 0.5;

// Minimum rate assumed for a model without a weight copy on any engine, in
// requests per second: every model has to be reachable, and this one would take
// the longest to load.
constexpr double kMinRateWithoutCopy = 1.0;

// Upper bound of the long-term rate, in requests per second: this rate shows
// whether a model with few requests is idle, not whether demand is falling.
constexpr double kMaxSteadyRate = 1.0;

// Returns the share of a model's requests that `replicas` serve in time, plus a
// term for requests that are not lost with an engine.
double ServedShare(double replicas, double target) {
  if (replicas <= 0)
    return 0;
  const double served = std::min(replicas / std::max(target, 1.0), 1.0);
  return served + kEngineLossShare * (1 - std::exp2(-replicas));
}

}  // namespace

double RequiredReplicas(const plan_model& model, const plan_limits& limits) {
  const double by_work = model.work / kWorkPerReplica;
  const double slots = kMaxSlotUtilization * static_cast<double>(limits.slots);
  const double by_slots =
      static_cast<double>(model.running) / std::max(slots, 1.0);
  return std::max({by_work, by_slots, static_cast<double>(model.min_replicas)});
}

double ReplicaValue(const plan_model& model,
                    const plan_limits& limits,
                    std::int64_t replicas,
                    bool has_copy) {
  const auto count = static_cast<double>(replicas);
  const double now =
      std::max({model.arrival_rate, std::min(model.steady_rate, kMaxSteadyRate),
                has_copy ? kMinRate : kMinRateWithoutCopy});
  if (replicas <= 0)
    return model.deferrable && has_copy ? kDeferrableShare * now : 0;
  return now * ServedShare(count, RequiredReplicas(model, limits));
}

}  // namespace valeledge::decisions
