// SPDX-License-Identifier: MIT
#include "decisions/model_plan.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <tuple>

#include "decisions/engine_choice.h"

namespace valeledge::decisions {

namespace {

using detail::Contains;
using detail::kEvictionCost;
using detail::kRunningCost;
using detail::LoadTime;
using detail::SourceAt;

// Milliseconds per second for which an engine may read prompts of one model.
// Running streams pause meanwhile, and a few prompts in a row take as long as
// the pause that callers accept.
constexpr double kWorkPerReplica = 250;

// An engine's batch is slow if more than this share of its slots is in use.
constexpr double kMaxSlotUtilization = 0.5;

// Demand shifts to other models within about this time, so a replica that takes
// long to load has less value.
constexpr double kLoadHorizonMs = 8000;
constexpr double kMinLoadFactor = 0.1;

// Weight of expected demand relative to present demand.
constexpr double kForecastWeight = 0.3;

// Share of a model's requests that are at risk if one of its engines is lost:
// engines are unavailable for seconds at a time, about a thirtieth of the time.
constexpr double kEngineLossShare = 0.04;

// Value of a model without a replica if its requests can wait for a load from a
// weight copy, as a share of its rate: some are served too late, and the load
// occupies an engine all the same.
constexpr double kDeferrableShare = 0.5;

// Minimum rate assumed for a model without requests, in requests per second: it
// stays loaded where nothing else needs the memory.
constexpr double kMinRate = 0.02;
// The same for a model without a weight copy on any engine: every model has to
// be reachable, and this one would take the longest to load.
constexpr double kMinRateWithoutCopy = 1.0;

// Upper bound of the long-term rate, in requests per second: this rate shows
// whether a model with few requests is idle, not whether demand is falling.
constexpr double kMaxSteadyRate = 1.0;

// Minimum ratio between the gain of a new replica and the loss by the evictions
// that it needs.
constexpr double kMinGainLossRatio = 1.3;
// Minimum gain for which an order is sent, in requests per second.
constexpr double kMinGain = 0.01;

// Maximum share of engines that may load from the weight store at the same time
// while they have weights of other models. Such a load takes several times as
// long as one from disk, and until it ends the engine accepts neither other
// models nor adapters. Engines without any weights are exempt, because loading
// keeps nothing else from being served; after a series of replacements most
// engines are in that state.
constexpr double kStoreLoadShare = 0.25;

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

// Minimum free share of an engine: a replica on an engine without free slots
// serves little, but may serve requests that find no other replica.
constexpr double kMinFreeShare = 0.2;

// Penalties in the choice of an engine, in requests per second, beside those of
// engine_choice: for each replica in the same zone.
constexpr double kZoneCost = 0.3;
// The same for a replica without another one of its software version while
// other versions have the model, and for an eviction that leaves such a
// replica: streams end with it, since they cannot go on at another version.
constexpr double kLoneReplicaCost = 0.3;

// Maximum number of candidates for one replica, separately for engines with a
// weight copy and for all engines. The number of steps of a plan grows with the
// number of engines; without a bound so would the work of each step.
constexpr std::size_t kMaxScanned = 256;
// The same including engines that hold the model already or are busy.
constexpr std::size_t kMaxVisited = 4 * kMaxScanned;

// Engines numbered by a property, and the replicas of each model by these
// numbers, including those being loaded.
struct replica_counts {
  std::vector<std::size_t> groups;
  std::vector<std::vector<std::int64_t>> replicas;
  std::size_t group_count = 0;

