// SPDX-License-Identifier: MIT
// Detects backend servers that crash while they run one request.
#ifndef VALELEDGE_HOST_REQUEST_CRASH_MONITOR_H_
#define VALELEDGE_HOST_REQUEST_CRASH_MONITOR_H_

#include <cstdint>
#include <optional>

#include "host/process/host_core.h"
#include "host/request/attempt_progress.h"
#include "host/request/routed_request.h"
#include "net/http_client.h"

namespace valeledge::host {

// Returns an error if a combination of the request's prompt parts is
// quarantined.
std::optional<base::error> CheckPromptQuarantine(const host_core& core,
                                                 const routed_request& routed);

class crash_monitor {
 public:
  // `core`, `request` and `routed` must outlive the monitor. `routed` must have
  // its route when another function is called.
  crash_monitor(host_core& core,
                const net::http_request& request,
                const routed_request& routed)
      : core_(core), request_(request), routed_(routed) {}

  // Returns an error if the request is quarantined and must not be sent to any
  // server.
  std::optional<base::error> CheckQuarantine();

  // Logs a lost connection, and reports a crash if the request may have caused
  // it.
  void OnAttemptFailed(const known_server& server,
                       const attempt_progress& progress,
                       const base::error& failed);

  // The header of a response to a request that was sent at `sent` has arrived.
  // Earlier responses that ended with their connections were whole.
  void OnResponseHeader(known_server& server, base::time_point sent);

  // Data of the response's body has arrived.
  void OnData(const attempt_progress& progress);

  // A whole response that is not a server error has arrived. Server errors are
  // no evidence: a server that fails some of its requests may not have run this
  // one. `is_framed`: it did not end with its connection.
  void OnWholeResponse(known_server& server,
                       const attempt_progress& progress,
                       int status,
                       bool is_framed);

 private:
  // Computed on first use.
  std::uint64_t Digest();
  void RecordRun();
  // Does nothing if the request is no trial.
  void ReportInterruptedTrial(const known_server& server);
  void ClearRequest(std::uint64_t digest);
  void ClearParts(const decisions::prompt_parts& parts);

  host_core& core_;
  const net::http_request& request_;
  const routed_request& routed_;
  std::optional<std::uint64_t> digest_;
  // When the response began whose duration shows that its server did not crash.
  std::optional<base::time_point> outlasted_since_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_REQUEST_CRASH_MONITOR_H_
