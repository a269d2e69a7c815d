// SPDX-License-Identifier: MIT
// Serves a call of a plain service. Calls that are not idempotent run at most
// once.
#ifndef VALELEDGE_GATEWAY_REQUEST_SERVICE_EXCHANGE_H_
#define VALELEDGE_GATEWAY_REQUEST_SERVICE_EXCHANGE_H_

#include <boost/asio/awaitable.hpp>

#include "gateway/process/caller_frontend.h"
#include "net/http_server.h"

namespace valeledge::gateway {

boost::asio::awaitable<void> ServeService(caller_frontend& frontend,
                                          net::http_request& request,
                                          net::http_responder& responder);

}  // namespace valeledge::gateway

#endif  // VALELEDGE_GATEWAY_REQUEST_SERVICE_EXCHANGE_H_
