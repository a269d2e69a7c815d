// SPDX-License-Identifier: MIT
// State of each engine to which the lease holder sends orders.
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
  // Start of the current state; a load should complete at `due`.
  base::time_point since;
  base::time_point due;
  bool from_store = false;
  // The engine's entry listed the model when the order was sent. The entry can
  // then show the end of an unload, but not that of a load.
  bool listed_before = false;
  // The engine has accepted the order to load it.
  bool acknowledged = false;
  // Adapters with the time of the last request for each; later than now while
  // the adapter is being loaded.
  std::map<std::string, base::time_point, std::less<>> adapters;
};

// A model that is loaded once another one has been unloaded to make room.
struct planned_load {
  std::string model;
  decisions::weight_source source = decisions::weight_source::kStore;
  base::time_point planned_at;
};

// One instance. An order takes effect only if the engine has accepted exactly
// `accepted` orders before, so it applies to the state known at that count. An
// order without a response is resolved by querying the engine's state.
struct engine_record {
  std::shared_ptr<known_server> server;
  // Number of orders accepted so far; nothing until the engine reports it.
  std::optional<std::int64_t> accepted;
  base::time_point accepted_at;
  std::map<std::string, engine_model, std::less<>> models;
  std::vector<std::string> in_memory;
  std::vector<std::string> on_disk;
  // The model to load as soon as there is room; no other plan may use the room.
  std::optional<planned_load> planned;
  // An order has been sent and its response is pending.
  bool sending = false;
  // A model is being loaded or unloaded.
  bool changing = false;
  // When the engine's state should be queried.
  std::optional<base::time_point> query_at;
  bool querying = false;
};

// Memory in MB that the engine's weights use, plus what is reserved for
// adapters.
std::int64_t UsedMemory(const engine_record& engine,
                        const catalog::engine& kind);
std::int64_t AdaptersHeld(const engine_record& engine);

// Whether the engine may get an order: its state is known, and no order, load,
// unload or query is in progress or due.
bool IsIdle(const engine_record& engine);

// Whether the engine's entry lists the model.
bool IsListed(const engine_record& engine, std::string_view model);

// Whether the engine has loaded the model and serves requests for it.
bool IsHeld(const engine_record& engine, std::string_view model);

// Completes the pending load or unload if the engine's entry, which is
// rewritten when an order ends, shows its result. Returns false if it does not.
bool ApplyEntry(engine_record& engine);

// Replaces the record's contents by the state that the engine reported. Loads
// and unloads in progress are kept while the engine says that it is busy, as
// are the known use times of adapters and load times of models.
void ApplyState(engine_record& engine,
                const catalog::engine_state& state,
                base::time_point now);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_ENGINE_REGISTRY_H_
