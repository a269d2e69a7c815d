// SPDX-License-Identifier: MIT
// Plans and executes moves while this process holds the lease. Every order is
// recorded before it is sent.
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

// The last reported state of one server.
struct server_status {
  decisions::engine_report engine;
  bool down = false;
  bool leaving = false;
  base::time_point reported_at;
};

// Runs on the planning thread. A single coroutine changes the records, so that
// each change starts from the latest version.
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

  // Processes a scheduler's report. Returns whether this process holds the
  // lease.
  bool HandleReport(const wire::cell_report& report);
  void HandleOrderEnd(order_end end);
  // Processes an order's end forwarded by a previous lease holder. Returns
  // whether this process holds the lease.
  bool HandleForwardedOrderEnd(order_end end);
  void AddStatus(boost::json::object& status) const;
  // Number of orders of this process that have not ended.
  std::size_t pending_orders() const { return pending_orders_.size(); }

 private:
  boost::asio::awaitable<void> Loop();
  boost::asio::awaitable<bool> BeginTerm(std::int64_t term);
  boost::asio::awaitable<bool> ResolveOrders();
  // Sends the ends of this process's orders to the current lease holder.
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
  // Requests per second, by cell and model.
  std::map<std::string, std::map<std::string, double>> demand_;
  // Mean duration of an attempt, by cell.
  std::map<std::string, std::chrono::duration<double>> mean_service_times_;
  std::deque<order_end> order_ends_;
  // Responses from engine runs that are not in the records yet.
  std::vector<order_end> deferred_order_ends_;
  // Servers whose status has not been compared with their records yet.
  std::set<std::string> unreconciled_;
  std::int64_t reconciled_table_revision_ = 0;
  // Time of the last report query, by server.
  std::map<std::string, base::time_point> last_query_;
  // Kinds of the orders of this process that have not ended, by order id.
  std::map<std::string, decisions::order_kind> pending_orders_;
  weight_store_limiter load_limiter_;
  std::vector<std::string> unplaced_models_;
  std::int64_t moves_ = 0;
};

}  // namespace valeledge::controller

#endif  // VALELEDGE_CONTROLLER_PROCESS_PLANNER_H_
