// SPDX-License-Identifier: MIT
#include "decisions/model_plan.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "decisions/engine_choice.h"
#include "decisions/model_plan_state.h"
#include "decisions/weight_copies.h"

namespace valeledge::decisions {

namespace {

using detail::Contains;
using detail::kEvictionCost;
using detail::kMaxScanned;
using detail::kMaxVisited;
using detail::kRunningCost;
using detail::LoadTime;
using detail::plan_state;
using detail::replica_position;
using detail::SourceAt;

// A replica that takes this long to load has hardly any value: the demand for
// its model may have ended by then.
constexpr double kLoadHorizonMs = 8000;
constexpr double kMinLoadFactor = 0.1;

// Minimum ratio between the gain of a new replica and the loss by the evictions
// that it needs.
constexpr double kMinGainLossRatio = 1.3;
// Minimum gain for which an order is sent, in requests per second.
constexpr double kMinGain = 0.01;

// Minimum free share of an engine: a replica on an engine without free slots
// serves little, but may serve requests that find no other replica.
constexpr double kMinFreeShare = 0.2;

// Penalty in the choice of an engine, in requests per second, beside those of
// engine_choice and for a lone replica: for each replica in the same zone.
constexpr double kZoneCost = 0.3;

// Returns the share of a replica's value that is left after its load time.
double LoadTimeFactor(const plan_model& model, weight_source source) {
  const auto load = static_cast<double>(LoadTime(model, source).count());
  const double share = 1 - load / kLoadHorizonMs;
  return std::max(share, kMinLoadFactor);
}

// Returns the share of an engine that is free for one more replica.
double FreeShare(const plan_engine& engine, const plan_limits& limits) {
  const double used =
      static_cast<double>(engine.running) /
      static_cast<double>(std::max<std::int64_t>(limits.slots, 1));
  return std::max(1 - used, kMinFreeShare);
}

bool MayLoadFromStore(const plan_state& state, const plan_engine& engine) {
  return state.limits.store_loads > 0 &&
         (detail::IsEmpty(engine) || state.limited_store_loads > 0);
}

// Evaluates one engine and updates `best` if the net gain is higher. Returns
// false if the engine cannot load the model now.
bool ScanEngine(plan_state& state,
                std::size_t model,
                std::size_t position,
                std::optional<replica_position>& best) {
  const plan_engine& engine = state.engines[position];
  const bool candidate = engine.serving && engine.accepts_orders &&
                         !Contains(engine.loaded, model) &&
                         !Contains(engine.loading, model);
  if (!candidate)
    return false;
  const weight_source source = SourceAt(engine, model);
  if (source == weight_source::kStore && !MayLoadFromStore(state, engine))
    return false;
  ++state.scanned_engines;
  const double added = state.gains[model] *
                       LoadTimeFactor(state.models[model], source) *
                       FreeShare(engine, state.limits);
  if (added < kMinGain)
    return true;
  double net = added;
  net -= kRunningCost * static_cast<double>(engine.running);
  net -= kZoneCost * static_cast<double>(state.by_zone.At(model, position));
  net -= detail::LoneReplicaCost(state, model,
                                 state.by_software.At(model, position) + 1);
  // Evictions can only reduce the net gain.
  if (best && net <= best->gain)
    return true;
  auto evictions = detail::FindEviction(state, position, model);
  if (!evictions || added < kMinGainLossRatio * evictions->loss)
    return true;
  net -= evictions->loss;
  net -= kEvictionCost * static_cast<double>(evictions->models.size());
  if (!best || net > best->gain)
    best = replica_position{position, std::move(*evictions), source, net};
  return true;
}

// Evaluates the engines of a list in order, up to the maximum numbers.
void ScanEngines(plan_state& state,
                 std::size_t model,
                 const std::vector<std::size_t>& engines,
                 std::optional<replica_position>& best) {
  std::size_t scanned = 0;
  const std::size_t visited = std::min(engines.size(), kMaxVisited);
  for (std::size_t i = 0; i < visited && scanned < kMaxScanned; ++i)
    scanned += ScanEngine(state, model, engines[i], best) ? 1 : 0;
}

std::optional<replica_position> FindPosition(plan_state& state,
                                             std::size_t model) {
  std::optional<replica_position> best;
  if (!state.engines_with_copy.empty())
    ScanEngines(state, model, state.engines_with_copy[model], best);
  ScanEngines(state, model, state.least_busy, best);
  return best;
}

}  // namespace

std::vector<plan_step> PlanModels(const std::vector<plan_model>& models,
                                  const std::vector<plan_engine>& engines,
                                  const plan_limits& limits,
                                  plan_stats* stats) {
  plan_state state = detail::MakePlanState(models, engines, limits);
  std::vector<bool> unplaceable(models.size());
  while (true) {
    std::optional<std::size_t> best;
    double max_gain = 0;
    for (std::size_t i = 0; i < models.size(); ++i) {
      if (unplaceable[i])
        continue;
      const double gain = state.gains[i];
      if (!best || gain > max_gain) {
        best = i;
        max_gain = gain;
      }
    }
    if (!best || max_gain < kMinGain)
      break;
    const auto chosen = FindPosition(state, *best);
    if (chosen)
      detail::ApplyStep(state, *chosen, *best);
    else
      unplaceable[*best] = true;
  }
  if (limits.no_demand)
    detail::PlanWeightCopies(state);
  if (stats != nullptr)
    stats->scanned_engines = state.scanned_engines;
  return std::move(state.steps);
}

}  // namespace valeledge::decisions
