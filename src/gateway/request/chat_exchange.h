// SPDX-License-Identifier: MIT
// Serves a chat completion request: makes attempts until one completes or no
// further attempt is allowed.
#ifndef VALELEDGE_GATEWAY_REQUEST_CHAT_EXCHANGE_H_
#define VALELEDGE_GATEWAY_REQUEST_CHAT_EXCHANGE_H_

#include <boost/asio/awaitable.hpp>

#include "gateway/process/caller_frontend.h"
#include "net/http_server.h"

namespace valeledge::gateway {

boost::asio::awaitable<void> ServeChat(caller_frontend& frontend,
                                       net::http_request& request,
                                       net::http_responder& responder);

}  // namespace valeledge::gateway

#endif  // VALELEDGE_GATEWAY_REQUEST_CHAT_EXCHANGE_H_
