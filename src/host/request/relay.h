// SPDX-License-Identifier: MIT
// One request of a caller, from its arrival to its final answer.
#ifndef VALELEDGE_HOST_REQUEST_RELAY_H_
#define VALELEDGE_HOST_REQUEST_RELAY_H_

#include <boost/asio/awaitable.hpp>

#include "host/process/host_core.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace valeledge::host {

// Finds the request's route, sends it to backend servers until one has
// answered or no more may be tried, and gives the caller the answer.
boost::asio::awaitable<void> RelayRequest(host_core& core,
                                          net::http_request& request,
                                          net::http_responder& responder);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_REQUEST_RELAY_H_
