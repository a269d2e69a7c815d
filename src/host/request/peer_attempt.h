// SPDX-License-Identifier: MIT
// One attempt at a request, sent through another host because this one does not
// reach the backend servers.
#ifndef VALELEDGE_HOST_REQUEST_PEER_ATTEMPT_H_
#define VALELEDGE_HOST_REQUEST_PEER_ATTEMPT_H_

#include <boost/asio/awaitable.hpp>

#include "base/endpoint.h"
#include "host/request/attempt_outcome.h"
#include "host/request/request_state.h"

namespace valeledge::host {

// Sends the request to the other host, which selects the server, and forwards
// the response.
boost::asio::awaitable<attempt_outcome> AttemptThroughPeer(
    request_state& state,
    const base::endpoint& peer);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_REQUEST_PEER_ATTEMPT_H_
