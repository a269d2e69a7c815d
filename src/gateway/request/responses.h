// SPDX-License-Identifier: MIT
// Responses to callers: errors with code, outcome and retry-after delay, and
// completions, whole or as a stream of chunks.
#ifndef VALELEDGE_GATEWAY_REQUEST_RESPONSES_H_
#define VALELEDGE_GATEWAY_REQUEST_RESPONSES_H_

#include <string>
#include <string_view>

#include "base/error.h"
#include "net/http_client.h"

namespace valeledge::gateway {

// Renders an error as JSON with its numeric code, name, message, advice,
// outcome, request id and, if it is known, retry-after delay.
std::string RenderError(const base::error& failed, std::string_view request_id);

// Returns an error response with the header fields Retry-After,
// Valeledge-Outcome and Valeledge-Reason.
net::http_response ErrorResponse(const base::error& failed,
                                 std::string_view request_id);

// Formats `data` as a server-sent event.
std::string FormatEvent(std::string_view data);

// Renders a chunk of a streamed completion as JSON.
std::string RenderChunk(std::string_view request_id,
                        std::string_view model,
                        std::string_view text,
                        std::string_view finish_reason);

// Renders a complete, non-streamed completion as JSON.
std::string RenderCompletion(std::string_view request_id,
                             std::string_view model,
                             std::string_view text,
                             std::string_view finish_reason,
                             std::int64_t tokens);

}  // namespace valeledge::gateway

#endif  // VALELEDGE_GATEWAY_REQUEST_RESPONSES_H_
