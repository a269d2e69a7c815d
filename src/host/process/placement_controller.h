// SPDX-License-Identifier: MIT
// Places models and adapters on engines while this host holds the lease.
#ifndef VALELEDGE_HOST_PROCESS_PLACEMENT_CONTROLLER_H_
#define VALELEDGE_HOST_PROCESS_PLACEMENT_CONTROLLER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "decisions/adapter_plan.h"
#include "decisions/model_plan.h"
#include "host/process/demand_forecast.h"
#include "host/process/host_core.h"
#include "host/process/order_dispatcher.h"
#include "host/process/peer_link.h"
#include "host/process/plan_view.h"
#include "store/lease_keeper.h"
#include "wire/generated/messages_types.h"

namespace valeledge::host {

// Key of the record in which the holder tells what it knows of engines.
inline constexpr std::string_view kPlacementRecord = "placed";

class placement_controller {
 public:
  placement_controller(host_core& core,
                       store::lease_keeper& lease,
                       peer_link& peers);

  void Start();

  // Takes in what another host's callers ask for.
  void UpdateDemand(const std::string& host,
                    const std::vector<wire::model_load>& models) {
    forecast_.Update(host, models);
  }
  void ForgetHost(const std::string& host) { forecast_.Forget(host); }

  // Takes in what the holder of the lease knows, and hands it on if it says so;
  // older terms are ignored. `teller`: whose datagram it is.
  void ApplyUpdate(const wire::placement_news& update,
                   const base::endpoint& sender);

  // The holder of the lease by the newest news.
  std::optional<base::endpoint> holder() const {
    return update_term_ == 0 ? std::nullopt : std::optional(holder_);
  }

  // Has an adapter loaded: here if this host holds the lease, else by the
  // holder. The instance that holds it then.
  boost::asio::awaitable<base::result<std::string>> RequestAdapter(
      std::string service,
      std::string model,
      std::string adapter,
      std::chrono::milliseconds timeout);

  // Answers another host's wish for an adapter.
  boost::asio::awaitable<wire::adapter_reply> HandleAdapterRequest(
      wire::adapter_request request);

 private:
  boost::asio::awaitable<void> Loop();
  std::int64_t OrderTerm() const;
  // Whether the list of engines is whole, as far as can be told.
  bool AreEnginesDiscovered();
  void CountInitialReplicas();
  void Plan(const catalog::service& service);
  // Loads what room was made for, once there is room.
  void StartPlannedLoad(const std::shared_ptr<engine_record>& engine,
                        const catalog::engine& kind,
                        base::time_point now);
  // Tells all hosts what has changed; and, if `again`, some of them what is
  // known of some engines, of all in turn.
  void PublishUpdates(bool republish);
  void PublishChanges(const std::vector<wire::placed_engine>& engines);
  void Republish(const std::vector<wire::placed_engine>& engines);
  wire::placement_news MakeUpdate(
      std::span<const wire::placed_engine> engines) const;
  void Forward(wire::placement_news update);
  // Loads adapters that will probably be asked for.
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
  demand_forecast forecast_;
  order_dispatcher dispatcher_;
  std::int64_t term_ = 0;
  base::time_point term_since_;
  base::time_point republished_at_;
  // What was last told of each engine.
  std::map<unit_key, wire::placed_engine> published_engines_;
  // The engine whose turn it is to be told again.
  std::size_t next_republished_ = 0;
  base::time_point demand_logged_at_;
  // The holder by the newest news.
  std::int64_t update_term_ = 0;
  // Engines that were known when one was last new, and since when.
  std::size_t engine_count_ = 0;
  base::time_point engine_count_since_;
  bool engines_discovered_ = false;
  // Engines whose first replicas have been counted in this term.
  std::set<std::string> counted_engines_;
  base::endpoint holder_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_PLACEMENT_CONTROLLER_H_
