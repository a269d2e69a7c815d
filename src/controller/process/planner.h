// SPDX-License-Identifier: MIT
// Plans moves while this process holds the lease, and carries them out: every
// order is recorded before it leaves.
#ifndef VALELEDGE_CONTROLLER_PROCESS_PLANNER_H_
#define VALELEDGE_CONTROLLER_PROCESS_PLANNER_H_

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include "base/duty.h"
#include "controller/process/controller_settings.h"
#include "controller/process/order_sender.h"
#include "controller/process/reservation_store.h"
#include "controller/process/weight_store_limiter.h"
#include "decisions/placement.h"
#include "node/node.h"
#include "store/lease_keeper.h"

namespace valeledge::controller {

// What a report said of one server, and when.
struct server_status {
  decisions::engine_report engine;
  bool down = false;
  bool leaving = false;
  base::time_point reported_at;
};

// Lives on the planning thread. One coroutine changes the records, so that
// each change is made on the newest.
class planner {
 public:
  planner(base::duty& planning,
          base::duty& orders,
          node::node& node,
          store::lease_keeper& lease,
          reservation_store& reservations,
          order_sender& sender,
          const controller_settings& settings);

  void Start();

  // Takes in a scheduler's report; true if this process is in charge.
  bool HandleReport(const wire::cell_report& report);
  void HandleOrderEnd(order_end end);
  // The same from a controller that held the lease before; false if this
  // process is not in charge.
  bool HandleForwardedOrderEnd(order_end end);
  void AddStatus(boost::json::object& status) const;
  // Orders whose answers are pending_orders.
  std::size_t pending_orders() const { return pending_orders_.size(); }

 private:
  boost::asio::awaitable<void> Loop();
  boost::asio::awaitable<bool> BeginTerm(std::int64_t term);
  boost::asio::awaitable<bool> ResolveOrders();
  // Tells the present holder of the lease how this process's orders ended.
  boost::asio::awaitable<void> ForwardOrderEnds();
  boost::asio::awaitable<bool> ForwardOrderEnd(base::endpoint holder,
                                               order_end end);
  boost::asio::awaitable<bool> ReconcileReports();
  boost::asio::awaitable<bool> ReconcileServer(const table::row& row,
                                               const table::snapshot& table);
  boost::asio::awaitable<std::optional<decisions::engine_report>> QueryReport(
      const table::row& row);
  boost::asio::awaitable<bool> FinishOrphanedOrders();
  boost::asio::awaitable<bool> ExecuteMove(
      const decisions::placement_move& move);
  boost::asio::awaitable<bool> Write(decisions::server_reservation record);
  decisions::placement_plan Plan();
  std::vector<decisions::placement_model> Models(const table::snapshot& table);
  std::vector<decisions::placement_server> Servers(
      const table::snapshot& table);
  std::int64_t PendingLoads() const;
  decisions::server_reservation RecordOf(const table::row& server) const;

  base::duty& planning_;
  base::duty& orders_;
  node::node& node_;
  store::lease_keeper& lease_;
  reservation_store& reservations_;
  order_sender& sender_;
  const controller_settings& settings_;
  boost::asio::steady_timer wake_timer_;
  std::int64_t incarnation_;
  std::map<std::string, server_status> statuses_;
  std::map<std::string, decisions::demand_forecast> forecasts_;
  // Requests a second by cell and model.
  std::map<std::string, std::map<std::string, double>> demand_;
  // How long an attempt takes in each cell.
  std::map<std::string, std::chrono::duration<double>> mean_service_times_;
  std::deque<order_end> order_ends_;
  // Answers of runs that the records do not know yet.
  std::vector<order_end> deferred_order_ends_;
  // Servers whose status have not been compared with their records yet.
  std::set<std::string> unreconciled_;
  std::int64_t reconciled_table_revision_ = 0;
  // When a server was last asked for a report.
  std::map<std::string, base::time_point> last_query_;
  // Orders sent by this process without an end yet, with their kinds.
  std::map<std::string, decisions::order_kind> pending_orders_;
  weight_store_limiter load_limiter_;
  std::vector<std::string> unplaced_models_;
  std::int64_t moves_ = 0;
};

}  // namespace valeledge::controller

#endif  // VALELEDGE_CONTROLLER_PROCESS_PLANNER_H_
