// SPDX-License-Identifier: MIT
// What becomes of a request whose model no engine has now: whether a replica
// will be there in time, and otherwise when to come back. Answers the load that
// a model puts on a site where more models are asked for than fit.
#ifndef VALELEDGE_DECISIONS_REPLICA_WAIT_H_
#define VALELEDGE_DECISIONS_REPLICA_WAIT_H_

#include <chrono>
#include <optional>

namespace valeledge::decisions {

// What is known of a model without a replica that takes requests.
struct unavailable_model {
  // How long the request has waited, and when its answer should have begun.
  std::chrono::milliseconds waited{0};
  std::chrono::milliseconds objective{0};
  // A replica is on its way and there in so long.
  std::optional<std::chrono::milliseconds> ready_in;
  // The fastest load from a copy that an engine has, if any has one.
  std::optional<std::chrono::milliseconds> local_load_time;
};

// Whether to wait for a replica: only while one that is on its way, or that
// may still be ordered, answers within the objective.
bool ShouldWaitForReplica(const unavailable_model& model);

// When a replica is probably there, for a caller that is refused; nothing if
// there is no sign of one.
std::optional<std::chrono::milliseconds> TimeToReplica(
    const unavailable_model& model);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_REPLICA_WAIT_H_
