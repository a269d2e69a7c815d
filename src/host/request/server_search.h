// SPDX-License-Identifier: MIT
// Where a request goes next: waits for a server that suits it, has an adapter
// loaded, or refuses.
#ifndef VALELEDGE_HOST_REQUEST_SERVER_SEARCH_H_
#define VALELEDGE_HOST_REQUEST_SERVER_SEARCH_H_

#include <boost/asio/awaitable.hpp>

#include "host/request/routed_request.h"
#include "net/http_server.h"

namespace valeledge::host {

// The server for the next attempt. The error is `not_run` and says when to
// come back. `first_attempt`: nothing of the request has run yet, so it may be
// refused because it would be late.
boost::asio::awaitable<base::result<server_choice>> FindServer(
    host_core& core,
    const routed_request& routed,
    bool first_attempt,
    const net::http_responder& responder);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_REQUEST_SERVER_SEARCH_H_
