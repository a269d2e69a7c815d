// SPDX-License-Identifier: MIT
// Decides which models and adapters engines load, while this host holds the
// lease, and applies the lease holder's updates on every host.
#ifndef VALELEDGE_HOST_PROCESS_PLACEMENT_CONTROLLER_H_
#define VALELEDGE_HOST_PROCESS_PLACEMENT_CONTROLLER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "decisions/adapter_plan.h"
#include "decisions/model_plan.h"
#include "host/process/demand_forecast.h"
#include "host/process/host_core.h"
#include "host/process/order_dispatcher.h"
#include "host/process/patient_placement.h"
#include "host/process/peer_link.h"
#include "host/process/plan_view.h"
#include "store/lease_keeper.h"
#include "wire/generated/messages_types.h"

namespace valeledge::host {

// Key of the record in which the lease holder publishes the state of engines.
inline constexpr std::string_view kPlacementRecord = "placed";

class placement_controller {
 public:
  placement_controller(host_core& core,
                       store::lease_keeper& lease,
                       peer_link& peers);

  void Start();

  // Sets a further condition for orders; it is checked before each one.
  void SetOrderCheck(std::function<bool()> may_send_orders) {
    may_send_orders_ = std::move(may_send_orders);
  }

  // Replaces the demand reported by another host.
  void UpdateDemand(const std::string& host,
                    const std::vector<wire::model_load>& models) {
    forecast_.Update(host, models);
  }
  void ForgetHost(const std::string& host) { forecast_.Forget(host); }

  // Applies an update of the lease holder, and forwards it within the
  // availability zone if the update requests that. Updates of older terms are
  // ignored. `sender` sent the datagram.
  void ApplyUpdate(const wire::placement_news& update,
                   const base::endpoint& sender);

  // The lease holder according to the newest update; nothing before the first.
  std::optional<base::endpoint> holder() const {
    return update_term_ == 0 ? std::nullopt : std::optional(holder_);
  }

  // Ensures that an adapter is loaded, on an engine of the software version if
  // one is given: directly if this host holds the lease, else by a call to the
  // lease holder. Returns the instance that holds it.
  boost::asio::awaitable<base::result<std::string>> RequestAdapter(
      std::string service,
      std::string model,
      std::string adapter,
      std::optional<std::string> software,
      std::chrono::milliseconds timeout);

  // Handles another host's request for an adapter.
  boost::asio::awaitable<wire::adapter_reply> HandleAdapterRequest(
      wire::adapter_request request);

 private:
  boost::asio::awaitable<void> Loop();
  std::int64_t OrderTerm() const;
  // Records that the lease holder of a term has been heard of.
  void RecordHolder(std::int64_t term);
  // Whether all engines are presumably known.
  bool AreEnginesDiscovered();
  void Plan(const catalog::service& service);
  // Publishes changed engines to all hosts. If `republish`, also sends the
  // state of some engines, all in turn, to some hosts.
  void PublishUpdates(bool republish);
  void PublishChanges(const std::vector<wire::placed_engine>& engines);
  void Republish(const std::vector<wire::placed_engine>& engines);
  wire::placement_news MakeUpdate(
      std::span<const wire::placed_engine> engines) const;
  void Forward(wire::placement_news update);
  // Loads adapters that are likely to be requested.
  void PreloadAdapters(
      const std::vector<decisions::plan_model>& models,
      const std::vector<std::shared_ptr<engine_record>>& records,
      const model_index& index);
  void LogDemand(const catalog::service& service,
                 const std::vector<decisions::plan_model>& models,
                 const std::vector<decisions::plan_engine>& engines);

  host_core& core_;
  store::lease_keeper& lease_;
  peer_link& peers_;
  std::function<bool()> may_send_orders_;
  demand_forecast forecast_;
  order_dispatcher dispatcher_;
  patient_placement patient_;
  std::int64_t term_ = 0;
  base::time_point term_since_;
  base::time_point republished_at_;
  // State last published of each engine.
  std::map<unit_key, wire::placed_engine> published_engines_;
  // Position of the next engine to republish.
  std::size_t next_republished_ = 0;
  base::time_point demand_logged_at_;
  // Term of the newest update; 0 before the first.
  std::int64_t update_term_ = 0;
  // Number of engines, and since when it is the same and all states are known.
  std::size_t engine_count_ = 0;
  base::time_point engine_count_since_;
  bool engines_discovered_ = false;
  // The lease holder according to the newest update.
  base::endpoint holder_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_PLACEMENT_CONTROLLER_H_
