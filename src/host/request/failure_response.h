// SPDX-License-Identifier: MIT
// Responses to requests that fail.
#ifndef VALELEDGE_HOST_REQUEST_FAILURE_RESPONSE_H_
#define VALELEDGE_HOST_REQUEST_FAILURE_RESPONSE_H_

#include "base/error.h"
#include "host/request/request_state.h"
#include "net/http_client.h"

namespace valeledge::host {

// Returns the response for the caller, or for the host that relays the request.
net::http_response MakeFailureResponse(const request_state& state,
                                       const base::error& failed);

// Returns the response for the host that relays the request. It states whether
// the request has run.
net::http_response MakeRelayedErrorResponse(const base::error& failed);

// Logs that the deadline has passed without a response, and returns one. If no
// attempt is in progress and none may have run the request, it states that the
// request was not run, so the request must not be sent afterwards.
net::http_response MakeLateResponse(request_state& state);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_REQUEST_FAILURE_RESPONSE_H_
