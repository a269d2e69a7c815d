// SPDX-License-Identifier: MIT
#include "decisions/engine_estimate_update.h"

#include <algorithm>
#include <cmath>

namespace valeledge::decisions {

namespace {

// Bounds the messages of an engine whose estimate varies all the time.
constexpr std::chrono::milliseconds kMinPublicationInterval{1000};

// An estimate that other hosts may have missed, or have never received because
// they started later, is published again after this time if there are new
// observations.
constexpr std::chrono::milliseconds kRefreshInterval{5000};

// Minimum number of responses before the first publication. An estimate from a
// single response is inaccurate, and the next one follows only a second later.
constexpr double kMinFirstWeight = 1.5;

const double kUsefulLogChange = std::log(1.1);
const double kUrgentLogChange = std::log(1.4);

// Messages contain thousandths.
constexpr double kScale = 1000;

std::int32_t Scaled(double value) {
  return static_cast<std::int32_t>(std::lround(value * kScale));
}

}  // namespace

publication_need PublicationNeed(const engine_estimate& estimate,
                                 const estimate_exchange& exchange,
                                 base::time_point now) {
  const bool is_first = exchange.published_at == base::time_point();
  const bool is_due =
      is_first ? WeightAt(estimate, now) >= kMinFirstWeight
               : now - exchange.published_at >= kMinPublicationInterval;
  if (!exchange.has_merged || !is_due)
    return publication_need::kNone;
  // Other hosts let the published estimate decay to the same prior.
  engine_estimate known = exchange.published;
  known.log_prior = estimate.log_prior;
  const double change = std::abs(
      std::log(CurrentFactor(estimate, now) / CurrentFactor(known, now)));
  if (change >= kUrgentLogChange)
    return publication_need::kUrgent;
  // Without the first estimates of engines of usual speed, the median of other
  // hosts would be that of unusual ones.
  const bool is_old =
      is_first || now - exchange.published_at >= kRefreshInterval;
  return change >= kUsefulLogChange || is_old ? publication_need::kUseful
                                              : publication_need::kNone;
}

wire::engine_observation ToWire(std::int32_t server,
                                const observation_sums& sums) {
  wire::engine_observation out;
  out.server = server;
  out.responses = static_cast<std::int32_t>(sums.responses);
  out.log_factor_sum = Scaled(sums.log_factor_sum);
  out.log_factor_squares =
      std::llround(sums.log_factor_squares * kScale * kScale);
  out.failures = static_cast<std::int32_t>(sums.failures);
  return out;
}

std::optional<observation_sums> FromWire(
    const wire::engine_observation& message) {
  observation_sums sums;
  sums.responses = message.responses;
  sums.log_factor_sum = message.log_factor_sum / kScale;
  sums.log_factor_squares =
      static_cast<double>(message.log_factor_squares) / (kScale * kScale);
  sums.failures = message.failures;
  return IsValid(sums) ? std::optional(sums) : std::nullopt;
}

wire::engine_estimate_report ToWire(std::int32_t server,
                                    const engine_estimate& estimate,
                                    base::time_point now) {
  wire::engine_estimate_report out;
  out.server = server;
  out.log_factor = Scaled(estimate.log_factor);
  out.log_spread = Scaled(std::sqrt(estimate.variance));
  out.failure_share = Scaled(CurrentFailureShare(estimate, now));
  out.weight = static_cast<std::int32_t>(std::lround(WeightAt(estimate, now)));
  return out;
}

std::optional<engine_estimate> FromWire(
    const wire::engine_estimate_report& message,
    base::time_point now) {
  engine_estimate out;
  out.log_factor = message.log_factor / kScale;
  const double spread = message.log_spread / kScale;
  out.variance = spread * spread;
  out.weight = message.weight;
  out.mean_memory = message.weight;
  out.variance_memory = message.weight;
  out.failure_share = message.failure_share / kScale;
  out.updated_at = now;
  return spread >= 0 && IsValid(out) ? std::optional(out) : std::nullopt;
}

}  // namespace valeledge::decisions
