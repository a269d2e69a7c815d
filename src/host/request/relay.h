// SPDX-License-Identifier: MIT
// Processing of one request from its arrival to its final response.
#ifndef VALELEDGE_HOST_REQUEST_RELAY_H_
#define VALELEDGE_HOST_REQUEST_RELAY_H_

#include <boost/asio/awaitable.hpp>

#include "host/process/host_core.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace valeledge::host {

enum class request_origin {
  kCaller,
  // Another host, which has received the request from its caller and does not
  // reach the backend servers itself.
  kPeer,
};

// Finds the request's route, sends the request to backend servers until one has
// responded or no further attempt is allowed, and sends the response to the
// caller.
boost::asio::awaitable<void> RelayRequest(host_core& core,
                                          net::http_request& request,
                                          net::http_responder& responder,
                                          request_origin origin);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_REQUEST_RELAY_H_
