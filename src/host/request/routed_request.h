// SPDX-License-Identifier: MIT
// A caller's request with its route and its estimated cost for a server.
#ifndef VALELEDGE_HOST_REQUEST_ROUTED_REQUEST_H_
#define VALELEDGE_HOST_REQUEST_ROUTED_REQUEST_H_

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "decisions/request_time.h"
#include "host/process/host_core.h"
#include "net/http_client.h"

namespace valeledge::host {

struct routed_request {
  // Owns `route`, `service` and `workspace`.
  std::shared_ptr<const catalog::configuration> configuration;
  const catalog::route* route = nullptr;
  const catalog::service* service = nullptr;
  // The caller's workspace; null if the route does not require one.
  const catalog::workspace* workspace = nullptr;
  request_metadata metadata;
  // The parts of its prompt that other requests may have as well.
  decisions::prompt_parts shared_parts;
  decisions::request_weight weight;
  model_demand* demand = nullptr;
  // Number of events of its response, learned from the route's other ones; 0 if
  // it is not a stream, or none has ended yet.
  double expected_events = 0;
  // Another host has received the request, and counts it as demand.
  bool is_relayed = false;
  base::time_point arrived;
  // The caller's deadline or the route's timeout, whichever is earlier.
  base::time_point caller_deadline;
  // The same, or the end of this host if that is earlier.
  base::time_point deadline;
  // Time for which the request waited for tokens of its workspace.
  std::chrono::milliseconds token_wait{0};
  // What the stream began with, once an event of it has been passed on: it goes
  // on only there.
  std::optional<decisions::stream_origin> origin;
  // Since when its caller has had no event: its arrival, or the last event of
  // the response.
  base::time_point waiting_since;
  // The quarantined combination of prompt parts of which the request is a
  // trial; it is sent once. Empty if it is none.
  decisions::prompt_parts trial;
  // Instances that a trial must not use.
  std::vector<std::string> not_for_trial;
  // Instances at which an attempt of this request failed.
  std::vector<std::string> failed_instances;
};

// Finds the route and selects one of its services, parses the request metadata,
// and counts the request as demand. Returns false if there is no route.
// Requires `routed.configuration`, `routed.arrived` and `routed.is_relayed` to
// be set.
bool RouteRequest(host_core& core,
                  const net::http_request& request,
                  routed_request& routed);

// Returns the priority of a request, with 0 as the most urgent. The priority of
// the workspace takes precedence over that of the route.
std::int64_t PriorityOf(const routed_request& routed);

// The name of the caller's workspace; empty if the route does not require one.
std::string WorkspaceName(const routed_request& routed);

// Returns an error if this host is shutting down and does not take the request,
// which has not been sent yet.
std::optional<base::error> CheckStopDeadline(const host_core& core,
                                             const routed_request& routed);

// The error of a request that has not run and that this host does not serve any
// more.
base::error LeavingError();

// Bounds the time of further attempts by the end of this host.
void BoundByStop(const host_core& core, routed_request& routed);

// Returns the error for a request without a route. Callers do not retry after
// kUnknownPath. If the configuration of this host is stale, the error is
// kNoBackendServer with a retry-after delay, and callers try another host.
base::error NoRouteError(const host_core& core);

// Returns the error for a request that was not sent by its deadline. The caller
// may have more time than the route allows for one request.
base::error NotSentInTimeError();

// Time by which the response has to start: the objective or the deadline,
// whichever is earlier.
base::time_point DueOf(const routed_request& routed);

// Time from its arrival for which a request that is late waits for a better
// moment: half of the time for which its caller waits for a first event. The
// rest is for the response.
std::chrono::milliseconds MaxLateWait(const routed_request& routed);

// Time without an event after which a stream that is resumed no longer waits
// for a server. Its caller gives up a little later, or its deadline passes.
std::chrono::milliseconds MaxResumeWait(const routed_request& routed);

// When that time ends.
base::time_point ResumeCutoff(const routed_request& routed);

// Time until the deadline; negative once it has passed.
std::chrono::milliseconds RemainingTime(const routed_request& routed);

// The time that the request has, and the work that is left: the reading of its
// prompt by an engine, or the call of a plain service. Time for which it waited
// for tokens of its workspace does not count towards its objective.
decisions::request_time TimeOf(const routed_request& routed,
                               base::time_point now);

// Milliseconds since `begun`, for log lines.
std::int64_t MillisecondsSince(base::time_point begun);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_REQUEST_ROUTED_REQUEST_H_
