// SPDX-License-Identifier: MIT
// Selection of the backend server for the next attempt of a request.
#ifndef VALELEDGE_HOST_REQUEST_SERVER_SEARCH_H_
#define VALELEDGE_HOST_REQUEST_SERVER_SEARCH_H_

#include <chrono>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "host/request/request_trace.h"
#include "host/request/routed_request.h"
#include "net/http_server.h"

namespace valeledge::host {

// Returns the server for the next attempt. Waits for a suitable server, and has
// an adapter loaded if necessary. An error has the outcome kNotRun and a
// retry-after delay. `first_attempt`: no attempt of the request can have run
// yet, so the request may be refused if its response would be late. `trace`
// states what the request waits for meanwhile.
boost::asio::awaitable<base::result<server_choice>> FindServer(
    host_core& core,
    const routed_request& routed,
    bool first_attempt,
    const net::http_responder& responder,
    request_trace& trace);

// Returns the best server for another attempt while one at `instance` is in
// progress; nothing if there is none now.
std::optional<server_choice> FindOtherServer(host_core& core,
                                             const routed_request& routed,
                                             const std::string& instance);

// Returns the retry-after delay for a caller whose request was refused by all
// servers that it was sent to.
std::chrono::milliseconds RetryAfterRefusals(host_core& core,
                                             const routed_request& routed);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_REQUEST_SERVER_SEARCH_H_
