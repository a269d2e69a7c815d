// SPDX-License-Identifier: MIT
// Which engines should load or give up which models next, where each engine
// carries out one order at a time and keeps copies of weights it held before.
#ifndef VALELEDGE_DECISIONS_MODEL_PLAN_H_
#define VALELEDGE_DECISIONS_MODEL_PLAN_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace valeledge::decisions {

// Where an engine gets the weights of a model from.
enum class weight_source { kMemory, kDisk, kStore };

// A model and what is asked of it.
struct plan_model {
  std::int64_t weights_mb = 0;
  std::chrono::milliseconds load_from_memory{0};
  std::chrono::milliseconds load_from_disk{0};
  std::chrono::milliseconds load_from_store{0};
  // Milliseconds of one engine's time that a second of requests takes.
  double work = 0;
  // Requests a second, of late; and over a longer time.
  double arrival_rate = 0;
  double steady_rate = 0;
  // Requests that run now on all engines.
  std::int64_t running = 0;
  // Work and requests a second as they will probably be soon.
  double future_work = 0;
  double future_rate = 0;
  // The same after the move that follows.
  double later_work = 0;
  double later_rate = 0;
  // All who ask for it can wait for a load from a copy at hand.
  bool deferrable = false;
  // Replicas that are wanted for other reasons, such as places for adapters.
  std::int64_t min_replicas = 1;
};

// One engine. Models are positions in the list of models.
struct plan_engine {
  std::string zone;
  // It takes requests: what it holds counts as replicas.
  bool serving = true;
  // It may be given an order now.
  bool accepts_orders = true;
  std::int64_t free_mb = 0;
  std::vector<std::size_t> loaded;
  // Of those, the ones that came so lately that they stay.
  std::vector<std::size_t> recently_loaded;
  // Being loaded now; counts as a replica that is on its way.
  std::vector<std::size_t> loading;
  // ... from the weight store.
  bool loads_from_store = false;
  std::vector<std::size_t> in_memory;
  std::vector<std::size_t> on_disk;
  // Requests that run there now, of whatever model.
  std::int64_t running = 0;
};

struct plan_limits {
  // Requests that one engine runs together.
  std::int64_t slots = 1;
  // Loads from the weight store that may start now.
  std::int64_t store_loads = 0;
  // Nobody asks for anything yet: engines may be kept busy.
  bool no_demand = false;
};

// One order that should be given now.
struct plan_step {
  std::size_t engine = 0;
  bool load = true;
  std::size_t model = 0;
  // Loads: where the weights come from.
  weight_source source = weight_source::kStore;
  // Unloads: the model that room is made for.
  std::size_t successor = 0;
};

// What a plan has taken.
struct plan_stats {
  // Engines that were looked at as a place for a replica, over all steps.
  std::int64_t scanned_engines = 0;
};

// Replicas that a model's demand asks for now; fractions of one are told.
double RequiredReplicas(const plan_model& model, const plan_limits& limits);

// What `replicas` of a model are worth: requests a second that they serve on
// time, those expected soon and the loss of an engine weighed in. `at_hand`:
// engines have copies of the weights.
double ReplicaValue(const plan_model& model,
                    const plan_limits& limits,
                    std::int64_t replicas,
                    bool has_copy);

// The next orders, at most one for each engine. The load that adds most worth
// goes first, and a replica gives way where what comes adds clearly more than
// what goes takes away. A model without a copy on any other engine keeps its
// last replica. While nobody asks for anything, loads from the weight store
// that are left bring copies of models to the disks of engines.
std::vector<plan_step> PlanModels(const std::vector<plan_model>& models,
                                  const std::vector<plan_engine>& engines,
                                  const plan_limits& limits,
                                  plan_stats* stats = nullptr);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_MODEL_PLAN_H_
