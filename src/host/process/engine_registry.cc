// SPDX-License-Identifier: MIT
#include "host/process/engine_registry.h"

#include <algorithm>

namespace valeledge::host {

std::int64_t UsedMemory(const engine_record& engine,
                        const catalog::engine& kind) {
  std::int64_t used = 0;
  for (const auto& [name, held] : engine.models) {
    const catalog::model* model = kind.Find(name);
    // A model removed from the configuration still occupies memory, and its
    // size is unknown.
    used += model == nullptr ? kind.weights_mb : model->weights_mb;
  }
  std::int64_t adapter_mb = 0;
  for (const catalog::model& each : kind.models) {
    if (each.adapters > 0)
      adapter_mb = std::max(adapter_mb, each.adapter_mb);
  }
  // Memory for adapters is always reserved.
  return used + adapter_mb * kind.adapter_slots;
}

std::int64_t AdaptersHeld(const engine_record& engine) {
  std::int64_t used = 0;
  for (const auto& [name, held] : engine.models)
    used += static_cast<std::int64_t>(held.adapters.size());
  return used;
}

bool IsHeld(const engine_record& engine, std::string_view model) {
  const auto found = engine.models.find(model);
  return found != engine.models.end() &&
         found->second.state == engine_model::phase::kHeld;
}

bool IsIdle(const engine_record& engine) {
  return engine.accepted && !engine.sending && !engine.changing &&
         !engine.querying && !engine.query_at;
}

bool IsListed(const engine_record& engine, std::string_view model) {
  const auto& listed = engine.server->entry.models;
  return std::ranges::find(listed, model, &catalog::held_model::name) !=
         listed.end();
}

bool ApplyEntry(engine_record& engine) {
  using enum engine_model::phase;
  if (!engine.changing || engine.sending || !engine.accepted)
    return false;
  for (auto& [name, model] : engine.models) {
    const bool listed = IsListed(engine, name);
    const bool loaded = model.state == kLoading && model.acknowledged &&
                        !model.listed_before && listed;
    const bool unloaded =
        model.state == kUnloading && model.listed_before && !listed;
    if (!loaded && !unloaded)
      continue;
    if (loaded) {
      model.state = kHeld;
      model.since = std::chrono::steady_clock::now();
    } else {
      engine.models.erase(name);
    }
    engine.changing = false;
    engine.in_memory = engine.server->entry.in_memory;
    engine.on_disk = engine.server->entry.on_disk;
    return true;
  }
  return false;
}

void ApplyState(engine_record& engine,
                const catalog::engine_state& state,
                base::time_point now) {
  using enum engine_model::phase;
  // Models in the first reported state were not loaded just now.
  const base::time_point arrived = engine.accepted ? now : base::time_point();
  engine.accepted = state.orders_accepted;
  engine.in_memory = state.in_memory;
  engine.on_disk = state.on_disk;
  std::map<std::string, engine_model, std::less<>> models;
  for (const catalog::held_model& each : state.models) {
    const auto known = engine.models.find(each.name);
    engine_model model;
    model.since = arrived;
    if (known != engine.models.end() && known->second.state == kHeld)
      model.since = known->second.since;
    const bool unloading = known != engine.models.end() && state.busy &&
                           known->second.state == kUnloading;
    if (unloading)
      model = known->second;
    model.adapters.clear();
    for (const std::string& adapter : each.adapters) {
      base::time_point used;
      if (known != engine.models.end()) {
        const auto before = known->second.adapters.find(adapter);
        if (before != known->second.adapters.end())
          used = before->second;
      }
      model.adapters[adapter] = used;
    }
    models[each.name] = std::move(model);
  }
  // The reported state does not list a model that is still being loaded.
  if (state.busy) {
    for (const auto& [name, known] : engine.models) {
      if (known.state == kLoading && !models.contains(name))
        models[name] = known;
    }
  }
  engine.models = std::move(models);
  engine.changing = state.busy;
}

}  // namespace valeledge::host
