// SPDX-License-Identifier: MIT
// One attempt at a request, sent from this host to a backend server.
#ifndef VALELEDGE_HOST_REQUEST_DIRECT_ATTEMPT_H_
#define VALELEDGE_HOST_REQUEST_DIRECT_ATTEMPT_H_

#include <boost/asio/awaitable.hpp>

#include "host/request/attempt_outcome.h"
#include "host/request/request_state.h"

namespace valeledge::host {

// Sends the request to the selected server and forwards the response.
boost::asio::awaitable<attempt_outcome> AttemptDirectly(
    request_state& state,
    const server_choice& choice);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_REQUEST_DIRECT_ATTEMPT_H_
