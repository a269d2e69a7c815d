// SPDX-License-Identifier: MIT
#include "decisions/model_plan.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <tuple>

namespace valeledge::decisions {

namespace {

// Milliseconds in a second that an engine may read prompts for one model:
// running streams pause meanwhile, and a few prompts together are as long as
// the pause that callers accept.
constexpr double kWorkPerReplica = 250;

// Beyond this part of its slots an engine's batch is slow.
constexpr double kMaxSlotUtilization = 0.5;

// A replica that loads for long is worth less: demand moves on within about
// so many milliseconds.
constexpr double kLoadHorizonMs = 8000;
constexpr double kMinLoadFactor = 0.1;

// What is expected soon counts for this part of what is asked for now.
constexpr double kForecastWeight = 0.3;

// The part of a model's requests that a loss of one of its engines endangers:
// engines are away for seconds at a time, about a thirtieth of all time.
constexpr double kEngineLossShare = 0.04;

// Requests that can wait for a load from a copy are served without a replica,
// but some come late, and the load takes a place all the same.
constexpr double kDeferrableShare = 0.5;

// Requests a second that are assumed for every model that nobody asks for: it
// stays where nothing else needs the room.
constexpr double kMinRate = 0.02;
// The same for a model of which no engine has a copy: each model is to be
// reachable, and this one would take the longest.
constexpr double kMinRateWithoutCopy = 1.0;

// A rate over a longer time counts up to here, in requests a second: it tells
// whether a model that is seldom asked for is idle, not whether demand falls.
constexpr double kMaxSteadyRate = 1.0;

// What comes must add this much more than what goes takes away.
constexpr double kMinGainLossRatio = 1.3;
// Least gain, in requests a second, for which an order is given.
constexpr double kMinGain = 0.01;

// Engines with weights that may load from the weight store at one time, as a
// part of all: a load takes several times as long as one from a disk, and until
// it ends the engine takes neither other models nor adapters. One that has no
// weights in any way takes nothing from anybody while it loads: after a series
// of replacements most engines are like that.
constexpr double kStoreLoadShare = 0.25;

// Engines that should have a copy of a model that nobody asks for: the loss of
// one then leaves another.
constexpr std::int64_t kMinWeightCopies = 2;
// The same for one that is expected to be asked for, beside the replicas that
// it will need: copies are where other models are in demand, too.
constexpr std::int64_t kSpareWeightCopies = 1;
// What a copy may take away, as a part of the rate that it prepares for: it is
// worth the seconds by which a load from a disk is faster, if the rise comes.
constexpr double kCopyLossShare = 0.05;
// Loads from the weight store that are left for the first requests. Once there
// are requests no copies are made ahead: they keep engines busy that other
// loads need (mean worth of 20 days 0.546 without, 0.534 with them).
constexpr std::int64_t kReservedStoreLoads = 3;

// A replica on an engine whose slots are taken serves little, but may serve
// what finds no other.
constexpr double kMinFreeShare = 0.2;

// Preferences among engines, in requests a second: one that has less to do,
// a zone without a replica, nothing that has to go first.
constexpr double kRunningCost = 0.02;
constexpr double kZoneCost = 0.3;
constexpr double kEvictionCost = 0.4;

// Engines that are looked at for one replica, of those with a copy of the
// weights and of those without one each: the steps of a plan grow with engines,
// and so would the work of each step.
constexpr std::size_t kMaxScanned = 256;
// The same with those that turn out to hold the model or to be busy.
constexpr std::size_t kMaxVisited = 4 * kMaxScanned;

bool Contains(const std::vector<std::size_t>& set, std::size_t value) {
  return std::ranges::find(set, value) != set.end();
}

// The working state of one plan.
struct plan_state {
  const std::vector<plan_model>& models;
  std::vector<plan_engine> engines;
  plan_limits limits;
  // Engines with weights that may begin to load from the weight store.
  std::int64_t nonempty_store_loads = 0;
  // Replicas that serve, and those with what is being loaded.
  std::vector<std::int64_t> ready;
  std::vector<std::int64_t> planned;
  // Engines that hold the weights in any way.
  std::vector<std::int64_t> weight_copies;
  // The zone of each engine as a number, and the replicas of each model by
  // zone, with what is being loaded.
  std::vector<std::size_t> engine_zones;
  std::vector<std::vector<std::int64_t>> replicas_by_zone;
  // Engines with a copy of each model's weights beside those in use; empty if
  // all engines are looked at.
  std::vector<std::vector<std::size_t>> engines_with_copy;
  // All engines that may be given an order, those with least to do first.
  std::vector<std::size_t> least_busy;
  std::int64_t scanned_engines = 0;
  // What each model gains by one replica more, and loses by one less; kept,
  // since most of a plan's time would go into them (860 engines, 290 models).
  std::vector<double> gains;
  std::vector<double> losses;
  std::vector<plan_step> steps;
};

weight_source SourceAt(const plan_engine& engine, std::size_t model) {
  if (Contains(engine.in_memory, model))
    return weight_source::kMemory;
  if (Contains(engine.on_disk, model))
    return weight_source::kDisk;
  return weight_source::kStore;
}

double LoadTime(const plan_model& model, weight_source source) {
  switch (source) {
    case weight_source::kMemory:
      return static_cast<double>(model.load_from_memory.count());
    case weight_source::kDisk:
      return static_cast<double>(model.load_from_disk.count());
    case weight_source::kStore:
      break;
  }
  return static_cast<double>(model.load_from_store.count());
}

// The part of a replica's worth that is left after its load.
double LoadTimeFactor(const plan_model& model, weight_source source) {
  const double share = 1 - LoadTime(model, source) / kLoadHorizonMs;
  return std::max(share, kMinLoadFactor);
}

// The part of a model's requests that so many replicas serve on time, and
// those that are not lost with an engine.
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

// The part of an engine that is left for a replica more.
double FreeShare(const plan_engine& engine, const plan_limits& limits) {
  const double used =
      static_cast<double>(engine.running) /
      static_cast<double>(std::max<std::int64_t>(limits.slots, 1));
  return std::max(1 - used, kMinFreeShare);
}

// Works out anew what a model's replicas are worth.
void UpdateGains(plan_state& state, std::size_t model) {
  const std::int64_t planned = state.planned[model];
  state.gains[model] =
      ValueAt(state, model, planned + 1) - ValueAt(state, model, planned);
  const std::int64_t ready = state.ready[model];
  state.losses[model] =
      ValueAt(state, model, ready) - ValueAt(state, model, ready - 1);
}

// Whether a model's replica on an engine may go at all.
bool IsEvictable(const plan_state& state,
                 const plan_engine& engine,
                 std::size_t model) {
  if (Contains(engine.recently_loaded, model))
    return false;
  return state.ready[model] > 1 || state.weight_copies[model] > 1;
}

// What must go so that a model fits, and what that takes away.
struct eviction {
  std::vector<std::size_t> models;
  double loss = 0;
};

// Nothing if there cannot be room.
std::optional<eviction> FindEviction(const plan_state& state,
                                     const plan_engine& engine,
                                     std::size_t model) {
  std::int64_t missing = state.models[model].weights_mb - engine.free_mb;
  eviction out;
  if (missing <= 0)
    return out;
  std::vector<std::pair<double, std::size_t>> by_loss;
  for (const std::size_t each : engine.loaded) {
    if (IsEvictable(state, engine, each))
      by_loss.emplace_back(state.losses[each], each);
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

// A place for a model, and what using it adds.
struct replica_position {
  std::size_t engine = 0;
  eviction evictions;
  weight_source source = weight_source::kStore;
  double gain = 0;
};

// One that has just come: it holds nothing, and has no copies either.
bool IsEmpty(const plan_engine& engine) {
  return engine.loaded.empty() && engine.in_memory.empty() &&
         engine.on_disk.empty();
}

bool MayLoadFromStore(const plan_state& state, const plan_engine& engine) {
  return state.limits.store_loads > 0 &&
         (IsEmpty(engine) || state.nonempty_store_loads > 0);
}

// Takes a place at one engine if it is better than the best so far. False if
// the engine cannot be given the model now.
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
  net -= kZoneCost *
         static_cast<double>(
             state.replicas_by_zone[model][state.engine_zones[position]]);
  // Making room only takes away from it.
  if (best && net <= best->gain)
    return true;
  auto evictions = FindEviction(state, engine, model);
  if (!evictions || added < kMinGainLossRatio * evictions->loss)
    return true;
  net -= evictions->loss;
  net -= kEvictionCost * static_cast<double>(evictions->models.size());
  if (!best || net > best->gain)
    best = replica_position{position, std::move(*evictions), source, net};
  return true;
}

// Looks at some of the engines in a list, in its order.
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
  ++state.replicas_by_zone[model][state.engine_zones[chosen.engine]];
  if (chosen.evictions.models.empty()) {
    state.steps.push_back({chosen.engine, true, model, chosen.source, model});
    engine.free_mb -= state.models[model].weights_mb;
    engine.loading.push_back(model);
    if (chosen.source == weight_source::kStore) {
      --state.limits.store_loads;
      state.nonempty_store_loads -= IsEmpty(engine) ? 0 : 1;
    }
  } else {
    const std::size_t victim = chosen.evictions.models.front();
    state.steps.push_back({chosen.engine, false, victim, chosen.source, model});
    std::erase(engine.loaded, victim);
    --state.replicas_by_zone[victim][state.engine_zones[chosen.engine]];
    --state.ready[victim];
    --state.planned[victim];
    const bool copy_remains =
        Contains(engine.in_memory, victim) || Contains(engine.on_disk, victim);
    if (!copy_remains)
      --state.weight_copies[victim];
    UpdateGains(state, victim);
  }
  ++state.planned[model];
  UpdateGains(state, model);
}

// Every model of which an engine has the weights in some way, each once.
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

// Numbers the zones of all engines, and counts replicas by zone.
void CountByZone(plan_state& state) {
  std::map<std::string, std::size_t> numbers;
  for (const plan_engine& engine : state.engines) {
    const auto known = numbers.try_emplace(engine.zone, numbers.size()).first;
    state.engine_zones.push_back(known->second);
  }
  state.replicas_by_zone.assign(state.models.size(),
                                std::vector<std::int64_t>(numbers.size()));
  for (std::size_t i = 0; i < state.engines.size(); ++i) {
    const plan_engine& engine = state.engines[i];
    for (const auto* list : {&engine.loaded, &engine.loading}) {
      for (const std::size_t model : *list) {
        if (model < state.models.size())
          ++state.replicas_by_zone[model][state.engine_zones[i]];
      }
    }
  }
}

// Where each model may be brought, those first that have least to do if there
// are too many to look at.
void IndexEngines(plan_state& state) {
  for (std::size_t i = 0; i < state.engines.size(); ++i) {
    if (state.engines[i].serving && state.engines[i].accepts_orders)
      state.least_busy.push_back(i);
  }
  // Where all are looked at their order does not matter.
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
    const bool beside = engine.loads_from_store && !IsEmpty(engine);
    loading_from_store += beside ? 1 : 0;
    for (const std::size_t model : engine.loaded) {
      ++state.ready[model];
      ++state.planned[model];
    }
    for (const std::size_t model : engine.loading)
      ++state.planned[model];
    for (const std::size_t model : ModelsAt(engine)) {
      // Copies of models that the configuration no longer names do not count.
      if (model < models.size())
        ++state.weight_copies[model];
    }
  }
  CountByZone(state);
  IndexEngines(state);
  const double share = limits.no_demand ? 1 : kStoreLoadShare;
  const auto max_loading = static_cast<std::int64_t>(
      std::ceil(share * static_cast<double>(serving)));
  state.nonempty_store_loads = max_loading - loading_from_store;
  for (std::size_t model = 0; model < models.size(); ++model)
    UpdateGains(state, model);
  return state;
}

// A rate that a model is to be prepared for.
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

// How much a model lacks copies, in requests a second that each prepares for.
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
    auto evictions = FindEviction(state, engine, model);
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

// Brings copies of models to engines that have none.
void PlanWeightCopies(plan_state& state) {
  std::vector<bool> unplaceable(state.models.size());
  while (state.limits.store_loads > kReservedStoreLoads) {
    std::optional<std::size_t> largest_deficit;
    double max_need = 0;
    for (std::size_t i = 0; i < state.models.size(); ++i) {
      const double need = unplaceable[i] ? 0 : CopyDeficit(state, i);
      if (need > max_need) {
        largest_deficit = i;
        max_need = need;
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
    // The load itself follows once there is room: its turn is kept.
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
