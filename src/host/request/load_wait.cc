// SPDX-License-Identifier: MIT
#include "host/request/load_wait.h"

#include <algorithm>

#include "host/constants.h"
#include "host/load_features.h"

namespace valeledge::host {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// The lease holder announces itself to all hosts every second. One that has not
// been heard of for this long has missed two of them.
constexpr milliseconds kHolderSilence{3000};

// A request whose model is expected after kFarLoad at the earliest selects less
// often: each selection looks at all servers, and there are thousands.
constexpr milliseconds kFarLoad{700};
constexpr milliseconds kFarRecheckInterval{50};

// How long after its retry-after delay a caller is expected back.
constexpr milliseconds kReturnTolerance{1000};

// Whether the request can wait for a load. Looks for weight copies only if that
// makes a difference.
bool CanWaitForLoad(const host_core& core,
                    const routed_request& routed,
                    const server_query& query,
                    const catalog::model& model) {
  const milliseconds objective = routed.route->objective;
  if (decisions::IsPatient(objective, std::nullopt, model.load_from_store))
    return true;
  const milliseconds fastest =
      std::min(model.load_from_disk, model.load_from_memory);
  return decisions::IsPatient(objective, fastest, model.load_from_store) &&
         decisions::IsPatient(
             objective, core.servers.FastestLocalLoad(query, *routed.service),
             model.load_from_store);
}

}  // namespace

load_wait::load_wait(host_core& core,
                     const routed_request& routed,
                     const server_query& query)
    : core_(core), routed_(routed) {
  // Models are not loaded for streams that are resumed.
  if (routed.origin || query.model.empty() ||
      !IsEnabled(core.settings.features.patient_loads, *routed.service))
    return;
  const catalog::model* model = routed.service->engines.Find(query.model);
  if (model == nullptr)
    return;
  store_load_time_ = model->load_from_store;
  is_patient_ = CanWaitForLoad(core, routed, query, *model);
}

load_wait::~load_wait() {
  if (entry_)
    routed_.demand->waiting.erase(*entry_);
}

void load_wait::AddPlan(const server_query& query,
                        base::time_point now,
                        decisions::unavailable_model& model) {
  if (!is_patient_)
    return;
  decisions::patient_plan_view plan;
  plan.store_load_time = store_load_time_;
  if (const auto due = core_.servers.EarliestPlannedLoad(query, now)) {
    plan.planned_ready_in =
        std::max(duration_cast<milliseconds>(*due - now), milliseconds(0));
  }
  if (plan.planned_ready_in || model.ready_in)
    load_known_at_ = now;
  if (now - core_.holder.heard_at <= kHolderSilence) {
    const auto since =
        std::max({routed_.arrived, load_known_at_, core_.holder.orders_from});
    plan.plannable_for =
        std::max(duration_cast<milliseconds>(now - since), milliseconds(0));
  }
  model.plan = plan;
}

milliseconds load_wait::RecheckInterval(
    const decisions::unavailable_model& model) const {
  const auto expected = decisions::TimeToReplica(model);
  return is_patient_ && expected && *expected > kFarLoad
             ? kFarRecheckInterval
             : kSelectionRetryInterval;
}

void load_wait::Begin() {
  if (!is_patient_ || entry_)
    return;
  auto& waiting = routed_.demand->waiting;
  waiting.push_back(
      {routed_.weight.prompt_tokens, DueOf(routed_), std::nullopt});
  entry_ = std::prev(waiting.end());
  core_.metrics.Counter("valeledge_patient_waits_total", "begun").Add();
}

void load_wait::ExpectReturn(milliseconds retry_after) {
  if (!is_patient_)
    return;
  const auto back = std::chrono::steady_clock::now() + retry_after;
  routed_.demand->waiting.push_back({routed_.weight.prompt_tokens,
                                     back + routed_.route->objective,
                                     back + kReturnTolerance});
  core_.metrics.Counter("valeledge_patient_waits_total", "rejected").Add();
}

}  // namespace valeledge::host
