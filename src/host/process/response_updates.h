// SPDX-License-Identifier: MIT
// Applies what backend servers state about themselves in their responses, for
// every kind of exchange. Each change is logged and counted.
#ifndef VALELEDGE_HOST_PROCESS_RESPONSE_UPDATES_H_
#define VALELEDGE_HOST_PROCESS_RESPONSE_UPDATES_H_

#include "base/duration.h"
#include "host/process/host_core.h"

namespace valeledge::host {

// Applies a response to a caller's request that was sent at `sent` and whose
// header has just been received.
void ApplyRequestResponse(host_core& core,
                          known_server& server,
                          const response_metadata& response,
                          base::time_point sent);

// Applies a response to an order or a query of the lease holder. Such a
// response may lack the fields of responses to requests, so their absence
// states nothing.
void ApplyControlResponse(host_core& core,
                          known_server& server,
                          const net::http_response_header& header,
                          base::time_point sent);

// Handles another host's report that a server has rejected a request.
void ApplyFullServer(host_core& core, const wire::full_server& news);

// A server has written its entry `heartbeats` times: its run has not crashed,
// so that responses which ended some time ago were whole.
void ConfirmByHeartbeat(host_core& core,
                        known_server& server,
                        std::int64_t heartbeats,
                        base::time_point now);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_RESPONSE_UPDATES_H_
