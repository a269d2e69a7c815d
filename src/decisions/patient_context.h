// SPDX-License-Identifier: MIT
// What a plan of loads for waiting requests knows before it places any model:
// the engines with their replicas, the weight copies, and how many replicas of
// each model have to stay.
#ifndef VALELEDGE_DECISIONS_PATIENT_CONTEXT_H_
#define VALELEDGE_DECISIONS_PATIENT_CONTEXT_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "decisions/engine_choice.h"
#include "decisions/patient_loads.h"

namespace valeledge::decisions::detail {

// A replica on an engine, and when it may be evicted if its model allows that.
struct patient_replica {
  std::size_t model = 0;
  std::chrono::milliseconds evictable_at{0};
  // Loaded by an earlier step of this schedule.
  bool had_turn = false;
};

// An engine during the schedule.
struct patient_engine {
  std::chrono::milliseconds idle_at{0};
  std::int64_t free_mb = 0;
  std::vector<patient_replica> replicas;
  // Models that it is loading now.
  std::vector<std::size_t> loading;
  std::int64_t running = 0;

  bool Has(std::size_t model) const {
    return Contains(loading, model) ||
           std::ranges::find(replicas, model, &patient_replica::model) !=
               replicas.end();
  }
};

// What does not change during a schedule.
struct patient_context {
  const patient_plan_input& input;
  // Replicas of each model that must stay.
  std::vector<std::int64_t> needed;
  // Engines that have the weights of each model loaded, in memory or on disk.
  std::vector<std::int64_t> weight_copies;
  std::vector<std::int64_t> ready;
  // Loss by the eviction of one replica.
  std::vector<double> losses;
  // Engines in the order in which they are evaluated, and those with a weight
  // copy of each model.
  std::vector<std::size_t> order;
  std::vector<std::vector<std::size_t>> with_copy;
  std::vector<patient_engine> engines;
};

// `input` must outlive the context.
patient_context MakeContext(const patient_plan_input& input);

// Returns the waiting models that no engine has loaded or is loading.
std::vector<waiting_model> AbsentModels(const patient_context& context);

// Engines that accept orders now come first, those with room before those
// whose replicas have to be evicted.
void SortEngines(patient_context& context,
                 const std::vector<waiting_model>& waiting);

}  // namespace valeledge::decisions::detail

#endif  // VALELEDGE_DECISIONS_PATIENT_CONTEXT_H_
