// SPDX-License-Identifier: MIT
// Shares between hosts how much later than expected each engine responds.
//
// Each host reports its observations of an engine to the owner of the engine's
// estimate, the first healthy host selected for the instance. The owner
// publishes the estimate to all hosts when it has changed. Without an owner, or
// without its publications, a host continues with the last estimate and its own
// observations.
#ifndef VALELEDGE_HOST_PROCESS_ENGINE_ESTIMATE_SERVICE_H_
#define VALELEDGE_HOST_PROCESS_ENGINE_ESTIMATE_SERVICE_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "decisions/engine_estimate.h"
#include "decisions/engine_estimate_update.h"
#include "decisions/token_bucket.h"
#include "host/process/host_core.h"
#include "wire/generated/messages_types.h"

namespace valeledge::host {

// Keys of the records with observations and with estimates.
inline constexpr std::string_view kObservationsRecord = "engine_observations";
inline constexpr std::string_view kEstimatesRecord = "engine_estimates";

// Dependencies on other components; called on the host's thread.
struct engine_estimate_callbacks {
  // The host that owns the estimate of an instance, if there is one.
  std::function<std::optional<base::endpoint>(const std::string& instance)>
      owner;
  // Sends observations to an owner.
  std::function<void(const base::endpoint& to,
                     const wire::engine_observations& update)>
      send;
  // Sends estimates to all other hosts.
  std::function<void(const wire::engine_estimates& update)> broadcast;
  // Sends estimates to all other hosts of this availability zone.
  std::function<void(const wire::engine_estimates& update)> broadcast_in_zone;
};

class engine_estimate_service {
 public:
  // `core` must outlive this object. The constructor installs the service in
  // the core.
  engine_estimate_service(host_core& core, engine_estimate_callbacks callbacks);

  // Records the outcome of an attempt of this host.
  void Observe(known_server& server,
               const decisions::engine_observation& observation,
               base::time_point now);
  // Handles observations that another host has sent to this one as the owner.
  void HandleObservations(const wire::engine_observations& update,
                          base::time_point now);
  // Applies estimates that their owner has published, and forwards them if
  // requested.
  void HandleEstimates(wire::engine_estimates update, base::time_point now);

  // Reports observations and publishes estimates; must be called several times
  // a second.
  void Tick(base::time_point now);

 private:
  // Whether estimates are shared for the server's service.
  bool IsShared(const known_server& server) const;
  bool IsOwner(const known_server& server) const;
  void Count(std::string_view what);
  void CountInvalid(const known_server& server);
  // Sets the factor that is assumed for engines without observations.
  void UpdatePriors(base::time_point now);
  void Report(base::time_point now);
  // Reports the observations of servers to their owner. Returns false if the
  // budget does not allow all of them.
  bool SendReport(const base::endpoint& owner,
                  const std::vector<known_server*>& servers);
  void Publish(base::time_point now);
  void PublishSome(const std::vector<known_server*>& servers,
                   decisions::publication_need need,
                   base::time_point now);
  // Whether the budget allows a publication of this size; charges it if so.
  bool TryCharge(std::size_t bytes,
                 decisions::publication_need need,
                 base::time_point now);
  void LogSpeedChange(known_server& server, base::time_point now);

  host_core& core_;
  engine_estimate_callbacks callbacks_;
  // Bytes that publications may take, including those of forwarding hosts.
  decisions::token_bucket budget_;
  // Bytes that reports may take, and the owner that received the last one.
  decisions::token_bucket report_budget_;
  base::endpoint last_reported_to_;
  bool has_logged_invalid_ = false;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_ENGINE_ESTIMATE_SERVICE_H_
