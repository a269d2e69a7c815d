// SPDX-License-Identifier: MIT
// State of one request from its arrival to its final response, shared by its
// admission, its attempts and the forwarding of their responses.
#ifndef VALELEDGE_HOST_REQUEST_REQUEST_STATE_H_
#define VALELEDGE_HOST_REQUEST_REQUEST_STATE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/memory_budget.h"
#include "host/process/host_core.h"
#include "host/request/attempt_progress.h"
#include "host/request/attempt_watch.h"
#include "host/request/crash_monitor.h"
#include "host/request/limit_charge.h"
#include "host/request/request_trace.h"
#include "host/request/retry_permit.h"
#include "host/request/routed_request.h"
#include "net/deadline_responder.h"
#include "net/http_client.h"

namespace valeledge::host {

struct request_state {
  // The arguments must outlive the state.
  request_state(host_core& core,
                net::http_request& request,
                net::deadline_responder& responder)
      : core(core),
        request(request),
        responder(responder),
        crash_monitor(core, request, routed),
        permit(core.retries) {}
  // Members refer to each other.
  request_state(const request_state&) = delete;
  request_state& operator=(const request_state&) = delete;

  host_core& core;
  net::http_request& request;
  net::deadline_responder& responder;
  host::crash_monitor crash_monitor;
  retry_permit permit;
  routed_request routed;
  // Ends the present attempt until the header of its response has arrived. Set
  // at the admission.
  std::shared_ptr<net::open_guard> guard;
  // Null until the request is charged.
  std::unique_ptr<limit_charge> charge;
  request_trace trace;
  // Watches the present attempt; null if its time-out is fixed or no other
  // attempt may follow.
  std::shared_ptr<attempt_watch> watch;
  std::int64_t possible_executions = 0;
  attempt_progress progress;
  // An error response of a server, sent to the caller if no further attempt
  // follows.
  std::optional<net::http_response> server_error_response;
  // What that response holds of the memory for responses.
  std::unique_ptr<base::memory_share> server_error_share;
  base::error last_error;
  // The error of another host that has decided on further attempts itself, so
  // that this host makes none: the request has not run, or that host is of an
  // earlier version.
  std::optional<base::error> peer_error;
  // Servers that failed the request at other hosts.
  std::vector<std::string> failed_at_peers;
  // The server of the present attempt; empty if another host selects it.
  std::string instance;
  // The software version of the server of the present attempt.
  std::string software;
  // The server or host of the last attempt, for log lines.
  std::string target;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_REQUEST_REQUEST_STATE_H_
