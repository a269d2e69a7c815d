// SPDX-License-Identifier: MIT
#include "host/process/demand_tracker.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "host/constants.h"
#include "host/process/server_registry.h"
#include "host/process/waiting_demand.h"

namespace valeledge::host {

namespace {

// Steps of the cost estimate. A lower sample subtracts four times what a higher
// one adds, so the estimate converges to the 20th percentile.
constexpr double kLowerStep = 0.08;
constexpr double kHigherStep = 0.02;

// Models with a lower rate and no running request are not reported.
constexpr double kMinReportedRate = 0.02;

// Leaves the fields unset if no request waits, as hosts of older builds do.
void SetWaiting(const std::list<waiting_request>& waiting,
                base::time_point now,
                wire::model_load& load) {
  if (waiting.empty())
    return;
  constexpr std::int64_t kMax = std::numeric_limits<std::int32_t>::max();
  std::int64_t tokens = 0;
  base::time_point first = base::time_point::max();
  for (const waiting_request& each : waiting) {
    tokens += each.tokens;
    first = std::min(first, each.due);
  }
  const auto left = std::clamp(
      std::chrono::duration_cast<std::chrono::milliseconds>(first - now),
      std::chrono::milliseconds(0), kMaxReportedTimeLeft);
  load.__set_waiting(static_cast<std::int32_t>(waiting.size()));
  load.__set_waiting_tokens(static_cast<std::int32_t>(std::min(tokens, kMax)));
  load.__set_earliest_deadline_ms(static_cast<std::int32_t>(left.count()));
}

}  // namespace

model_demand& demand_tracker::DemandFor(
    std::string_view name,
    std::chrono::duration<double, std::milli> first_cost) {
  const auto found = demands_.find(name);
  if (found != demands_.end())
    return found->second;
  model_demand& made = demands_[std::string(name)];
  made.cost = first_cost;
  return made;
}

void demand_tracker::UpdateCost(
    model_demand& demand,
    std::chrono::duration<double, std::milli> sample) {
  demand.cost *= sample < demand.cost ? 1 - kLowerStep : 1 + kHigherStep;
}

void demand_tracker::UpdateRates(base::time_point now) {
  const std::chrono::duration<double> passed = now - rates_updated_at_;
  rates_updated_at_ = now;
  if (passed.count() <= 0)
    return;
  const std::chrono::duration<double> window = kArrivalRateWindow;
  const double weight = 1 - std::exp(-passed.count() / window.count());
  for (auto& [name, each] : demands_) {
    const double arrivals = static_cast<double>(each.arrivals) / passed.count();
    const double tokens = static_cast<double>(each.tokens) / passed.count();
    each.arrival_rate += weight * (arrivals - each.arrival_rate);
    each.token_rate += weight * (tokens - each.token_rate);
    each.arrivals = 0;
    each.tokens = 0;
    std::erase_if(each.waiting, [now](const waiting_request& other) {
      return other.back_by && now >= *other.back_by;
    });
  }
}

std::vector<wire::model_load> demand_tracker::Loads(
    base::time_point now) const {
  std::vector<wire::model_load> out;
  for (const auto& [name, each] : demands_) {
    if (each.arrival_rate < kMinReportedRate && each.running == 0 &&
        each.waiting.empty())
      continue;
    wire::model_load load;
    load.model = KeyOf(name);
    load.arrival_rate = static_cast<std::int32_t>(each.arrival_rate * 1000);
    load.token_rate = static_cast<std::int32_t>(each.token_rate);
    load.running = static_cast<std::int32_t>(each.running);
    load.reading_us = static_cast<std::int32_t>(each.cost.count() * 1e6);
    load.objective_ms = static_cast<std::int32_t>(
        std::min(each.objective.count(),
                 std::int64_t{std::numeric_limits<std::int32_t>::max()}));
    SetWaiting(each.waiting, now, load);
    out.push_back(std::move(load));
  }
  return out;
}

}  // namespace valeledge::host
