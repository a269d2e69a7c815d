// SPDX-License-Identifier: MIT
// The valeledge-controller process.
#ifndef VALELEDGE_CONTROLLER_PROCESS_CONTROLLER_H_
#define VALELEDGE_CONTROLLER_PROCESS_CONTROLLER_H_

#include <memory>
#include <optional>

#include "base/duty.h"
#include "controller/process/controller_settings.h"
#include "controller/process/order_sender.h"
#include "controller/process/planner.h"
#include "controller/process/reservation_store.h"
#include "node/node.h"
#include "store/lease_keeper.h"

namespace valeledge::controller {

// Several controllers may run; only the lease holder plans placement. Adds the
// threads "planning" and "orders" to those of the node.
class controller {
 public:
  explicit controller(controller_settings settings);

  base::result<void> Start();
  void Leave();
  void RefuseNewWork();
  bool IsIdle() const;
  void Stop();

 private:
  boost::asio::awaitable<wire::envelope> HandleCall(wire::envelope call);
  void AddStatus(boost::json::object& status);
  bool IsCandidate() const;

  controller_settings settings_;
  node::node node_;
  base::duty planning_{"planning"};
  base::duty orders_{"orders"};
  std::optional<store::lease_keeper> lease_;
  std::optional<reservation_store> reservations_;
  std::optional<order_sender> sender_;
  std::optional<planner> planner_;
};

}  // namespace valeledge::controller

#endif  // VALELEDGE_CONTROLLER_PROCESS_CONTROLLER_H_
