// SPDX-License-Identifier: MIT
#include "decisions/replica_wait.h"

namespace valeledge::decisions {

namespace {

using std::chrono::milliseconds;

// Time from the end of a load to the first event: the state update reaches the
// hosts, and the prompt is read together with those of other waiting requests.
constexpr milliseconds kFirstEventDelay{300};

// Demand is reported every 250 ms, a plan is made every 100 ms, and an evicted
// replica is withdrawn before the load starts. A load that has not been ordered
// within this time has too little demand to be planned.
constexpr milliseconds kMaxOrderDelay{900};

}  // namespace

bool ShouldWaitForReplica(const unavailable_model& model) {
  if (model.ready_in)
    return model.waited + *model.ready_in + kFirstEventDelay <= model.objective;
  return model.local_load_time && model.waited <= kMaxOrderDelay &&
         kMaxOrderDelay + *model.local_load_time + kFirstEventDelay <=
             model.objective;
}

std::optional<milliseconds> TimeToReplica(const unavailable_model& model) {
  if (model.ready_in)
    return *model.ready_in + kFirstEventDelay;
  if (model.local_load_time)
    return kMaxOrderDelay + *model.local_load_time;
  return std::nullopt;
}

}  // namespace valeledge::decisions
