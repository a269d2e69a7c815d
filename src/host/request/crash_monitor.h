// SPDX-License-Identifier: MIT
// Watches one request for servers that end under it.
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
  // Both must outlive the watch.
  crash_monitor(host_core& core, const net::http_request& request)
      : core_(core), request_(request) {}

  // Why the request is not sent to any server, if it is held back.
  std::optional<base::error> CheckQuarantine();

  // An attempt came to nothing.
  void OnAttemptFailed(const routed_request& routed,
                       const known_server& server,
                       const attempt_progress& progress,
                       const base::error& failed);

  // A server's whole answer has come, and is no failure of the server: one that
  // fails some of its requests may not have run this one.
  void OnSuccessfulResponse();

 private:
  // Worked out once, and only if it is needed.
  std::uint64_t Digest();

  host_core& core_;
  const net::http_request& request_;
  std::optional<std::uint64_t> digest_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_REQUEST_CRASH_MONITOR_H_
