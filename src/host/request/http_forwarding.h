// SPDX-License-Identifier: MIT
// Answers that the host gives by itself, and what of a backend server's
// answer is passed on.
#ifndef VALELEDGE_HOST_REQUEST_HTTP_FORWARDING_H_
#define VALELEDGE_HOST_REQUEST_HTTP_FORWARDING_H_

#include <span>
#include <string_view>

#include "base/error.h"
#include "net/http_client.h"

namespace valeledge::host {

// The answer to a request that failed here, with its numbered code and, where
// coming back helps, when.
net::http_response MakeErrorResponse(const base::error& failed);

// The caller's request without the fields that concern its connection only
// (RFC 9110, 7.6.1), those that it names as such included, but for the fields
// in `end_to_end`.
net::http_request ForwardableRequest(
    const net::http_request& request,
    std::span<const std::string_view> end_to_end);

// A backend server's head without the fields that concern its connection.
net::http_response_header ForwardableHeader(net::http_response_header header);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_REQUEST_HTTP_FORWARDING_H_
