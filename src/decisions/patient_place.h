// SPDX-License-Identifier: MIT
// Choice of a place for one model in a plan of loads for waiting requests: an
// engine, the replicas that are evicted there, and when the load starts and
// ends.
#ifndef VALELEDGE_DECISIONS_PATIENT_PLACE_H_
#define VALELEDGE_DECISIONS_PATIENT_PLACE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <vector>

#include "decisions/patient_context.h"

namespace valeledge::decisions::detail {

// Start times of loads, the earliest first.
using load_starts = std::priority_queue<std::chrono::milliseconds,
                                        std::vector<std::chrono::milliseconds>,
                                        std::greater<>>;

// One attempt at an order of loads.
struct patient_schedule {
  std::vector<patient_engine> engines;
  // As in the context, less what has been evicted.
  std::vector<std::int64_t> ready;
  std::vector<std::int64_t> weight_copies;
  // When each of the loads that may run at the same time can start.
  load_starts starts;
  std::int64_t store_loads = 0;
  patient_plan plan;
  std::int64_t requests_in_time = 0;
};

// Replicas to evict so that a model fits.
struct patient_eviction {
  std::vector<std::size_t> models;
  double loss = 0;
  // When all of them may be evicted.
  std::chrono::milliseconds at{0};
};

// A place for a model.
struct patient_place {
  std::size_t engine = 0;
  patient_eviction evictions;
  weight_source source = weight_source::kStore;
  // When the first order for it is sent, when the load starts, and when the
  // model accepts requests.
  std::chrono::milliseconds begin_at{0};
  std::chrono::milliseconds load_at{0};
  std::chrono::milliseconds ready_at{0};
  bool in_time = false;
  double cost = 0;
};

// Returns the best place among the engines with a weight copy of the model and
// the first ones in the order of the context; nothing if none can take it.
std::optional<patient_place> FindPlace(const patient_context& context,
                                       const patient_schedule& state,
                                       const waiting_model& wanted);

}  // namespace valeledge::decisions::detail

#endif  // VALELEDGE_DECISIONS_PATIENT_PLACE_H_
