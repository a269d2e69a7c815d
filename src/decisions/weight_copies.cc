// SPDX-License-Identifier: MIT
#include "decisions/weight_copies.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "decisions/engine_choice.h"
#include "decisions/replica_value.h"

namespace valeledge::decisions::detail {

namespace {

// Minimum number of engines with a weight copy of a model without demand: one
// copy is left if an engine is lost.
constexpr std::int64_t kMinWeightCopies = 2;
// Weight copies of a model with expected demand beyond the replicas that it
// will need: engines with a copy may be needed for other models in demand.
constexpr std::int64_t kSpareWeightCopies = 1;
// Maximum loss that a weight copy may cause, as a share of the expected rate.
// Its benefit is the seconds by which a load from disk is faster if the demand
// rises.
constexpr double kCopyLossShare = 0.05;
// Loads from the weight store that are reserved for the first requests. Once
// there are requests no copies are made ahead, because they occupy engines that
// other loads need (mean value over 20 test days: 0.546 without, 0.534 with
// them).
constexpr std::int64_t kReservedStoreLoads = 3;

// Returns the rate for which a model is prepared.
double ExpectedRate(const plan_model& model) {
  return std::max(model.future_rate, model.later_rate);
}

std::int64_t TargetCopies(const plan_state& state, std::size_t model) {
  const plan_model& each = state.models[model];
  const double rate = ExpectedRate(each);
  if (rate <= each.arrival_rate || rate < kMinRate)
    return kMinWeightCopies;
  const double work = std::max(each.future_work, each.later_work);
  const auto replicas =
      static_cast<std::int64_t>(std::ceil(work / kWorkPerReplica));
  const auto max_copies = static_cast<std::int64_t>(state.engines.size() / 2);
  return std::clamp(replicas + kSpareWeightCopies, kMinWeightCopies,
                    std::max(max_copies, kMinWeightCopies));
}

// Returns the benefit of one more weight copy, in requests per second; 0 if the
// model has enough.
double CopyDeficit(const plan_state& state, std::size_t model) {
  const auto target = static_cast<double>(TargetCopies(state, model));
  const auto missing = target - static_cast<double>(state.weight_copies[model]);
  const double rate = ExpectedRate(state.models[model]) + kMinRate;
  return missing > 0 ? rate * missing / (target * target) : 0;
}

std::optional<replica_position> FindCopyPosition(plan_state& state,
                                                 std::size_t model) {
  const double max_loss =
      kCopyLossShare * (ExpectedRate(state.models[model]) + kMinRate);
  std::optional<replica_position> best;
  std::size_t scanned = 0;
  const std::size_t visited = std::min(state.least_busy.size(), kMaxVisited);
  for (std::size_t i = 0; i < visited && scanned < kMaxScanned; ++i) {
    const std::size_t position = state.least_busy[i];
    const plan_engine& engine = state.engines[position];
    const bool candidate = engine.serving && engine.accepts_orders &&
                           !Contains(engine.loaded, model) &&
                           !Contains(engine.loading, model) &&
                           SourceAt(engine, model) == weight_source::kStore;
    if (!candidate)
      continue;
    ++scanned;
    ++state.scanned_engines;
    auto evictions = FindEviction(state, position, model);
    if (!evictions || evictions->loss > max_loss)
      continue;
    const double net =
        -evictions->loss - kRunningCost * static_cast<double>(engine.running);
    if (!best || net > best->gain)
      best = replica_position{position, std::move(*evictions),
                              weight_source::kStore, net};
  }
  return best;
}

}  // namespace

void PlanWeightCopies(plan_state& state) {
  std::vector<bool> unplaceable(state.models.size());
  while (state.limits.store_loads > kReservedStoreLoads) {
    std::optional<std::size_t> largest_deficit;
    double max_deficit = 0;
    for (std::size_t i = 0; i < state.models.size(); ++i) {
      const double deficit = unplaceable[i] ? 0 : CopyDeficit(state, i);
      if (deficit > max_deficit) {
        largest_deficit = i;
        max_deficit = deficit;
      }
    }
    if (!largest_deficit)
      return;
    const auto chosen = FindCopyPosition(state, *largest_deficit);
    unplaceable[*largest_deficit] = !chosen;
    if (!chosen)
      continue;
    ApplyStep(state, *chosen, *largest_deficit);
    ++state.weight_copies[*largest_deficit];
    // The load itself follows once memory is free; its store load is reserved.
    if (!chosen->evictions.models.empty())
      --state.limits.store_loads;
  }
}

}  // namespace valeledge::decisions::detail
