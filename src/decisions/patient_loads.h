// SPDX-License-Identifier: MIT
// Plans in which order models are loaded for requests that wait for them, and
// on which engines, by the time that is left to the requests. Handles sites
// where more models are in demand than fit in the memory of the engines. It
// complements the model plan, which places models by their rates and knows
// nothing of single requests; its orders go first.
#ifndef VALELEDGE_DECISIONS_PATIENT_LOADS_H_
#define VALELEDGE_DECISIONS_PATIENT_LOADS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "decisions/model_plan.h"

namespace valeledge::decisions {

// Requests that wait for one model.
struct waiting_model {
  std::size_t model = 0;
  std::int64_t requests = 0;
  // Time until the first of them can no longer be on time.
  std::chrono::milliseconds time_left{0};
};

struct patient_limits {
  // Requests that one engine runs concurrently.
  std::int64_t slots = 1;
  // Loads from the weight store that may start now. If there are none, the time
  // until the next one may start; further ones follow at the given rate. A rate
  // of 0: the weight store is not available.
  std::int64_t store_loads = 0;
  std::chrono::milliseconds next_store_load{0};
  double store_loads_per_second = 0;
};

// All parts must outlive the call.
struct patient_plan_input {
  // What the model plan knows, including the orders that it has just given.
  // Models count as recently loaded for kMinTurn.
  const std::vector<plan_model>& models;
  const std::vector<plan_engine>& engines;
  // Time until each engine accepts an order; 0 for those that accept one now.
  std::vector<std::chrono::milliseconds> idle_in;
  // The objectives of all requests for the model allow for a load from the
  // weight store.
  std::vector<bool> patient_only;
  std::vector<waiting_model> waiting;
  patient_limits limits;
};

// A load that is planned for requests that wait.
struct expected_load {
  std::size_t model = 0;
  std::size_t engine = 0;
  weight_source source = weight_source::kStore;
  // Time until the model accepts requests.
  std::chrono::milliseconds ready_in{0};
  // The request with the shortest time left will be on time.
  bool in_time = false;
};

struct patient_plan {
  // Orders to be sent now, at most one for each engine.
  std::vector<plan_step> steps;
  // The loads of these orders and those that follow as engines and the weight
  // store allow, at most one for each waiting model. A model for which no place
  // becomes free is left out.
  std::vector<expected_load> loads;
};

// Maximum share of engines that load at the same time, so that the others
// accept orders for urgent demand. At 20 loads per second of about 3.5 s each,
// half of 140 engines are enough to use up the limit of the weight store.
inline constexpr double kMaxLoadingShare = 0.5;

// Minimum time for which a replica is kept after its load even if unused:
// within it hosts learn of the load, send their waiting requests and report
// them. A much longer time would reject more requests where twice as many
// models are in demand as fit.
inline constexpr std::chrono::milliseconds kMinTurn{1000};

// Time to evict a replica: its withdrawal is announced, the order is sent, and
// its end is seen at one of the next plans.
inline constexpr std::chrono::milliseconds kEvictionTime{600};

// Time from the plan until an engine begins to load, and from the end of the
// load until hosts know of it.
inline constexpr std::chrono::milliseconds kLoadOverhead{200};

// Plans loads for the waiting models that no engine has loaded or is loading.
// Loads are ordered by the time left or, if more requests are on time that way,
// by the number of requests that wait. A replica is evicted only if its model
// has no waiting requests and either no demand, or only patient demand, or more
// replicas than it needs.
patient_plan PlanPatientLoads(const patient_plan_input& input);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_PATIENT_LOADS_H_
