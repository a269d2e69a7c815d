// SPDX-License-Identifier: MIT
#include "decisions/weight_copies.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "decisions/engine_choice.h"
#include "decisions/replica_value.h"

namespace valeledge::decisions::detail {

namespace {

// Number of engines that should have a weight copy of a model: one copy is left
// if an engine is lost.
constexpr std::int64_t kWeightCopies = 2;
// Loads from the weight store that are reserved for the first requests. Once
// there are requests no copies are made ahead, because they occupy engines that
// other loads need.
constexpr std::int64_t kReservedStoreLoads = 3;

std::int64_t MissingCopies(const plan_state& state, std::size_t model) {
  return kWeightCopies - state.weight_copies[model];
}

std::optional<replica_position> FindCopyPosition(plan_state& state,
                                                 std::size_t model) {
  std::optional<replica_position> best;
  std::size_t scanned = 0;
  const std::size_t visited = std::min(state.least_busy.size(), kMaxVisited);
  for (std::size_t i = 0; i < visited && scanned < kMaxScanned; ++i) {
    const std::size_t position = state.least_busy[i];
    const plan_engine& engine = state.engines[position];
    // What engines hold is kept until callers have shown what they ask for.
    const bool has_room = engine.free_mb >= state.models[model].weights_mb;
    const bool candidate =
        has_room && engine.serving && engine.accepts_orders &&
        !Contains(engine.loaded, model) && !Contains(engine.loading, model) &&
        SourceAt(engine, model) == weight_source::kStore;
    if (!candidate)
      continue;
    ++scanned;
    ++state.scanned_engines;
    const double net = -kRunningCost * static_cast<double>(engine.running);
    if (!best || net > best->gain)
      best = replica_position{position, {}, weight_source::kStore, net};
  }
  return best;
}

}  // namespace

void PlanWeightCopies(plan_state& state) {
  std::vector<bool> unplaceable(state.models.size());
  while (state.limits.store_loads > kReservedStoreLoads) {
    std::optional<std::size_t> rarest;
    for (std::size_t i = 0; i < state.models.size(); ++i) {
      const bool is_rarer = MissingCopies(state, i) >
                            (rarest ? MissingCopies(state, *rarest) : 0);
      if (is_rarer && !unplaceable[i])
        rarest = i;
    }
    if (!rarest)
      return;
    const auto chosen = FindCopyPosition(state, *rarest);
    unplaceable[*rarest] = !chosen;
    if (!chosen)
      continue;
    ApplyStep(state, *chosen, *rarest);
    ++state.weight_copies[*rarest];
  }
}

}  // namespace valeledge::decisions::detail
