// SPDX-License-Identifier: MIT
#include "decisions/replica_wait.h"

namespace valeledge::decisions {

namespace {

using std::chrono::milliseconds;

// From a load's end to the first event: the news travels, and the prompt is
// read beside those of others that waited.
constexpr milliseconds kFirstEventDelay{300};

// Demand is told every 250 ms, planned for every 100 ms, and what gives way is
// withdrawn first: a load that is not ordered by then is not wanted enough.
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
