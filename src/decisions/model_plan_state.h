// SPDX-License-Identifier: MIT
// The working state of one model plan: the engines and replicas as the steps so
// far leave them, and the replicas that have to be evicted for a step.
#ifndef VALELEDGE_DECISIONS_MODEL_PLAN_STATE_H_
#define VALELEDGE_DECISIONS_MODEL_PLAN_STATE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "decisions/model_plan.h"

namespace valeledge::decisions::detail {

// Maximum number of candidates for one replica, separately for engines with a
// weight copy and for all engines. The number of steps of a plan grows with the
// number of engines; without a bound so would the work of each step.
inline constexpr std::size_t kMaxScanned = 256;
// The same including engines that hold the model already or are busy.
inline constexpr std::size_t kMaxVisited = 4 * kMaxScanned;

// Engines numbered by a property, and the replicas of each model by these
// numbers, including those being loaded.
struct replica_counts {
  std::vector<std::size_t> groups;
  std::vector<std::vector<std::int64_t>> replicas;
  std::size_t group_count = 0;

  std::int64_t& At(std::size_t model, std::size_t engine) {
    return replicas[model][groups[engine]];
  }
  std::int64_t At(std::size_t model, std::size_t engine) const {
    return replicas[model][groups[engine]];
  }
};

// The working state of one plan.
struct plan_state {
  const std::vector<plan_model>& models;
  std::vector<plan_engine> engines;
  plan_limits limits;
  // Engines with weights of other models that may still start to load from the
  // weight store.
  std::int64_t limited_store_loads = 0;
  // Replicas of each model that serve, and the same with those being loaded.
  std::vector<std::int64_t> ready;
  std::vector<std::int64_t> planned;
  // Engines that have the weights of each model loaded, in memory or on disk.
  std::vector<std::int64_t> weight_copies;
  replica_counts by_zone;
  replica_counts by_software;
  // Engines with a copy of each model's weights in memory or on disk; empty if
  // all engines are scanned.
  std::vector<std::vector<std::size_t>> engines_with_copy;
  // All engines that accept orders, least busy first.
  std::vector<std::size_t> least_busy;
  std::int64_t scanned_engines = 0;
  // Gain of one more replica and loss of one less for each model. Cached,
  // because computing them would dominate the planning time (860 engines, 290
  // models).
  std::vector<double> gains;
  std::vector<double> losses;
  std::vector<plan_step> steps;
};

// Models to evict so that another fits, and the loss this causes.
struct plan_eviction {
  std::vector<std::size_t> models;
  double loss = 0;
};

// An engine for a replica of a model, and the net gain of placing it there.
struct replica_position {
  std::size_t engine = 0;
  plan_eviction evictions;
  weight_source source = weight_source::kStore;
  double gain = 0;
};

// `models` must outlive the state.
plan_state MakePlanState(const std::vector<plan_model>& models,
                         const std::vector<plan_engine>& engines,
                         const plan_limits& limits);

// Returns whether an engine has no weights at all, such as a new one.
bool IsEmpty(const plan_engine& engine);

// Returns the cost of changing the replicas of a model at the engine's software
// version to `count` if that leaves a single one.
double LoneReplicaCost(const plan_state& state,
                       std::size_t model,
                       std::int64_t count);

// Returns the replicas to evict on an engine so that a model fits; nothing if
// it cannot fit.
std::optional<plan_eviction> FindEviction(const plan_state& state,
                                          std::size_t position,
                                          std::size_t model);

// Adds the next step for a replica of a model at its position to the plan: the
// load, or the first eviction that it needs.
void ApplyStep(plan_state& state,
               const replica_position& chosen,
               std::size_t model);

}  // namespace valeledge::decisions::detail

#endif  // VALELEDGE_DECISIONS_MODEL_PLAN_STATE_H_
