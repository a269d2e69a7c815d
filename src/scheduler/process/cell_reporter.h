// SPDX-License-Identifier: MIT
// Forwards the reports of the cells' engines to the controller that holds the
// lease.
#ifndef VALELEDGE_SCHEDULER_PROCESS_CELL_REPORTER_H_
#define VALELEDGE_SCHEDULER_PROCESS_CELL_REPORTER_H_

#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "base/duty.h"
#include "node/node.h"
#include "scheduler/process/cell_registry.h"

namespace valeledge::scheduler {

// Reports changes and demand, or the full state after a new controller has
// acquired the lease. Runs on the decisions thread.
class cell_reporter {
 public:
  cell_reporter(base::duty& decisions,
                node::node& node,
                cell_registry& registry,
                const scheduler_settings& settings);

  void Start();

 private:
  boost::asio::awaitable<void> ReportLoop();
  boost::asio::awaitable<void> ReportCell(std::string cell,
                                          base::endpoint controller);
  wire::cell_report BuildReport(cell_state& cell);

  base::duty& decisions_;
  node::node& node_;
  cell_registry& registry_;
  const scheduler_settings& settings_;
  std::string last_controller_;
};

}  // namespace valeledge::scheduler

#endif  // VALELEDGE_SCHEDULER_PROCESS_CELL_REPORTER_H_
