// SPDX-License-Identifier: MIT
// What the holder of the lease believes of each engine it gives orders to.
#ifndef VALELEDGE_HOST_PROCESS_ENGINE_REGISTRY_H_
#define VALELEDGE_HOST_PROCESS_ENGINE_REGISTRY_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/duration.h"
#include "catalog/backend_server.h"
#include "catalog/configuration.h"
#include "decisions/model_plan.h"
#include "host/process/server_registry.h"

namespace valeledge::host {

// A model on one engine.
struct engine_model {
  enum class phase { kLoading, kHeld, kWithdrawn, kUnloading };
  phase state = phase::kHeld;
  // When it was ordered; a load's end is expected at `due`.
  base::time_point since;
  base::time_point due;
  bool from_store = false;
  // The engine's entry listed it when the order was given, so that the entry
  // cannot tell when a load of it has ended, but when an unload has.
  bool listed_before = false;
  // The engine has accepted the order to load it.
  bool acknowledged = false;
  // Adapters with the time at which each was last asked for.
  std::map<std::string, base::time_point, std::less<>> adapters;
};

// A model that room is being made for on an engine.
struct planned_load {
  std::string model;
  decisions::weight_source source = decisions::weight_source::kStore;
  base::time_point planned_at;
};

// One instance. An order takes effect only if the engine has accepted exactly
// `accepted` orders before, so what is believed at that number is what the
// order changes; an order without an answer is settled by asking again.
struct engine_record {
  std::shared_ptr<known_server> server;
  // Orders accepted so far; nothing before the engine has said so.
  std::optional<std::int64_t> accepted;
  base::time_point accepted_at;
  std::map<std::string, engine_model, std::less<>> models;
  std::vector<std::string> in_memory;
  std::vector<std::string> on_disk;
  // What is loaded as soon as there is room, so that no other plan takes it.
  // An order is on its way; a model is being loaded or unloaded.
  std::optional<planned_load> planned;
  bool sending = false;
  bool changing = false;
  // The engine should be asked for its state from here on.
  std::optional<base::time_point> query_at;
  bool querying = false;
};

// Memory that weights and adapters may take on an engine, as believed.
std::int64_t UsedMemory(const engine_record& engine,
                        const catalog::engine& kind);
std::int64_t AdaptersHeld(const engine_record& engine);

// Whether the engine may be given an order: its state is known, and nothing is
// under way there.
bool IsIdle(const engine_record& engine);

// Whether the engine's entry lists the model.
bool IsListed(const engine_record& engine, std::string_view model);

// Whether the model is there and takes requests.
bool IsHeld(const engine_record& engine, std::string_view model);

// Takes in that the engine's entry, which it writes anew at the end of an
// order, shows that the order under way has ended; false if it does not.
bool ApplyEntry(engine_record& engine);

// Takes in an engine's own account of itself, which is as of `asked` or a
// little earlier. Loads and adapters ordered later are kept.
void ApplyState(engine_record& engine,
                const catalog::engine_state& state,
                base::time_point now);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_ENGINE_REGISTRY_H_
