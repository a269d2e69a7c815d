// SPDX-License-Identifier: MIT
#include "host/process/plan_view.h"

#include <algorithm>
#include <string>

namespace valeledge::host {

namespace {

using phase = engine_model::phase;

// Minimum time a model stays loaded: a load from disk takes one to two seconds,
// and the first requests complete within another second.
constexpr std::chrono::milliseconds kMinResidency{2500};

std::vector<std::size_t> PositionsOf(const std::vector<std::string>& names,
                                     const model_index& index) {
  std::vector<std::size_t> out;
  for (const std::string& name : names) {
    const auto found = index.positions.find(name);
    if (found != index.positions.end())
      out.push_back(found->second);
  }
  return out;
}

void AddModel(const engine_model& model,
              std::size_t position,
              base::time_point now,
              decisions::plan_engine& view) {
  if (model.state == phase::kHeld) {
    view.loaded.push_back(position);
    if (now - model.since < kMinResidency)
      view.recently_loaded.push_back(position);
  }
  if (model.state == phase::kLoading) {
    view.loading.push_back(position);
    view.loads_from_store = model.from_store;
  }
}

// A planned load that waits for room or for the weight store counts as one in
// progress: no other order may take its room.
void AddPlanned(const planned_load& planned,
                const model_index& index,
                decisions::plan_engine& view) {
  const auto found = index.positions.find(planned.model);
  if (found == index.positions.end())
    return;
  view.accepts_orders = false;
  view.loading.push_back(found->second);
  view.loads_from_store = planned.source == decisions::weight_source::kStore;
}

}  // namespace

model_index IndexOf(const catalog::engine& kind) {
  model_index out{kind, {}};
  for (std::size_t i = 0; i < kind.models.size(); ++i)
    out.positions.emplace(kind.models[i].name, i);
  return out;
}

decisions::plan_engine ViewOf(const engine_record& engine,
                              const model_index& index,
                              base::time_point now) {
  const known_server& server = *engine.server;
  decisions::plan_engine view;
  view.zone = server.entry.zone;
  view.software = server.entry.software;
  view.serving = server.TakesRequests();
  view.accepts_orders = IsIdle(engine);
  view.free_mb = index.kind.weights_mb - UsedMemory(engine, index.kind);
  for (const auto& [name, model] : engine.models) {
    const auto found = index.positions.find(name);
    if (found != index.positions.end())
      AddModel(model, found->second, now, view);
  }
  if (engine.planned)
    AddPlanned(*engine.planned, index, view);
  view.in_memory = PositionsOf(engine.in_memory, index);
  view.on_disk = PositionsOf(engine.on_disk, index);
  view.running = server.own.running + server.others.running;
  return view;
}

void ExcludeLimitedEngines(
    const std::vector<std::shared_ptr<engine_record>>& engines,
    base::time_point now,
    std::vector<decisions::plan_engine>& views) {
  const auto is_limited = [now](const std::shared_ptr<engine_record>& engine) {
    const known_server& server = *engine->server;
    return server.IsLimited() && now < server.limit_binds_until;
  };
  if (std::ranges::all_of(engines, is_limited))
    return;
  for (std::size_t i = 0; i < engines.size(); ++i)
    views[i].serving = views[i].serving && !is_limited(engines[i]);
}

// Scans the engine's models, not the configured ones: scanning each of 336
// models on each of 240 engines took most of the lease holder's planning time.
decisions::adapter_engine AdapterViewOf(const engine_record& engine,
                                        const model_index& index) {
  decisions::adapter_engine view;
  view.accepts_orders = IsIdle(engine);
  view.free_slots = index.kind.adapter_slots - AdaptersHeld(engine);
  for (const auto& [name, model] : engine.models) {
    const auto found = index.positions.find(name);
    if (found != index.positions.end() && model.state == phase::kHeld)
      view.models.push_back(found->second);
  }
  std::ranges::sort(view.models);
  for (const std::size_t position : view.models) {
    const catalog::model& model = index.kind.models[position];
    const auto& adapters = engine.models.find(model.name)->second.adapters;
    for (std::int64_t number = 0; number < model.adapters; ++number) {
      if (adapters.contains(AdapterName(number)))
        view.loaded.push_back({position, number});
    }
  }
  return view;
}

std::string AdapterName(std::int64_t number) {
  return "a" + std::to_string(number + 1);
}

std::vector<std::int64_t> ReplicasForAdapters(
    const std::vector<std::shared_ptr<engine_record>>& engines,
    const model_index& index) {
  std::vector<std::int64_t> loaded(index.kind.models.size(), 0);
  for (const auto& engine : engines) {
    for (const auto& [name, model] : engine->models) {
      const auto found = index.positions.find(name);
      if (found != index.positions.end())
        loaded[found->second] +=
            static_cast<std::int64_t>(model.adapters.size());
    }
  }
  const std::int64_t slots = index.kind.adapter_slots;
  std::vector<std::int64_t> out;
  for (std::size_t i = 0; i < loaded.size(); ++i) {
    const std::int64_t adapters =
        std::min(loaded[i] + 1, index.kind.models[i].adapters);
    const bool has_adapters = adapters > 0 && slots > 0;
    out.push_back(has_adapters ? (adapters + slots - 1) / slots : 1);
  }
  return out;
}

}  // namespace valeledge::host
