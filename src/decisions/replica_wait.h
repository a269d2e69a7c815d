// SPDX-License-Identifier: MIT
// Decides what happens to a request whose model is loaded on no engine: whether
// it waits for a replica, and otherwise after which delay the caller should
// retry. Handles sites where more models are in demand than fit in memory.
#ifndef VALELEDGE_DECISIONS_REPLICA_WAIT_H_
#define VALELEDGE_DECISIONS_REPLICA_WAIT_H_

#include <chrono>
#include <optional>

namespace valeledge::decisions {

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
};

// Returns whether the request should wait: only while a replica that is being
// loaded, or one that may still be ordered, can respond within the objective.
bool ShouldWaitForReplica(const unavailable_model& model);

// Returns the expected time until a replica is ready, from which the
// retry-after delay of a refused caller is derived; nothing if no replica is
// expected.
std::optional<std::chrono::milliseconds> TimeToReplica(
    const unavailable_model& model);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_REPLICA_WAIT_H_
