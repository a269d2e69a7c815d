// SPDX-License-Identifier: MIT
// Settings of valeledge-controller.
#ifndef VALELEDGE_CONTROLLER_PROCESS_CONTROLLER_SETTINGS_H_
#define VALELEDGE_CONTROLLER_PROCESS_CONTROLLER_SETTINGS_H_

#include <chrono>

#include "decisions/placement.h"
#include "node/node_settings.h"

namespace valeledge::controller {

// How the lease is held, the weight store spared and moves decided.
struct controller_settings {
  node::node_settings shared;
  std::chrono::microseconds lease_duration = std::chrono::seconds(5);
  std::chrono::microseconds plan_interval = std::chrono::seconds(1);
  std::chrono::microseconds order_timeout = std::chrono::minutes(5);
  // An unsettled load of an earlier holder counts as running at the weight
  // store for this long.
  std::chrono::microseconds inherited_load = std::chrono::minutes(2);
  // A server that was not reported on for this long is not used.
  std::chrono::microseconds report_expiry = std::chrono::minutes(3);
  double loads_per_second = 1.5;
  std::int64_t loads_at_once = 10;
  decisions::placement_settings placement;
  std::chrono::microseconds horizon = std::chrono::minutes(1);
};

// The schema of the program's settings file.
settings::schema_builder Describe(controller_settings& settings);

}  // namespace valeledge::controller

#endif  // VALELEDGE_CONTROLLER_PROCESS_CONTROLLER_SETTINGS_H_
