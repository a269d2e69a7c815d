// SPDX-License-Identifier: MIT
// Decides what happens to a request whose model is loaded on no engine: whether
// it waits for a replica, and otherwise after which delay the caller should
// retry. Handles sites where more models are in demand than fit in memory.
#ifndef VALELEDGE_DECISIONS_REPLICA_WAIT_H_
#define VALELEDGE_DECISIONS_REPLICA_WAIT_H_

#include <chrono>
#include <optional>

namespace valeledge::decisions {

// Time from the end of a load to the first event: the state update reaches the
// hosts, and the prompt is read together with those of other waiting requests.
inline constexpr std::chrono::milliseconds kFirstEventDelay{300};

// Demand is reported every 250 ms, a plan is made every 100 ms, and an evicted
// replica is withdrawn before the load starts. A load that has not been ordered
// within this time has too little demand to be planned.
inline constexpr std::chrono::milliseconds kMaxOrderDelay{900};

// Time for which a patient request waits for a published load beyond the time
// that an order takes: engines that are busy accept the next order within about
// a second if they are loading from disk or unloading.
inline constexpr std::chrono::milliseconds kMaxPublicationDelay{1000};

// What a patient request knows of the lease holder's plans for its model.
struct patient_plan_view {
  // Time of a load from the weight store.
  std::chrono::milliseconds store_load_time{0};
  // Time until a planned load will be ready; unset if none is known.
  std::optional<std::chrono::milliseconds> planned_ready_in;
  // Time for which the lease holder has been able to plan a load for this
  // request; unset if there is no lease holder.
  std::optional<std::chrono::milliseconds> plannable_for;
};

// A model without a replica that accepts requests.
struct unavailable_model {
  // Time since the request arrived, and the time limit from its arrival to the
  // start of the response.
  std::chrono::milliseconds waited{0};
  std::chrono::milliseconds objective{0};
  // Time until a replica that is being loaded is ready; unset if there is none.
  std::optional<std::chrono::milliseconds> ready_in;
  // Time of the fastest load from a weight copy on an engine; unset if no
  // engine has one.
  std::optional<std::chrono::milliseconds> local_load_time;
  // Set if loads are planned for patient requests and this is one.
  std::optional<patient_plan_view> plan;
};

// Whether a request with this objective can wait for a load that has not been
// ordered yet and still be on time. `local_load_time` as above.
bool IsPatient(std::chrono::milliseconds objective,
               std::optional<std::chrono::milliseconds> local_load_time,
               std::chrono::milliseconds store_load_time);

// Returns whether the request should wait: only while a replica that is being
// loaded, or one that may still be ordered, can respond within the objective.
// A patient request also waits for a planned load that will be ready in time.
// If no load is published, it waits for one for a limited time; if there is no
// lease holder, as long as a load can still be in time.
bool ShouldWaitForReplica(const unavailable_model& model);

// Returns the expected time until a replica is ready, from which the
// retry-after delay of a refused caller is derived; nothing if no replica is
// expected.
std::optional<std::chrono::milliseconds> TimeToReplica(
    const unavailable_model& model);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_REPLICA_WAIT_H_
