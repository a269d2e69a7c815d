// SPDX-License-Identifier: MIT
// Settings of valeledge-gateway.
#ifndef VALELEDGE_GATEWAY_PROCESS_GATEWAY_SETTINGS_H_
#define VALELEDGE_GATEWAY_PROCESS_GATEWAY_SETTINGS_H_

#include <chrono>

#include "base/endpoint.h"
#include "net/http_server.h"
#include "node/node_settings.h"

namespace valeledge::gateway {

// Limits for callers, timeouts for backend servers, and routing.
struct gateway_settings {
  node::node_settings shared;
  base::endpoint caller_listen;
  std::int64_t caller_threads = 2;
  net::http_limits limits;
  std::chrono::microseconds deadline = std::chrono::seconds(60);
  std::chrono::microseconds longest_deadline = std::chrono::minutes(10);
  std::chrono::microseconds connect_timeout = std::chrono::milliseconds(500);
  std::chrono::microseconds stall_timeout = std::chrono::seconds(10);
  // "scheduler", or a strategy of fallback_router as a baseline for benchmarks.
  std::string routing = "scheduler";
};

// The schema of the program's settings file.
settings::schema_builder Describe(gateway_settings& settings);

}  // namespace valeledge::gateway

#endif  // VALELEDGE_GATEWAY_PROCESS_GATEWAY_SETTINGS_H_
