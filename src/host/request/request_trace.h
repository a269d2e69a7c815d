// SPDX-License-Identifier: MIT
// Log lines and metrics of one request.
#ifndef VALELEDGE_HOST_REQUEST_REQUEST_TRACE_H_
#define VALELEDGE_HOST_REQUEST_REQUEST_TRACE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/error.h"
#include "host/process/host_core.h"
#include "host/request/attempt_outcome.h"
#include "host/request/routed_request.h"

namespace valeledge::host {

// What a request waits for.
enum class request_wait {
  // The origin of the stream that it resumes.
  kStreamOrigin,
  // The reply to a request for a trial of quarantined prompt parts.
  kTrial,
  kWorkspaceTokens,
  // Whether this or another host reaches the servers.
  kPath,
  // Any suitable server.
  kServer,
  kEngineQueue,
  // A slot or a permit.
  kSlot,
  kAdapter,
  kResponseHeader,
  kResponseBody,
};

// Returns the name of the value in metrics and log lines.
std::string_view NameOf(request_wait wait);

// Progress of a request over all its attempts.
struct request_trace {
  request_wait wait = request_wait::kServer;
  int attempts = 0;
  // Those of a stream that is resumed for which no connection could be opened.
  int unreachable = 0;
  // Times that the request was sent through another host.
  int relays = 0;
  // The response header has been sent to the caller.
  bool response_started = false;
  // Status of the last response of a server; 0: none yet.
  int server_status = 0;
  // Number of the connection on which the last response came; 0: none yet.
  std::int64_t connection = 0;
  std::string last_event_id;
  // Events that were sent to the caller.
  std::int64_t events = 0;
  std::chrono::milliseconds first_event_delay{0};
  std::chrono::milliseconds max_event_gap{0};
  // When the last events were sent to the caller.
  base::time_point last_event_at;
};

// Whether the request may be sent once more. Each server that cannot be reached
// is tried once.
bool HasAttemptsLeft(const request_trace& trace);

// Records that events are about to be sent to the caller.
void RecordEventGap(const routed_request& routed, request_trace& trace);

// Logs that an attempt is sent to the selected server.
void LogAttemptSent(host_core& core,
                    const routed_request& routed,
                    const request_trace& trace,
                    const server_choice& choice,
                    const attempt_metadata& attempt_fields);

// Logs that the request is sent through another host.
void LogAttemptRelayed(host_core& core,
                       const routed_request& routed,
                       const request_trace& trace,
                       const base::endpoint& peer);

// Logs that an attempt failed without a response. `target`: the instance, or
// the host through which the request was sent.
void LogAttemptFailed(host_core& core,
                      const routed_request& routed,
                      const request_trace& trace,
                      const std::string& target,
                      const base::error& failed);

// Logs and counts a response with which a server failed the request. The
// request may have run.
void LogServerFailure(host_core& core,
                      const routed_request& routed,
                      const request_trace& trace,
                      const std::string& target);

// Logs that an attempt has not run the request, and what shows it. `target` as
// above. `response`: that of the server, if it responded.
void LogAttemptNotRun(host_core& core,
                      const routed_request& routed,
                      const request_trace& trace,
                      const std::string& target,
                      not_run_evidence evidence,
                      const response_metadata& response = {});

// Logs that the caller received its whole response, or disconnected. `target`
// as above.
void LogCompleted(host_core& core,
                  const routed_request& routed,
                  const request_trace& trace,
                  const std::string& target,
                  bool caller_left);

// Records that the deadline has passed before the request has ended.
void RecordLate(host_core& core,
                const routed_request& routed,
                const request_trace& trace);

// Logs that a request is refused, or ends without a complete response.
void LogRefused(host_core& core,
                const routed_request& routed,
                const request_trace& trace,
                const base::error& failed);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_REQUEST_REQUEST_TRACE_H_
