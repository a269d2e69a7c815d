// SPDX-License-Identifier: MIT
// A single attempt at a backend server.
#ifndef VALELEDGE_GATEWAY_REQUEST_ATTEMPT_H_
#define VALELEDGE_GATEWAY_REQUEST_ATTEMPT_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>

#include "base/error.h"
#include "decisions/response_check.h"
#include "gateway/process/grant_client.h"
#include "gateway/request/chat_request.h"
#include "net/http_client.h"

namespace valeledge::gateway {

// Receives a validated chunk; returns false if the caller has disconnected.
using chunk_sink = std::function<boost::asio::awaitable<bool>(
    const decisions::response_chunk&)>;

// The part of a response that has been forwarded to the caller.
struct partial_response {
  std::int64_t tokens = 0;
  std::string text;
  std::string finish_reason;
};

// Dependencies of an attempt.
struct attempt_context {
  const gateway_settings& settings;
  net::http_client& http;
  const grant& issued;
  // Set while an exchange is open, so that it can be aborted when the caller
  // disconnects.
  std::shared_ptr<net::http_exchange>& open;
};

// Outcome of an attempt. The error is that of the attempt; the request may
// still succeed.
struct attempt_outcome {
  base::result<void> result;
  attempt_result report;
};

// Sends the request, resuming after what `response` holds, and passes each
// chunk of its own response on, in order and whole. Ends well only if the
// response's end marker came.
boost::asio::awaitable<attempt_outcome> RunChatAttempt(
    const chat_request& request,
    attempt_context context,
    partial_response& response,
    const chunk_sink& sink);

// True for a response by which a backend server says that it did not run the
// request: 429 or 503.
bool IsRefusal(unsigned status);

}  // namespace valeledge::gateway

#endif  // VALELEDGE_GATEWAY_REQUEST_ATTEMPT_H_
