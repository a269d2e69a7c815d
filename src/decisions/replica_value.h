// SPDX-License-Identifier: MIT
// The number of replicas that a model needs, and the value of replicas by the
// requests that they serve in time.
#ifndef VALELEDGE_DECISIONS_REPLICA_VALUE_H_
#define VALELEDGE_DECISIONS_REPLICA_VALUE_H_

#include <cstdint>

#include "decisions/model_plan.h"

namespace valeledge::decisions {

namespace detail {

// Milliseconds per second for which an engine may read prompts of one model.
// Running streams pause meanwhile, and a few prompts in a row take as long as
// the pause that callers accept.
inline constexpr double kWorkPerReplica = 250;

// Minimum rate assumed for a model without requests, in requests per second: it
// stays loaded where nothing else needs the memory.
inline constexpr double kMinRate = 0.02;

}  // namespace detail

// Returns the number of replicas that the present demand requires; not rounded.
double RequiredReplicas(const plan_model& model, const plan_limits& limits);

// Returns the value of `replicas` of a model: the requests per second that they
// serve in time, including a term for the loss of an engine. `has_copy`: some
// engine has a copy of the weights.
double ReplicaValue(const plan_model& model,
                    const plan_limits& limits,
                    std::int64_t replicas,
                    bool has_copy);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_REPLICA_VALUE_H_
