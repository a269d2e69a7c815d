// SPDX-License-Identifier: MIT
// One attempt at one backend server.
#ifndef VALELEDGE_GATEWAY_REQUEST_ATTEMPT_H_
#define VALELEDGE_GATEWAY_REQUEST_ATTEMPT_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>

#include "base/error.h"
#include "decisions/answer_check.h"
#include "gateway/process/grant_client.h"
#include "gateway/request/chat_request.h"
#include "net/http_client.h"

namespace valeledge::gateway {

// Takes one checked chunk; false if the caller is gone.
using chunk_sink =
    std::function<boost::asio::awaitable<bool>(const decisions::answer_chunk&)>;

// The part of a response that earlier attempts have passed on.
struct partial_response {
  std::int64_t tokens = 0;
  std::string text;
  std::string finish_reason;
};

// What one attempt needs beside its request.
struct attempt_context {
  const gateway_settings& settings;
  net::http_client& http;
  const grant& issued;
  // Set while an exchange is open, so that the caller's going away can end it.
  std::shared_ptr<net::http_exchange>& open;
};

// How an attempt ended: the error is that of the attempt, not yet the
// request's.
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
