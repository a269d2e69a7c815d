// SPDX-License-Identifier: MIT
#include "decisions/relative_cost.h"

#include <algorithm>
#include <cmath>

namespace valeledge::decisions {

namespace {

// Number of responses as which the initial ratio of 1 counts. Without it, the
// costs of all models and the factors of all engines could drift apart, since
// only their product shows in response times.
constexpr double kInitialWeight = 8;

// Older responses together have at most the weight of this many new ones.
constexpr double kMaxWeight = 32;

// A response that is later or earlier by a larger factor than this is limited
// to it.
const double kMaxLogDeviation = std::log(2.5);

double LogRatio(const relative_cost& cost) {
  return cost.log_mean * cost.weight / (cost.weight + kInitialWeight);
}

}  // namespace

double CostRatio(const relative_cost& cost) {
  return std::exp(LogRatio(cost));
}

void RecordCost(relative_cost& cost,
                std::chrono::duration<double, std::milli> actual,
                std::chrono::duration<double, std::milli> expected) {
  if (actual.count() <= 0 || expected.count() <= 0)
    return;
  const double deviation = std::clamp(std::log(actual / expected),
                                      -kMaxLogDeviation, kMaxLogDeviation);
  const double observed = LogRatio(cost) + deviation;
  cost.weight = std::min(cost.weight + 1, kMaxWeight);
  cost.log_mean += (observed - cost.log_mean) / cost.weight;
}

}  // namespace valeledge::decisions
