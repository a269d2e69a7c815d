// SPDX-License-Identifier: MIT
#include "decisions/replica_wait.h"

#include <algorithm>

namespace valeledge::decisions {

namespace {

using std::chrono::milliseconds;

// Returns the time until the first replica is ready, of those being loaded or,
// for a patient request, planned.
std::optional<milliseconds> ExpectedIn(const unavailable_model& model) {
  const bool planned = model.plan && model.plan->planned_ready_in;
  if (!planned)
    return model.ready_in;
  const milliseconds planned_in = *model.plan->planned_ready_in;
  return model.ready_in ? std::min(*model.ready_in, planned_in) : planned_in;
}

milliseconds FastestLoad(std::optional<milliseconds> local,
                         milliseconds from_store) {
  return local ? std::min(*local, from_store) : from_store;
}

// Whether a patient request waits for a load that has not been published.
bool WaitsForPlan(const unavailable_model& model) {
  const milliseconds load =
      FastestLoad(model.local_load_time, model.plan->store_load_time);
  if (model.waited + load + kFirstEventDelay > model.objective)
    return false;
  const auto& plannable_for = model.plan->plannable_for;
  return !plannable_for ||
         *plannable_for <= kMaxOrderDelay + kMaxPublicationDelay;
}

}  // namespace

bool IsPatient(milliseconds objective,
               std::optional<milliseconds> local_load_time,
               milliseconds store_load_time) {
  return kMaxOrderDelay + FastestLoad(local_load_time, store_load_time) +
             kFirstEventDelay <=
         objective;
}

bool ShouldWaitForReplica(const unavailable_model& model) {
  if (const auto expected_in = ExpectedIn(model))
    return model.waited + *expected_in + kFirstEventDelay <= model.objective;
  if (model.plan)
    return WaitsForPlan(model);
  return model.local_load_time && model.waited <= kMaxOrderDelay &&
         kMaxOrderDelay + *model.local_load_time + kFirstEventDelay <=
             model.objective;
}

std::optional<milliseconds> TimeToReplica(const unavailable_model& model) {
  if (const auto expected_in = ExpectedIn(model))
    return *expected_in + kFirstEventDelay;
  if (model.local_load_time)
    return kMaxOrderDelay + *model.local_load_time;
  if (model.plan)
    return kMaxOrderDelay + model.plan->store_load_time;
  return std::nullopt;
}

}  // namespace valeledge::decisions
