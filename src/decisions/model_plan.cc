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
constexpr double kWorkMark = 250;

// Beyond this part of its slots an engine's batch is slow.
constexpr double kSlotMark = 0.5;

// A replica that loads for long is worth less: demand moves on within about
// so many milliseconds.
constexpr double kHorizon = 8000;
constexpr double kLeastOfHorizon = 0.1;

// What is expected soon counts for this part of what is asked for now.
constexpr double kSoonPart = 0.3;

// The part of a model's requests that a loss of one of its engines endangers:
// engines are away for seconds at a time, about a thirtieth of all time.
constexpr double kLossPart = 0.04;

// Requests that can wait for a load from a copy are served without a replica,
// but some come late, and the load takes a place all the same.
constexpr double kPatientPart = 0.5;

// Requests a second that are assumed for every model that nobody asks for: it
// stays where nothing else needs the room.
constexpr double kLeastRate = 0.02;
// The same for a model of which no engine has a copy: each model is to be
// reachable, and this one would take the longest.
constexpr double kNowhereRate = 1.0;

// A rate over a longer time counts up to here, in requests a second: it tells
// whether a model that is seldom asked for is idle, not whether demand falls.
constexpr double kMostSteadyRate = 1.0;

// What comes must add this much more than what goes takes away.
constexpr double kGainOverLoss = 1.3;
// Least gain, in requests a second, for which an order is given.
constexpr double kLeastGain = 0.01;

// Engines with weights that may load from the weight store at one time, as a
// part of all: a load takes several times as long as one from a disk, and until
// it ends the engine takes neither other models nor adapters. One that has no
// weights in any way takes nothing from anybody while it loads: after a series
// of replacements most engines are like that.
constexpr double kStoreLoadPart = 0.25;

// Engines that should have a copy of a model that nobody asks for: the loss of
// one then leaves another.
constexpr std::int64_t kLeastCopies = 2;
// The same for one that is expected to be asked for, beside the replicas that
// it will need: copies are where other models are in demand, too.
constexpr std::int64_t kSpareCopies = 1;
// What a copy may take away, as a part of the rate that it prepares for: it is
// worth the seconds by which a load from a disk is faster, if the rise comes.
constexpr double kCopyWorth = 0.05;
// Loads from the weight store that are left for the first requests. Once there
// are requests no copies are made ahead: they keep engines busy that other
// loads need (mean worth of 20 days 0.546 without, 0.534 with them).
constexpr std::int64_t kStoreLoadsKept = 3;

// A replica on an engine whose slots are taken serves little, but may serve
// what finds no other.
constexpr double kLeastFreePart = 0.2;

// Preferences among engines, in requests a second: one that has less to do,
// a zone without a replica, nothing that has to go first.
constexpr double kRunningCost = 0.02;
constexpr double kZoneCost = 0.3;
constexpr double kEvictionCost = 0.4;

// Engines that are looked at for one replica, of those with a copy of the
// weights and of those without one each: the steps of a plan grow with engines,
// and so would the work of each step.
constexpr std::size_t kMostLooked = 256;
// The same with those that turn out to hold the model or to be busy.
constexpr std::size_t kMostVisited = 4 * kMostLooked;

bool Contains(const std::vector<std::size_t>& set, std::size_t value) {
  return std::ranges::find(set, value) != set.end();
}

