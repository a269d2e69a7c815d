// SPDX-License-Identifier: MIT
// Settings of valeledge-controller.
#ifndef VALELEDGE_CONTROLLER_PROCESS_CONTROLLER_SETTINGS_H_
#define VALELEDGE_CONTROLLER_PROCESS_CONTROLLER_SETTINGS_H_

#include <chrono>

#include "decisions/placement.h"
#include "node/node_settings.h"

namespace valeledge::controller {

// Configures the lease, the load on the weight store and move planning.
struct controller_settings {
  node::node_settings shared;
  std::chrono::microseconds lease_duration = std::chrono::seconds(5);
  std::chrono::microseconds plan_interval = std::chrono::seconds(1);
  std::chrono::microseconds order_timeout = std::chrono::minutes(5);
  // An unresolved load order of a previous lease holder counts as running at
  // the weight store for this long.
  std::chrono::microseconds inherited_load = std::chrono::minutes(2);
  // A server without a report for this long is excluded from planning.
  std::chrono::microseconds report_expiry = std::chrono::minutes(3);
  double loads_per_second = 1.5;
  std::int64_t loads_at_once = 10;
  decisions::placement_settings placement;
  std::chrono::microseconds horizon = std::chrono::minutes(1);
};

// Returns the schema of the program's settings file.
settings::schema_builder Describe(controller_settings& settings);

}  // namespace valeledge::controller

#endif  // VALELEDGE_CONTROLLER_PROCESS_CONTROLLER_SETTINGS_H_
