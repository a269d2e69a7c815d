// SPDX-License-Identifier: MIT
// What callers of all hosts ask of models, now and probably soon, as the holder
// of the lease plans for it.
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
#include "decisions/demand_shift.h"
#include "decisions/model_plan.h"
#include "host/process/demand_tracker.h"
#include "host/process/server_registry.h"
#include "wire/generated/messages_types.h"

namespace valeledge::host {

class demand_forecast {
 public:
  // `own`: what this host's callers ask for.
  explicit demand_forecast(const demand_tracker& own) : own_(own) {}

  // Takes in what another host's callers ask for, instead of what it said
  // before.
  void Update(const std::string& host,
              const std::vector<wire::model_load>& models);
  void Forget(const std::string& host);

  // An engine holds this model when it is first known: until demand is seen,
  // the replicas of all engines tell which models are busy.
  void AddInitialReplica(const std::string& model) {
    ++initial_replicas_[model];
  }
  void ForgetInitialReplicas() { initial_replicas_.clear(); }

  // The models of a service in the order of its list, as a plan sees them. Each
  // call takes the demand of the moment into what is remembered.
  std::vector<decisions::plan_model> Models(const catalog::service& service);

  // Whether nobody has asked for any model since this host began.
  bool HasNoDemandYet() const { return !demand_seen_at_; }

 private:
  // What all hosts are asked for, by model.
  using demand_table = std::map<unit_key, wire::model_load>;

  demand_table SumDemand() const;
  // Takes the demand of all hosts into what is remembered for longer.
  void AccumulateDemand(const demand_table& sums);
  void RecordFirstDemand(const demand_table& sums);
  decisions::plan_model ModelOf(const catalog::model& model,
                                const wire::model_load& demand) const;
  // Whether all who ask for a model can wait for a load from a copy.
  bool ToleratesDiskLoad(const catalog::model& model) const;
  double InitialReplicaWeight() const;
  std::int64_t InitialReplicas(const std::string& model) const;
  void RaiseByInitialReplicas(const catalog::service& service,
                              const decisions::demand_shift& shift,
                              double initial_weight,
                              std::vector<decisions::plan_model>& models) const;

  const demand_tracker& own_;
  std::map<std::string, std::vector<wire::model_load>> demand_;
  // The rate at which each model is asked for, smoothed over a longer time.
  std::map<unit_key, double> steady_rates_;
  base::time_point steady_at_;
  // The shortest objective with which each model was ever asked for.
  std::map<unit_key, std::chrono::milliseconds> objectives_;
  // How the demand for each service's models moves along its list.
  std::map<std::string, decisions::demand_shift> shifts_;
  std::map<std::string, std::int64_t> initial_replicas_;
  // When callers first asked for any model since this host began.
  std::optional<base::time_point> demand_seen_at_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_DEMAND_FORECAST_H_
