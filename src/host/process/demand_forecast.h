// SPDX-License-Identifier: MIT
// Demand for models by the callers of all hosts: what they ask for now, as
// input of the lease holder's plans.
#ifndef VALELEDGE_HOST_PROCESS_DEMAND_FORECAST_H_
#define VALELEDGE_HOST_PROCESS_DEMAND_FORECAST_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/duration.h"
#include "catalog/configuration.h"
#include "decisions/model_plan.h"
#include "decisions/patient_loads.h"
#include "host/process/demand_tracker.h"
#include "host/process/server_registry.h"
#include "wire/generated/messages_types.h"

namespace valeledge::host {

class demand_forecast {
 public:
  // `own` is the demand of this host's callers; it must outlive the forecast.
  explicit demand_forecast(const demand_tracker& own) : own_(own) {}

  // Replaces the demand reported by another host.
  void Update(const std::string& host,
              const std::vector<wire::model_load>& models);
  void Forget(const std::string& host);

  // Requests of all hosts that wait for models of a service, at most one entry
  // for each model. Those of hosts that have not reported for a second are left
  // out.
  std::vector<decisions::waiting_model> Waiting(const catalog::service& service,
                                                base::time_point now) const;

  // Whether the objectives of all requests so far for a model allow for a load
  // from the weight store; false if none is known.
  bool ToleratesStoreLoad(const catalog::model& model) const;

  // Planner input for the models of a service; the positions are those of the
  // configured list. Each call also adds the current demand to the long-term
  // averages.
  std::vector<decisions::plan_model> Models(const catalog::service& service);

  // Whether no model has been requested since this host started.
  bool HasNoDemandYet() const { return !has_seen_demand_; }

 private:
  // Demand of all hosts, by model.
  using demand_table = std::map<unit_key, wire::model_load>;

  struct reported_demand {
    std::vector<wire::model_load> models;
    base::time_point received_at;
  };

  demand_table SumDemand() const;
  // Updates the smoothed rates and the shortest objectives.
  void AccumulateDemand(const demand_table& sums);
  void RecordFirstDemand(const demand_table& sums);
  decisions::plan_model ModelOf(const catalog::model& model,
                                const wire::model_load& demand) const;
  // Whether the objectives of all requests for a model allow for a load from a
  // weight copy.
  bool ToleratesDiskLoad(const catalog::model& model) const;

  const demand_tracker& own_;
  std::map<std::string, reported_demand> demand_;
  // Arrival rate of each model, smoothed over kSteadyWindow.
  std::map<unit_key, double> steady_rates_;
  base::time_point steady_at_;
  // Shortest objective of all requests for each model so far.
  std::map<unit_key, std::chrono::milliseconds> objectives_;
  // Whether any model has been requested since this host started.
  bool has_seen_demand_ = false;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_DEMAND_FORECAST_H_
