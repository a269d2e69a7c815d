// SPDX-License-Identifier: MIT
// Which engines should load or give up which models next, where each engine
// carries out one order at a time and keeps copies of weights it held before.
#ifndef VALELEDGE_DECISIONS_MODEL_PLAN_H_
#define VALELEDGE_DECISIONS_MODEL_PLAN_H_

#include <chrono>
#include <cstdint>
#include <optional>
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
  // Requests a second.
  double arrival_rate = 0;
  // Requests that run now on all engines.
  std::int64_t running = 0;
  // The same work as it will probably be soon.
  double future_work = 0;
  // Replicas that are wanted for other reasons: now, and soon.
  std::int64_t least_replicas = 1;
  std::int64_t least_replicas_soon = 1;
};

// One engine. Models are positions in the list of models.
struct plan_engine {
  std::string zone;
  // It takes requests: what it holds counts as replicas.
  bool serving = true;
  // It may be given an order now.
  bool free = true;
  std::int64_t free_mb = 0;
  std::vector<std::size_t> held;
  // Being loaded now; counts as a replica that is on its way.
  std::vector<std::size_t> loading;
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
};

// One order that should be given now.
struct plan_step {
  std::size_t engine = 0;
  bool load = true;
  std::size_t model = 0;
  weight_source source = weight_source::kStore;
};

// Replicas that a model's demand asks for now, at least one; and those that it
// will probably ask for soon, at least as many.
std::int64_t WantedNow(const plan_model& model, const plan_limits& limits);
std::int64_t WantedSoon(const plan_model& model, const plan_limits& limits);

// The next orders, at most one for each engine. Models without any replica go
// first; then those whose replicas have most to do now; then those that will
// have soon; then second replicas where there is room. Replicas that demand
// does not need give way, but never the last one of a model.
std::vector<plan_step> PlanModels(const std::vector<plan_model>& models,
                                  const std::vector<plan_engine>& engines,
                                  const plan_limits& limits);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_MODEL_PLAN_H_
