// SPDX-License-Identifier: MIT
// The cells that this scheduler admits requests for, and the queued requests.
#ifndef VALELEDGE_SCHEDULER_PROCESS_CELL_REGISTRY_H_
#define VALELEDGE_SCHEDULER_PROCESS_CELL_REGISTRY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/json.hpp>

#include "base/duty.h"
#include "node/node.h"
#include "scheduler/process/cell_state.h"
#include "scheduler/process/scheduler_settings.h"

namespace valeledge::scheduler {

// Creates the claim of a granted request. Null for a registry without claims.
using claim_function = std::function<boost::asio::awaitable<wire::grant_reply>(
    const wire::grant_request&)>;

// Runs on the decisions thread.
class cell_registry {
 public:
  cell_registry(base::duty& decisions,
                node::node& node,
                const scheduler_settings& settings);

  // Sets the function that creates claims. Call before the first grant.
  void SetClaimFunction(claim_function maker) {
    claim_function_ = std::move(maker);
  }

  // Starts periodic maintenance: ownership, overdue requests, expiry of
  // attempts and gossip.
  void Start();

  // Returns when the request has been granted or refused.
  boost::asio::awaitable<wire::grant_reply> Grant(wire::grant_request request);

  void EndAttempt(const wire::attempt_end& ended);
  void HandleInFlight(const wire::in_flight_report& report);
  void HandleReport(const std::string& cell, const backend_report& report);
  void HandleTable(const table::snapshot_pointer& table);

  // Refuses all further requests.
  void Close() { closed_ = true; }
  // Number of requests that are waiting for a decision.
  std::int64_t waiting() const {
    return static_cast<std::int64_t>(waiting_.size());
  }

  std::map<std::string, cell_state>& cells() { return cells_; }
  const table::snapshot& table() const { return *table_; }
  void AddStatus(boost::json::object& status) const;

 private:
  struct waiting_grant;

  cell_state* FindOrAdopt(const std::string& name);
  void Adopt(const std::string& name, bool owned);
  void UpdateOwnership();
  void UpdateLeavingHosts();
  void UpdateLimits();
  void DispatchWaiting(cell_state& cell);
  void AnnounceLoad(cell_state& cell);
  void AnnounceReady(cell_state& cell);
  boost::asio::awaitable<void> MaintenanceLoop();
  boost::asio::awaitable<wire::grant_reply> WaitForServer(
      cell_state& cell,
      const wire::grant_request& request);
  decisions::waiting_request MakeWaiting(const wire::grant_request& request,
                                         const table::row& row,
                                         base::time_point now) const;

  base::duty& decisions_;
  node::node& node_;
  const scheduler_settings& settings_;
  claim_function claim_function_;
  table::snapshot_pointer table_;
  std::map<std::string, cell_state> cells_;
  std::map<std::int64_t, std::shared_ptr<waiting_grant>> waiting_;
  std::map<std::string, wire::cell_load> announced_loads_;
  std::map<std::string, base::time_point> announced_at_;
  std::int64_t next_ticket_ = 1;
  std::mt19937_64 random_{std::random_device{}()};
  bool closed_ = false;
};

}  // namespace valeledge::scheduler

#endif  // VALELEDGE_SCHEDULER_PROCESS_CELL_REGISTRY_H_
