// SPDX-License-Identifier: MIT
// A caller's request with its route and what it will cost a server.
#ifndef VALELEDGE_HOST_REQUEST_ROUTED_REQUEST_H_
#define VALELEDGE_HOST_REQUEST_ROUTED_REQUEST_H_

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "host/process/host_core.h"
#include "net/http_client.h"

namespace valeledge::host {

struct routed_request {
  // Keeps the route and the service alive.
  std::shared_ptr<const catalog::configuration> configuration;
  const catalog::route* route = nullptr;
  const catalog::service* service = nullptr;
  // Of the caller; null if the route needs none.
  const catalog::workspace* workspace = nullptr;
  request_metadata metadata;
  decisions::request_weight weight;
  model_demand* demand = nullptr;
  base::time_point arrived;
  // The caller's own deadline or the route's time, whichever is first.
  base::time_point deadline;
  // Instances that have failed this request.
  std::vector<std::string> failed_instances;
};

// Finds the route and one of its services, reads the head, and counts the
// request as demand; false if there is no route. `routed.configuration` and
// `routed.arrived` are set by the caller.
bool RouteRequest(host_core& core,
                  const net::http_request& request,
                  routed_request& routed);

// How urgent a request is: its workspace's rank goes before its route's. 0 is
// the most urgent.
std::int64_t PriorityOf(const routed_request& routed);

// The name of the caller's workspace; empty if the route needs none.
std::string WorkspaceName(const routed_request& routed);

// Why a request that has not been sent is refused by a host that is about to
// stop: it may outlast the host. Nothing if it does not, or the host stays.
std::optional<base::error> CheckStopDeadline(const host_core& core,
                                             const routed_request& routed);

// Why a request has no route: callers give up for good what does not exist
// (kUnknownPath), and ask another host for what is not known here yet
// (kNoBackendServer, with when to come back).
base::error NoRouteError(const host_core& core);

// Time until the deadline; negative after it.
std::chrono::milliseconds RemainingTime(const routed_request& routed);

// Milliseconds since `begun`, for log lines.
std::int64_t MillisecondsSince(base::time_point begun);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_REQUEST_ROUTED_REQUEST_H_
