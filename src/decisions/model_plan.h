// SPDX-License-Identifier: MIT
// Plans which models engines should load or unload next. Each engine executes
// one order at a time and keeps copies of the weights of models that it has
// unloaded.
#ifndef VALELEDGE_DECISIONS_MODEL_PLAN_H_
#define VALELEDGE_DECISIONS_MODEL_PLAN_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace valeledge::decisions {

// Where an engine loads the weights of a model from.
enum class weight_source { kMemory, kDisk, kStore };

// A model and the demand for it.
struct plan_model {
  std::int64_t weights_mb = 0;
  std::chrono::milliseconds load_from_memory{0};
  std::chrono::milliseconds load_from_disk{0};
  std::chrono::milliseconds load_from_store{0};
  // Engine time that the requests of one second take, in milliseconds.
  double work = 0;
  // Requests per second over a short and over a longer window.
  double arrival_rate = 0;
  double steady_rate = 0;
  // Requests running now on all engines.
  std::int64_t running = 0;
  // The objectives of all its requests allow for a load from a weight copy.
  bool deferrable = false;
  // Minimum number of replicas for other reasons, such as slots for adapters.
  std::int64_t min_replicas = 1;
};

// One engine. Models are indexes into the list of models.
struct plan_engine {
  std::string zone;
  std::string software;
  // It accepts requests: its loaded models count as replicas.
  bool serving = true;
  // An order may be sent to it now.
  bool accepts_orders = true;
  std::int64_t free_mb = 0;
  std::vector<std::size_t> loaded;
  // Loaded models that may not be unloaded yet because they were loaded
  // recently.
  std::vector<std::size_t> recently_loaded;
  // Being loaded now; counted as planned replicas.
  std::vector<std::size_t> loading;
  // The current load reads from the weight store.
  bool loads_from_store = false;
  std::vector<std::size_t> in_memory;
  std::vector<std::size_t> on_disk;
  // Requests running on it now, of all models.
  std::int64_t running = 0;
};

struct plan_limits {
  // Requests that one engine runs concurrently.
  std::int64_t slots = 1;
  // Loads from the weight store that may start now.
  std::int64_t store_loads = 0;
  // There have been no requests yet, so engines may be kept busy with loads.
  bool no_demand = false;
};

// One order that should be sent now.
struct plan_step {
  std::size_t engine = 0;
  bool load = true;
  std::size_t model = 0;
  // Where the weights come from; for unloads, those of the successor.
  weight_source source = weight_source::kStore;
  // Unloads: the model that memory is freed for.
  std::size_t successor = 0;
};

// Statistics of one planning run.
struct plan_stats {
  // Engines that were evaluated as candidates for a replica, over all steps.
  std::int64_t scanned_engines = 0;
};

// Returns the next orders, at most one for each engine. Loads are planned in
// descending order of their gain, and a replica is evicted only if the gain
// exceeds the loss by kMinGainLossRatio. The last replica of a model is kept
// unless another engine has a copy of the weights. While there is no demand,
// the remaining loads from the weight store bring second weight copies to the
// disks of engines.
std::vector<plan_step> PlanModels(const std::vector<plan_model>& models,
                                  const std::vector<plan_engine>& engines,
                                  const plan_limits& limits,
                                  plan_stats* stats = nullptr);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_MODEL_PLAN_H_
