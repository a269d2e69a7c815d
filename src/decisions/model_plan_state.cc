// SPDX-License-Identifier: MIT
#include "decisions/model_plan_state.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <tuple>
#include <utility>

#include "decisions/engine_choice.h"
#include "decisions/replica_value.h"

namespace valeledge::decisions::detail {

namespace {

// Maximum share of engines that may load from the weight store at the same time
// while they have weights of other models. Such a load takes several times as
// long as one from disk, and until it ends the engine accepts neither other
// models nor adapters. Engines without any weights are exempt, because loading
// keeps nothing else from being served; after a series of replacements most
// engines are in that state.
constexpr double kStoreLoadShare = 0.25;

// Penalty in the choice of an engine, in requests per second, for a replica
// without another one of its software version while other versions have the
// model, and for an eviction that leaves such a replica: streams end with it,
// since they cannot go on at another version.
constexpr double kLoneReplicaCost = 0.3;

double ValueAt(const plan_state& state, std::size_t model, std::int64_t count) {
  return ReplicaValue(state.models[model], state.limits, count,
                      state.weight_copies[model] > 0);
}

// Recomputes the gain and loss of a model's replicas.
void UpdateGains(plan_state& state, std::size_t model) {
  const std::int64_t planned = state.planned[model];
  state.gains[model] =
      ValueAt(state, model, planned + 1) - ValueAt(state, model, planned);
  const std::int64_t ready = state.ready[model];
  state.losses[model] =
      ValueAt(state, model, ready) - ValueAt(state, model, ready - 1);
}

// Returns whether a model's replica on an engine may be evicted.
bool IsEvictable(const plan_state& state,
                 const plan_engine& engine,
                 std::size_t model) {
  if (Contains(engine.recently_loaded, model))
    return false;
  return state.ready[model] > 1 || state.weight_copies[model] > 1;
}

// Returns every model whose weights an engine has or is loading, each once.
std::vector<std::size_t> ModelsAt(const plan_engine& engine) {
  std::vector<std::size_t> out;
  for (const auto* list :
       {&engine.loaded, &engine.loading, &engine.in_memory, &engine.on_disk}) {
    for (const std::size_t model : *list) {
      if (!Contains(out, model))
        out.push_back(model);
    }
  }
  return out;
}

// Numbers the engines by a property and counts the replicas.
replica_counts CountReplicas(const std::vector<plan_engine>& engines,
                             std::size_t models,
                             std::string plan_engine::*property) {
  replica_counts counts;
  std::map<std::string, std::size_t> numbers;
  for (const plan_engine& engine : engines) {
    const auto known =
        numbers.try_emplace(engine.*property, numbers.size()).first;
    counts.groups.push_back(known->second);
  }
  counts.group_count = numbers.size();
  counts.replicas.assign(models, std::vector<std::int64_t>(numbers.size()));
  for (std::size_t i = 0; i < engines.size(); ++i) {
    for (const auto* list : {&engines[i].loaded, &engines[i].loading}) {
      for (const std::size_t model : *list) {
        if (model < models)
          ++counts.At(model, i);
      }
    }
  }
  return counts;
}

// Collects the engines that accept orders. If there are too many to scan, sorts
// them by load and indexes them by weight copies.
void IndexEngines(plan_state& state) {
  for (std::size_t i = 0; i < state.engines.size(); ++i) {
    if (state.engines[i].serving && state.engines[i].accepts_orders)
      state.least_busy.push_back(i);
  }
  // The order does not matter if all are scanned.
  if (state.least_busy.size() <= kMaxScanned)
    return;
  std::ranges::sort(state.least_busy, {}, [&](std::size_t position) {
    const plan_engine& engine = state.engines[position];
    return std::tuple(engine.running, -engine.free_mb, position);
  });
  state.engines_with_copy.resize(state.models.size());
  for (const std::size_t position : state.least_busy) {
    const plan_engine& engine = state.engines[position];
    for (const auto* list : {&engine.in_memory, &engine.on_disk}) {
      for (const std::size_t model : *list) {
        if (model < state.models.size())
          state.engines_with_copy[model].push_back(position);
      }
    }
  }
}

}  // namespace

plan_state MakePlanState(const std::vector<plan_model>& models,
                         const std::vector<plan_engine>& engines,
                         const plan_limits& limits) {
  plan_state state{models, engines, limits};
  state.ready.resize(models.size());
  state.planned.resize(models.size());
  state.weight_copies.resize(models.size());
  state.gains.resize(models.size());
  state.losses.resize(models.size());
  std::int64_t serving = 0;
  std::int64_t loading_from_store = 0;
  for (const plan_engine& engine : engines) {
    if (!engine.serving)
      continue;
    ++serving;
    const bool is_limited = engine.loads_from_store && !IsEmpty(engine);
    loading_from_store += is_limited ? 1 : 0;
    for (const std::size_t model : engine.loaded) {
      ++state.ready[model];
      ++state.planned[model];
    }
    for (const std::size_t model : engine.loading)
      ++state.planned[model];
    for (const std::size_t model : ModelsAt(engine)) {
      // Ignores copies of models that the configuration no longer contains.
      if (model < models.size())
        ++state.weight_copies[model];
    }
  }
  state.by_zone =
      CountReplicas(state.engines, models.size(), &plan_engine::zone);
  state.by_software =
      CountReplicas(state.engines, models.size(), &plan_engine::software);
  IndexEngines(state);
  const double share = limits.no_demand ? 1 : kStoreLoadShare;
  const auto max_loading = static_cast<std::int64_t>(
      std::ceil(share * static_cast<double>(serving)));
  state.limited_store_loads = max_loading - loading_from_store;
  for (std::size_t model = 0; model < models.size(); ++model)
    UpdateGains(state, model);
  return state;
}

bool IsEmpty(const plan_engine& engine) {
  return engine.loaded.empty() && engine.in_memory.empty() &&
         engine.on_disk.empty();
}

double LoneReplicaCost(const plan_state& state,
                       std::size_t model,
                       std::int64_t count) {
  const bool is_lone = state.by_software.group_count > 1 && count == 1 &&
                       state.planned[model] > 0;
  return is_lone ? kLoneReplicaCost : 0;
}

std::optional<plan_eviction> FindEviction(const plan_state& state,
                                          std::size_t position,
                                          std::size_t model) {
  const plan_engine& engine = state.engines[position];
  std::int64_t missing = state.models[model].weights_mb - engine.free_mb;
  plan_eviction out;
  if (missing <= 0)
    return out;
  std::vector<std::pair<double, std::size_t>> by_loss;
  for (const std::size_t each : engine.loaded) {
    if (!IsEvictable(state, engine, each))
      continue;
    const std::int64_t left = state.by_software.At(each, position) - 1;
    by_loss.emplace_back(
        state.losses[each] + LoneReplicaCost(state, each, left), each);
  }
  std::ranges::sort(by_loss);
  for (const auto& [loss, each] : by_loss) {
    if (missing <= 0)
      break;
    out.models.push_back(each);
    out.loss += loss;
    missing -= state.models[each].weights_mb;
  }
  if (missing > 0)
    return std::nullopt;
  return out;
}

void ApplyStep(plan_state& state,
               const replica_position& chosen,
               std::size_t model) {
  plan_engine& engine = state.engines[chosen.engine];
  engine.accepts_orders = false;
  ++state.by_zone.At(model, chosen.engine);
  ++state.by_software.At(model, chosen.engine);
  if (chosen.evictions.models.empty()) {
    state.steps.push_back({chosen.engine, true, model, chosen.source, model});
    engine.free_mb -= state.models[model].weights_mb;
    engine.loading.push_back(model);
    if (chosen.source == weight_source::kStore) {
      --state.limits.store_loads;
      state.limited_store_loads -= IsEmpty(engine) ? 0 : 1;
    }
  } else {
    const std::size_t evicted = chosen.evictions.models.front();
    state.steps.push_back(
        {chosen.engine, false, evicted, chosen.source, model});
    std::erase(engine.loaded, evicted);
    --state.by_zone.At(evicted, chosen.engine);
    --state.by_software.At(evicted, chosen.engine);
    --state.ready[evicted];
    --state.planned[evicted];
    const bool copy_remains = Contains(engine.in_memory, evicted) ||
                              Contains(engine.on_disk, evicted);
    if (!copy_remains)
      --state.weight_copies[evicted];
    UpdateGains(state, evicted);
  }
  ++state.planned[model];
  UpdateGains(state, model);
}

}  // namespace valeledge::decisions::detail
