// SPDX-License-Identifier: MIT
#include "decisions/model_plan.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <tuple>

namespace valeledge::decisions {

namespace {

// Milliseconds in a second that an engine may read prompts for one model:
// running streams pause meanwhile, and a few prompts together are as long as
// the pause that callers accept.
constexpr double kWorkMark = 250;

// Beyond this part of its slots an engine's batch is slow.
constexpr double kSlotMark = 0.5;

// A model that is asked for so often should survive the loss of a server.
constexpr double kSpareRate = 0.2;
constexpr std::int64_t kSpareReplicas = 2;

// What it costs, in milliseconds, to make room; to put a replica into a zone
// that has one; to use an engine with one more running request.
constexpr double kEvictionCost = 400;
constexpr double kRunningCost = 25;
constexpr double kZoneCost = 300;

bool Contains(const std::vector<std::size_t>& set, std::size_t value) {
  return std::ranges::find(set, value) != set.end();
}

// The working state of one plan.
struct planning {
  const std::vector<plan_model>& models;
  std::vector<plan_engine> engines;
  plan_limits limits;
  // Replicas that stay when others need the room.
  std::vector<std::int64_t> kept;
  // Replicas that serve, and those with what is being loaded.
  std::vector<std::int64_t> ready;
  std::vector<std::int64_t> coming;
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

// Models on an engine whose demand needs fewer replicas, the least used first.
std::vector<std::size_t> Surplus(const planning& state,
                                 const plan_engine& engine) {
  std::vector<std::size_t> out;
  for (const std::size_t model : engine.held) {
    if (state.ready[model] > std::max<std::int64_t>(state.kept[model], 1))
      out.push_back(model);
  }
  std::ranges::sort(out, {}, [&](std::size_t model) {
    return state.models[model].work /
           static_cast<double>(std::max<std::int64_t>(state.ready[model], 1));
  });
  return out;
}

// What must go so that a model fits; nothing if it cannot.
std::optional<std::vector<std::size_t>> Victims(const planning& state,
                                                const plan_engine& engine,
                                                std::size_t model) {
  std::int64_t missing = state.models[model].weights_mb - engine.free_mb;
  std::vector<std::size_t> victims;
  for (const std::size_t each : Surplus(state, engine)) {
    if (missing <= 0)
      break;
    victims.push_back(each);
    missing -= state.models[each].weights_mb;
  }
  if (missing > 0)
    return std::nullopt;
  return victims;
}

// A place for a model, and what it costs to use it.
struct home {
  std::size_t engine = 0;
  std::vector<std::size_t> victims;
  weight_source source = weight_source::kStore;
  double cost = 0;
};

std::optional<home> FindHome(const planning& state, std::size_t model) {
  std::map<std::string, std::int64_t> in_zone;
  for (const plan_engine& each : state.engines) {
    if (Contains(each.held, model) || Contains(each.loading, model))
      ++in_zone[each.zone];
  }
  std::optional<home> best;
  for (std::size_t i = 0; i < state.engines.size(); ++i) {
    const plan_engine& engine = state.engines[i];
    const bool candidate = engine.serving && engine.free &&
                           !Contains(engine.held, model) &&
                           !Contains(engine.loading, model);
    if (!candidate)
      continue;
    const weight_source source = SourceAt(engine, model);
    if (source == weight_source::kStore && state.limits.store_loads <= 0)
      continue;
    auto victims = Victims(state, engine, model);
    if (!victims)
      continue;
    double cost = LoadTime(state.models[model], source);
    cost += kEvictionCost * static_cast<double>(victims->size());
    cost += kRunningCost * static_cast<double>(engine.running);
    const auto zone = in_zone.find(engine.zone);
    if (zone != in_zone.end())
      cost += kZoneCost * static_cast<double>(zone->second);
    if (!best || cost < best->cost)
      best = home{i, std::move(*victims), source, cost};
  }
  return best;
}

void Take(planning& state, const home& place, std::size_t model) {
  plan_engine& engine = state.engines[place.engine];
  engine.free = false;
  if (place.victims.empty()) {
    state.steps.push_back({place.engine, true, model, place.source});
    engine.free_mb -= state.models[model].weights_mb;
    engine.loading.push_back(model);
    if (place.source == weight_source::kStore)
      --state.limits.store_loads;
  } else {
    const std::size_t victim = place.victims.front();
    state.steps.push_back({place.engine, false, victim, place.source});
    std::erase(engine.held, victim);
    --state.ready[victim];
    --state.coming[victim];
  }
  ++state.coming[model];
}

planning Begin(const std::vector<plan_model>& models,
               const std::vector<plan_engine>& engines,
               const plan_limits& limits) {
  planning state{models, engines, limits, {}, {}, {}, {}};
  state.ready.resize(models.size());
  state.coming.resize(models.size());
  for (const plan_engine& engine : engines) {
    if (!engine.serving)
      continue;
    for (const std::size_t model : engine.held) {
      ++state.ready[model];
      ++state.coming[model];
    }
    for (const std::size_t model : engine.loading)
      ++state.coming[model];
  }
  return state;
}

// How much a model's replicas have to do; without any, more than all others.
double Need(const planning& state, std::size_t model) {
  const double asked =
      std::max(state.models[model].work, state.models[model].future_work) +
      state.models[model].arrival_rate + 1;
  if (state.coming[model] == 0)
    return 1e9 + asked;
  return asked / static_cast<double>(state.coming[model]);
}

// Gives models the replicas that are wanted, the neediest first.
void Fill(planning& state, const std::vector<std::int64_t>& wanted) {
  std::vector<bool> hopeless(state.models.size());
  while (true) {
    std::optional<std::size_t> neediest;
    for (std::size_t i = 0; i < state.models.size(); ++i) {
      if (hopeless[i] || state.coming[i] >= wanted[i])
        continue;
      if (!neediest || Need(state, i) > Need(state, *neediest))
        neediest = i;
    }
    if (!neediest)
      return;
    const auto place = FindHome(state, *neediest);
    if (place)
      Take(state, *place, *neediest);
    else
      hopeless[*neediest] = true;
  }
}

}  // namespace

std::int64_t WantedNow(const plan_model& model, const plan_limits& limits) {
  const double by_work = std::ceil(model.work / kWorkMark);
  const double slots = kSlotMark * static_cast<double>(limits.slots);
  const double by_slots =
      std::ceil(static_cast<double>(model.running) / std::max(slots, 1.0));
  return std::max({static_cast<std::int64_t>(std::max(by_work, by_slots)),
                   model.least_replicas, std::int64_t{1}});
}

std::int64_t WantedSoon(const plan_model& model, const plan_limits& limits) {
  const double by_work = std::ceil(model.future_work / kWorkMark);
  return std::max({static_cast<std::int64_t>(by_work),
                   model.least_replicas_soon, WantedNow(model, limits)});
}

std::vector<plan_step> PlanModels(const std::vector<plan_model>& models,
                                  const std::vector<plan_engine>& engines,
                                  const plan_limits& limits) {
  planning state = Begin(models, engines, limits);
  const std::vector<std::int64_t> one(models.size(), 1);
  std::vector<std::int64_t> now;
  std::vector<std::int64_t> soon;
  std::vector<std::int64_t> spare;
  for (const plan_model& each : models) {
    now.push_back(WantedNow(each, limits));
    soon.push_back(WantedSoon(each, limits));
    spare.push_back(each.arrival_rate >= kSpareRate ? kSpareReplicas : 1);
  }
  state.kept = now;
  Fill(state, one);
  Fill(state, now);
  state.kept = soon;
  Fill(state, soon);
  // Nothing gives way to a second replica.
  state.kept.assign(models.size(), std::numeric_limits<std::int64_t>::max());
  Fill(state, spare);
  return std::move(state.steps);
}

}  // namespace valeledge::decisions