  std::int64_t& At(std::size_t model, std::size_t engine) {
    return replicas[model][groups[engine]];
  }
  std::int64_t At(std::size_t model, std::size_t engine) const {
    return replicas[model][groups[engine]];
  }
};

// The working state of one plan.
struct plan_state {
  const std::vector<plan_model>& models;
  std::vector<plan_engine> engines;
  plan_limits limits;
  // Engines with weights of other models that may still start to load from the
  // weight store.
  std::int64_t limited_store_loads = 0;
  // Replicas of each model that serve, and the same with those being loaded.
  std::vector<std::int64_t> ready;
  std::vector<std::int64_t> planned;
  // Engines that have the weights of each model loaded, in memory or on disk.
  std::vector<std::int64_t> weight_copies;
  replica_counts by_zone;
  replica_counts by_software;
  // Engines with a copy of each model's weights in memory or on disk; empty if
  // all engines are scanned.
  std::vector<std::vector<std::size_t>> engines_with_copy;
  // All engines that accept orders, least busy first.
  std::vector<std::size_t> least_busy;
  std::int64_t scanned_engines = 0;
  // Gain of one more replica and loss of one less for each model. Cached,
  // because computing them would dominate the planning time (860 engines, 290
  // models).
  std::vector<double> gains;
  std::vector<double> losses;
  std::vector<plan_step> steps;
};

// Returns the share of a replica's value that is left after its load time.
double LoadTimeFactor(const plan_model& model, weight_source source) {
  const auto load = static_cast<double>(LoadTime(model, source).count());
  const double share = 1 - load / kLoadHorizonMs;
  return std::max(share, kMinLoadFactor);
}

// Returns the share of a model's requests that `replicas` serve in time, plus a
// term for requests that are not lost with an engine.
double ServedShare(double replicas, double target) {
  if (replicas <= 0)
    return 0;
  const double served = std::min(replicas / std::max(target, 1.0), 1.0);
  return served + kEngineLossShare * (1 - std::exp2(-replicas));
}

double ValueAt(const plan_state& state, std::size_t model, std::int64_t count) {
  return ReplicaValue(state.models[model], state.limits, count,
                      state.weight_copies[model] > 0);
}

// Returns the share of an engine that is free for one more replica.
double FreeShare(const plan_engine& engine, const plan_limits& limits) {
  const double used =
      static_cast<double>(engine.running) /
      static_cast<double>(std::max<std::int64_t>(limits.slots, 1));
  return std::max(1 - used, kMinFreeShare);
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

// Returns the cost of changing the replicas of a model at the engine's software
// version to `count` if that leaves a single one.
double LoneReplicaCost(const plan_state& state,
                       std::size_t model,
                       std::int64_t count) {
  const bool is_lone = state.by_software.group_count > 1 && count == 1 &&
                       state.planned[model] > 0;
  return is_lone ? kLoneReplicaCost : 0;
}

// Models to evict so that another fits, and the loss this causes.
struct eviction {
  std::vector<std::size_t> models;
  double loss = 0;
};

// Returns nothing if the model cannot fit.
std::optional<eviction> FindEviction(const plan_state& state,
                                     std::size_t position,
                                     std::size_t model) {
  const plan_engine& engine = state.engines[position];
  std::int64_t missing = state.models[model].weights_mb - engine.free_mb;
  eviction out;
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

// An engine for a replica of a model, and the net gain of placing it there.
struct replica_position {
  std::size_t engine = 0;
  eviction evictions;
  weight_source source = weight_source::kStore;
  double gain = 0;
};

// Returns whether an engine has no weights at all, such as a new one.
bool IsEmpty(const plan_engine& engine) {
  return engine.loaded.empty() && engine.in_memory.empty() &&
         engine.on_disk.empty();
}

bool MayLoadFromStore(const plan_state& state, const plan_engine& engine) {
  return state.limits.store_loads > 0 &&
         (IsEmpty(engine) || state.limited_store_loads > 0);
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
  net -=
      LoneReplicaCost(state, model, state.by_software.At(model, position) + 1);
  // Evictions can only reduce the net gain.
  if (best && net <= best->gain)
    return true;
  auto evictions = FindEviction(state, position, model);
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

// Plans loads that bring weight copies to engines.
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
  const double expected = kForecastWeight * model.future_rate;
  return now * ServedShare(count, RequiredReplicas(model, limits)) +
         expected * ServedShare(count, model.future_work / kWorkPerReplica);
}

std::vector<plan_step> PlanModels(const std::vector<plan_model>& models,
                                  const std::vector<plan_engine>& engines,
                                  const plan_limits& limits,
                                  plan_stats* stats) {
  plan_state state = MakePlanState(models, engines, limits);
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
      ApplyStep(state, *chosen, *best);
    else
      unplaceable[*best] = true;
  }
  if (limits.no_demand)
    PlanWeightCopies(state);
  if (stats != nullptr)
    stats->scanned_engines = state.scanned_engines;
  return std::move(state.steps);
}

}  // namespace valeledge::decisions