// The working state of one plan.
struct planning {
  const std::vector<plan_model>& models;
  std::vector<plan_engine> engines;
  plan_limits limits;
  // Engines with weights that may begin to load from the weight store.
  std::int64_t store_loads_beside = 0;
  // Replicas that serve, and those with what is being loaded.
  std::vector<std::int64_t> ready;
  std::vector<std::int64_t> coming;
  // Engines that hold the weights in any way.
  std::vector<std::int64_t> copies;
  // The zone of each engine as a number, and the replicas of each model by
  // zone, with what is being loaded.
  std::vector<std::size_t> zones;
  std::vector<std::vector<std::int64_t>> in_zone;
  // Engines with a copy of each model's weights beside those in use; empty if
  // all engines are looked at.
  std::vector<std::vector<std::size_t>> at_hand;
  // All engines that may be given an order, those with least to do first.
  std::vector<std::size_t> idlest;
  std::int64_t looked = 0;
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
double PartAfterLoad(const plan_model& model, weight_source source) {
  const double part = 1 - LoadTime(model, source) / kHorizon;
  return std::max(part, kLeastOfHorizon);
}

// The part of a model's requests that so many replicas serve on time, and
// those that are not lost with an engine.
double ServedPart(double replicas, double wanted) {
  if (replicas <= 0)
    return 0;
  const double served = std::min(replicas / std::max(wanted, 1.0), 1.0);
  return served + kLossPart * (1 - std::exp2(-replicas));
}

double WorthAt(const planning& state, std::size_t model, std::int64_t count) {
  return WorthOf(state.models[model], state.limits, count,
                 state.copies[model] > 0);
}

// The part of an engine that is left for a replica more.
double FreePart(const plan_engine& engine, const plan_limits& limits) {
  const double taken =
      static_cast<double>(engine.running) /
      static_cast<double>(std::max<std::int64_t>(limits.slots, 1));
  return std::max(1 - taken, kLeastFreePart);
}

// Works out anew what a model's replicas are worth.
void Weigh(planning& state, std::size_t model) {
  const std::int64_t coming = state.coming[model];
  state.gains[model] =
      WorthAt(state, model, coming + 1) - WorthAt(state, model, coming);
  const std::int64_t ready = state.ready[model];
  state.losses[model] =
      WorthAt(state, model, ready) - WorthAt(state, model, ready - 1);
}

// Whether a model's replica on an engine may go at all.
bool MayGo(const planning& state,
           const plan_engine& engine,
           std::size_t model) {
  if (Contains(engine.fresh, model))
    return false;
  return state.ready[model] > 1 || state.copies[model] > 1;
}

// What must go so that a model fits, and what that takes away.
struct eviction {
  std::vector<std::size_t> models;
  double loss = 0;
};

// Nothing if there cannot be room.
std::optional<eviction> FindRoom(const planning& state,
                                 const plan_engine& engine,
                                 std::size_t model) {
  std::int64_t missing = state.models[model].weights_mb - engine.free_mb;
  eviction out;
  if (missing <= 0)
    return out;
  std::vector<std::pair<double, std::size_t>> by_loss;
  for (const std::size_t each : engine.held) {
    if (MayGo(state, engine, each))
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
struct home {
  std::size_t engine = 0;
  eviction room;
  weight_source source = weight_source::kStore;
  double gain = 0;
};

// One that has just come: it holds nothing, and has no copies either.
bool IsBare(const plan_engine& engine) {
  return engine.held.empty() && engine.in_memory.empty() &&
         engine.on_disk.empty();
}

bool MayLoadFromStore(const planning& state, const plan_engine& engine) {
  return state.limits.store_loads > 0 &&
         (IsBare(engine) || state.store_loads_beside > 0);
}

// Takes a place at one engine if it is better than the best so far. False if
// the engine cannot be given the model now.
bool LookAt(planning& state,
            std::size_t model,
            std::size_t position,
            std::optional<home>& best) {
  const plan_engine& engine = state.engines[position];
  const bool candidate = engine.serving && engine.free &&
                         !Contains(engine.held, model) &&
                         !Contains(engine.loading, model);
  if (!candidate)
    return false;
  const weight_source source = SourceAt(engine, model);
  if (source == weight_source::kStore && !MayLoadFromStore(state, engine))
    return false;
  ++state.looked;
  const double added = state.gains[model] *
                       PartAfterLoad(state.models[model], source) *
                       FreePart(engine, state.limits);
  if (added < kLeastGain)
    return true;
  double net = added;
  net -= kRunningCost * static_cast<double>(engine.running);
  net -= kZoneCost *
         static_cast<double>(state.in_zone[model][state.zones[position]]);
  // Making room only takes away from it.
  if (best && net <= best->gain)
    return true;
  auto room = FindRoom(state, engine, model);
  if (!room || added < kGainOverLoss * room->loss)
    return true;
  net -= room->loss;
  net -= kEvictionCost * static_cast<double>(room->models.size());
  if (!best || net > best->gain)
    best = home{position, std::move(*room), source, net};
  return true;
}

// Looks at some of the engines in a list, in its order.
void LookThrough(planning& state,
                 std::size_t model,
                 const std::vector<std::size_t>& engines,
                 std::optional<home>& best) {
  std::size_t looked = 0;
  const std::size_t visited = std::min(engines.size(), kMostVisited);
  for (std::size_t i = 0; i < visited && looked < kMostLooked; ++i)
    looked += LookAt(state, model, engines[i], best) ? 1 : 0;
}

std::optional<home> FindHome(planning& state, std::size_t model) {
  std::optional<home> best;
  if (!state.at_hand.empty())
    LookThrough(state, model, state.at_hand[model], best);
  LookThrough(state, model, state.idlest, best);
  return best;
}

void Take(planning& state, const home& place, std::size_t model) {
  plan_engine& engine = state.engines[place.engine];
  engine.free = false;
  ++state.in_zone[model][state.zones[place.engine]];
  if (place.room.models.empty()) {
    state.steps.push_back({place.engine, true, model, place.source, model});
    engine.free_mb -= state.models[model].weights_mb;
    engine.loading.push_back(model);
    if (place.source == weight_source::kStore) {
      --state.limits.store_loads;
      state.store_loads_beside -= IsBare(engine) ? 0 : 1;
    }
  } else {
    const std::size_t victim = place.room.models.front();
    state.steps.push_back({place.engine, false, victim, place.source, model});
    std::erase(engine.held, victim);
    --state.in_zone[victim][state.zones[place.engine]];
    --state.ready[victim];
    --state.coming[victim];
    const bool keeps_copy =
        Contains(engine.in_memory, victim) || Contains(engine.on_disk, victim);
    if (!keeps_copy)
      --state.copies[victim];
    Weigh(state, victim);
  }
  ++state.coming[model];
  Weigh(state, model);
}

// Every model of which an engine has the weights in some way, each once.
std::vector<std::size_t> ModelsAt(const plan_engine& engine) {
  std::vector<std::size_t> out;
  for (const auto* list :
       {&engine.held, &engine.loading, &engine.in_memory, &engine.on_disk}) {
    for (const std::size_t model : *list) {
      if (!Contains(out, model))
        out.push_back(model);
    }
  }
  return out;
}

// Numbers the zones of all engines, and counts replicas by zone.
void CountByZone(planning& state) {
  std::map<std::string, std::size_t> numbers;
  for (const plan_engine& engine : state.engines) {
    const auto known = numbers.try_emplace(engine.zone, numbers.size()).first;
    state.zones.push_back(known->second);
  }
  state.in_zone.assign(state.models.size(),
                       std::vector<std::int64_t>(numbers.size()));
  for (std::size_t i = 0; i < state.engines.size(); ++i) {
    const plan_engine& engine = state.engines[i];
    for (const auto* list : {&engine.held, &engine.loading}) {
      for (const std::size_t model : *list) {
        if (model < state.models.size())
          ++state.in_zone[model][state.zones[i]];
      }
    }
  }
}

// Where each model may be brought, those first that have least to do if there
// are too many to look at.
void IndexEngines(planning& state) {
  for (std::size_t i = 0; i < state.engines.size(); ++i) {
    if (state.engines[i].serving && state.engines[i].free)
      state.idlest.push_back(i);
  }
  // Where all are looked at their order does not matter.
  if (state.idlest.size() <= kMostLooked)
    return;
  std::ranges::sort(state.idlest, {}, [&](std::size_t position) {
    const plan_engine& engine = state.engines[position];
    return std::tuple(engine.running, -engine.free_mb, position);
  });
  state.at_hand.resize(state.models.size());
  for (const std::size_t position : state.idlest) {
    const plan_engine& engine = state.engines[position];
    for (const auto* list : {&engine.in_memory, &engine.on_disk}) {
      for (const std::size_t model : *list) {
        if (model < state.models.size())
          state.at_hand[model].push_back(position);
      }
    }
  }
}

planning Begin(const std::vector<plan_model>& models,
               const std::vector<plan_engine>& engines,
               const plan_limits& limits) {
  planning state{models, engines, limits};
  state.ready.resize(models.size());
  state.coming.resize(models.size());
  state.copies.resize(models.size());
  state.gains.resize(models.size());
  state.losses.resize(models.size());
  std::int64_t serving = 0;
  std::int64_t loading_from_store = 0;
  for (const plan_engine& engine : engines) {
    if (!engine.serving)
      continue;
    ++serving;
    const bool beside = engine.loads_from_store && !IsBare(engine);
    loading_from_store += beside ? 1 : 0;
    for (const std::size_t model : engine.held) {
      ++state.ready[model];
      ++state.coming[model];
    }
    for (const std::size_t model : engine.loading)
      ++state.coming[model];
    for (const std::size_t model : ModelsAt(engine)) {
      // Copies of models that the configuration no longer names do not count.
      if (model < models.size())
        ++state.copies[model];
    }
  }
  CountByZone(state);
  IndexEngines(state);
  const double part = limits.quiet ? 1 : kStoreLoadPart;
  const auto most_loading =
      static_cast<std::int64_t>(std::ceil(part * static_cast<double>(serving)));
  state.store_loads_beside = most_loading - loading_from_store;
  for (std::size_t model = 0; model < models.size(); ++model)
    Weigh(state, model);
  return state;
}

// A rate that a model is to be prepared for.
double ExpectedRate(const plan_model& model) {
  return std::max(model.future_rate, model.later_rate);
}

std::int64_t CopiesWanted(const planning& state, std::size_t model) {
  const plan_model& each = state.models[model];
  const double rate = ExpectedRate(each);
  if (rate <= each.arrival_rate || rate < kLeastRate)
    return kLeastCopies;
  const double work = std::max(each.future_work, each.later_work);
  const auto replicas = static_cast<std::int64_t>(std::ceil(work / kWorkMark));
  const auto most = static_cast<std::int64_t>(state.engines.size() / 2);
  return std::clamp(replicas + kSpareCopies, kLeastCopies,
                    std::max(most, kLeastCopies));
}

// How much a model lacks copies, in requests a second that each prepares for.
double CopyNeed(const planning& state, std::size_t model) {
  const auto wanted = static_cast<double>(CopiesWanted(state, model));
  const auto missing = wanted - static_cast<double>(state.copies[model]);
  const double rate = ExpectedRate(state.models[model]) + kLeastRate;
  return missing > 0 ? rate * missing / (wanted * wanted) : 0;
}

std::optional<home> FindCopyHome(planning& state, std::size_t model) {
  const double most_loss =
      kCopyWorth * (ExpectedRate(state.models[model]) + kLeastRate);
  std::optional<home> best;
  std::size_t looked = 0;
  const std::size_t visited = std::min(state.idlest.size(), kMostVisited);
  for (std::size_t i = 0; i < visited && looked < kMostLooked; ++i) {
    const std::size_t position = state.idlest[i];
    const plan_engine& engine = state.engines[position];
    const bool candidate = engine.serving && engine.free &&
                           !Contains(engine.held, model) &&
                           !Contains(engine.loading, model) &&
                           SourceAt(engine, model) == weight_source::kStore;
    if (!candidate)
      continue;
    ++looked;
    ++state.looked;
    auto room = FindRoom(state, engine, model);
    if (!room || room->loss > most_loss)
      continue;
    const double net =
        -room->loss - kRunningCost * static_cast<double>(engine.running);
    if (!best || net > best->gain)
      best = home{position, std::move(*room), weight_source::kStore, net};
  }
  return best;
}

// Brings copies of models to engines that have none.
void PlanCopies(planning& state) {
  std::vector<bool> hopeless(state.models.size());
  while (state.limits.store_loads > kStoreLoadsKept) {
    std::optional<std::size_t> neediest;
    double most = 0;
    for (std::size_t i = 0; i < state.models.size(); ++i) {
      const double need = hopeless[i] ? 0 : CopyNeed(state, i);
      if (need > most) {
        neediest = i;
        most = need;
      }
    }
    if (!neediest)
      return;
    const auto place = FindCopyHome(state, *neediest);
    hopeless[*neediest] = !place;
    if (!place)
      continue;
    Take(state, *place, *neediest);
    ++state.copies[*neediest];
    // The load itself follows once there is room: its turn is kept.
    if (!place->room.models.empty())
      --state.limits.store_loads;
  }
}

}  // namespace

double ReplicasNow(const plan_model& model, const plan_limits& limits) {
  const double by_work = model.work / kWorkMark;
  const double slots = kSlotMark * static_cast<double>(limits.slots);
  const double by_slots =
      static_cast<double>(model.running) / std::max(slots, 1.0);
  return std::max(
      {by_work, by_slots, static_cast<double>(model.least_replicas)});
}

double WorthOf(const plan_model& model,
               const plan_limits& limits,
               std::int64_t replicas,
               bool at_hand) {
  const auto count = static_cast<double>(replicas);
  const double now = std::max({model.arrival_rate,
                               std::min(model.steady_rate, kMostSteadyRate),
                               at_hand ? kLeastRate : kNowhereRate});
  if (replicas <= 0)
    return model.patient && at_hand ? kPatientPart * now : 0;
  const double soon = kSoonPart * model.future_rate;
  return now * ServedPart(count, ReplicasNow(model, limits)) +
         soon * ServedPart(count, model.future_work / kWorkMark);
}

std::vector<plan_step> PlanModels(const std::vector<plan_model>& models,
                                  const std::vector<plan_engine>& engines,
                                  const plan_limits& limits,
                                  plan_effort* effort) {
  planning state = Begin(models, engines, limits);
  std::vector<bool> hopeless(models.size());
  while (true) {
    std::optional<std::size_t> best;
    double most = 0;
    for (std::size_t i = 0; i < models.size(); ++i) {
      if (hopeless[i])
        continue;
      const double gain = state.gains[i];
      if (!best || gain > most) {
        best = i;
        most = gain;
      }
    }
    if (!best || most < kLeastGain)
      break;
    const auto place = FindHome(state, *best);
    if (place)
      Take(state, *place, *best);
    else
      hopeless[*best] = true;
  }
  if (limits.quiet)
    PlanCopies(state);
  if (effort != nullptr)
    effort->looked = state.looked;
  return std::move(state.steps);
}

}  // namespace valeledge::decisions
