// SPDX-License-Identifier: MIT
// Has models loaded for requests that wait for them, while this host holds the
// lease, and publishes when planned loads will end.
#ifndef VALELEDGE_HOST_PROCESS_PATIENT_PLACEMENT_H_
#define VALELEDGE_HOST_PROCESS_PATIENT_PLACEMENT_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "decisions/patient_loads.h"
#include "host/process/demand_forecast.h"
#include "host/process/host_core.h"
#include "host/process/order_dispatcher.h"
#include "host/process/plan_view.h"

namespace valeledge::host {

// Whether the lease holder loads models of a service for requests that wait.
bool PlansPatientLoads(const host_core& core, const catalog::service& service);

// Replaces what is known of the loads of a server by a published state. Planned
// loads whose time cannot be valid are left out and counted.
void ApplyComingLoads(const wire::placed_engine& engine,
                      base::time_point now,
                      host_core& core,
                      known_server& server);

// One service's part of a planning run. All references must outlive it.
struct service_plan {
  const catalog::service& service;
  const model_index& index;
  const std::vector<decisions::plan_model>& models;
  const std::vector<std::shared_ptr<engine_record>>& records;
  base::time_point now;
};

class patient_placement {
 public:
  // All arguments must outlive the object.
  patient_placement(host_core& core,
                    order_dispatcher& dispatcher,
                    const demand_forecast& forecast)
      : core_(core), dispatcher_(dispatcher), forecast_(forecast) {}

  // Forgets all plans; to be called at the start of a term.
  void BeginTerm();

  // Whether the load that an engine has planned is for patient requests.
  bool HasOrdered(const engine_record& engine) const;

  // Prepares the input of the model plan: replicas that requests wait for stay
  // for a limited time, and loads for patient requests do not count against the
  // model plan's share of loads from the weight store.
  void AdjustViews(const service_plan& plan,
                   std::vector<decisions::plan_engine>& views);

  // Sends orders for waiting requests. `steps` are the orders that the model
  // plan has just given for these views.
  void Plan(const service_plan& plan,
            const std::vector<decisions::plan_step>& steps,
            std::vector<decisions::plan_engine> views);

  // Whether planned loads should be published now because they have changed.
  bool HasUpdates(base::time_point now) const;
  // Whether those of one engine have changed since the last call for it.
  bool TakeChanged(const std::string& instance);
  // Adds the planned loads of an engine to its published state.
  void AddPlanned(const engine_record& engine,
                  base::time_point now,
                  wire::placed_engine& placed) const;
  // Records that updates have been published.
  void NotePublished(base::time_point now) { published_at_ = now; }

 private:
  // Planned loads of one engine with the times at which they should end.
  using planned_loads = std::map<unit_key, base::time_point>;

  // Waiting models of one service, and those whose loads are planned.
  struct model_counts {
    std::int64_t waiting = 0;
    std::int64_t in_time = 0;
    std::int64_t late = 0;
  };

  decisions::patient_limits LimitsOf(const service_plan& plan);
  void Send(const service_plan& plan,
            const decisions::patient_plan& decided,
            const std::vector<decisions::waiting_model>& waiting);
  void Record(const service_plan& plan, const decisions::patient_plan& decided);
  void Count(const service_plan& plan,
             const decisions::patient_plan& decided,
             const std::vector<decisions::waiting_model>& waiting);
  // Sets the gauges to the sums over all services.
  void SetGauges();
  // Removes the plans for engines of a service.
  void Drop(const service_plan& plan);

  host_core& core_;
  order_dispatcher& dispatcher_;
  const demand_forecast& forecast_;
  // By instance: the current plan, and what has been published last.
  std::map<std::string, planned_loads> planned_;
  std::map<std::string, planned_loads> published_;
  base::time_point published_at_;
  // Instances with the models that they load for patient requests.
  std::map<std::string, std::string> patient_orders_;
  // By service.
  std::map<std::string, model_counts> counts_;
  base::time_point logged_at_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_PATIENT_PLACEMENT_H_
