// SPDX-License-Identifier: MIT
// What callers get: errors with code, outcome and when to come back, and the
// chunks of a streamed completion.
#ifndef VALELEDGE_GATEWAY_REQUEST_RESPONSES_H_
#define VALELEDGE_GATEWAY_REQUEST_RESPONSES_H_

#include <string>
#include <string_view>

#include "base/error.h"
#include "net/http_client.h"

namespace valeledge::gateway {

// The JSON object of an error: numbered code, its name, what happened, what a
// person can do, the outcome, the request id.
std::string RenderError(const base::error& failed, std::string_view request_id);

// A whole error answer with Retry-After, Valeledge-Outcome, Valeledge-Reason.
net::http_response ErrorResponse(const base::error& failed,
                                 std::string_view request_id);

// One server-sent event that holds `data`.
std::string FormatEvent(std::string_view data);

// The JSON of one chunk of a streamed completion.
std::string RenderChunk(std::string_view request_id,
                        std::string_view model,
                        std::string_view text,
                        std::string_view finish_reason);

// The JSON of a whole completion.
std::string RenderCompletion(std::string_view request_id,
                             std::string_view model,
                             std::string_view text,
                             std::string_view finish_reason,
                             std::int64_t tokens);

}  // namespace valeledge::gateway

#endif  // VALELEDGE_GATEWAY_REQUEST_RESPONSES_H_
