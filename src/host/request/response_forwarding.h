// SPDX-License-Identifier: MIT
// Forwards the response to an attempt to the caller, or to the host that relays
// the request: as a whole, or event by event.
#ifndef VALELEDGE_HOST_REQUEST_RESPONSE_FORWARDING_H_
#define VALELEDGE_HOST_REQUEST_RESPONSE_FORWARDING_H_

#include <boost/asio/awaitable.hpp>

#include "host/request/attempt_outcome.h"
#include "host/request/request_state.h"
#include "host/request/server_attempt.h"
#include "net/http_client.h"

namespace valeledge::host {

// Whether a response shows that its server has not run the request.
bool StatesNotRun(const request_state& state,
                  const response_metadata& metadata);

// Whether a response is a server's to this request; sets the last error if
// not.
bool IsServerResponse(request_state& state, const response_metadata& metadata);

// Forwards the response whose header has arrived. `attempt`: null if the
// request was sent through another host.
boost::asio::awaitable<attempt_outcome> ForwardResponse(
    request_state& state,
    net::http_exchange& exchange,
    server_attempt* attempt);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_REQUEST_RESPONSE_FORWARDING_H_
