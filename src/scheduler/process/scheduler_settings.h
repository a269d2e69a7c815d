// SPDX-License-Identifier: MIT
// Settings of valeledge-scheduler.
#ifndef VALELEDGE_SCHEDULER_PROCESS_SCHEDULER_SETTINGS_H_
#define VALELEDGE_SCHEDULER_PROCESS_SCHEDULER_SETTINGS_H_

#include <chrono>

#include "node/node_settings.h"

namespace valeledge::scheduler {

// Configures backend polling, the request queue and claim writes.
struct scheduler_settings {
  node::node_settings shared;
  std::chrono::microseconds poll_interval = std::chrono::seconds(2);
  std::chrono::microseconds poll_timeout = std::chrono::milliseconds(500);
  std::int64_t polls_to_down = 2;
  std::chrono::microseconds report_interval = std::chrono::seconds(2);
  std::int64_t queue_limit = 1000;
  // Fraction of its first-token target that a request may spend in the queue.
  double queue_wait_fraction = 0.8;
  std::chrono::microseconds attempt_expiry = std::chrono::seconds(10);
  std::chrono::microseconds claim_interval = std::chrono::milliseconds(10);
  std::int64_t claims_per_write = 50;
  std::chrono::microseconds claim_retention = std::chrono::hours(24);
  std::int64_t kept_answer_bytes = 64 * 1024;
};

// Returns the schema of the program's settings file.
settings::schema_builder Describe(scheduler_settings& settings);

}  // namespace valeledge::scheduler

#endif  // VALELEDGE_SCHEDULER_PROCESS_SCHEDULER_SETTINGS_H_
