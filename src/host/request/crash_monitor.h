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

class crash_monitor {
 public:
  // `core` and `request` must outlive the monitor.
  crash_monitor(host_core& core, const net::http_request& request)
      : core_(core), request_(request) {}

  // Returns an error if the request is quarantined and must not be sent to any
  // server.
  std::optional<base::error> CheckQuarantine();

  // Logs a lost connection, and reports a crash if the request may have caused
  // it.
  void OnAttemptFailed(const routed_request& routed,
                       const known_server& server,
                       const attempt_progress& progress,
                       const base::error& failed);

  // Call when a whole response that is not a server error has arrived. Server
  // errors are no evidence: a server that fails some of its requests may not
  // have run this one.
  void OnSuccessfulResponse();

 private:
  // Computed on first use.
  std::uint64_t Digest();

  host_core& core_;
  const net::http_request& request_;
  std::optional<std::uint64_t> digest_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_REQUEST_CRASH_MONITOR_H_
