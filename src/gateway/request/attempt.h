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
#include "decisions/response_check.h"
#include "gateway/process/grant_client.h"
#include "gateway/request/chat_request.h"
#include "net/http_client.h"

namespace valeledge::gateway {

// Takes one checked chunk; false if the caller is gone.
using chunk_sink = std::function<boost::asio::awaitable<bool>(
    const decisions::response_chunk&)>;

// The part of an answer that earlier attempts have passed on.
struct answer_so_far {
  std::int64_t tokens = 0;
  std::string text;
  std::string finish_reason;
};

// What one attempt needs beside its request.
struct attempt_frame {
  const gateway_settings& settings;
  net::http_client& http;
  const grant& given;
  // Set while an exchange is open, so that the caller's going away can end it.
  std::shared_ptr<net::http_exchange>& open;
};

// How an attempt ended: the error is that of the attempt, not yet the
// request's.
struct attempt_end {
  base::result<void> ended;
  attempt_result told;
};

// Sends the request, resuming after what `answer` holds, and passes each chunk
// of its own answer on, in order and whole. Ends well only if the answer's end
// marker came.
boost::asio::awaitable<attempt_end> RunChatAttempt(const chat_request& request,
                                                   attempt_frame frame,
                                                   answer_so_far& answer,
                                                   const chunk_sink& sink);

// True for an answer by which a backend server says that it did not run the
// request: 429 or 503.
bool IsRefusal(unsigned status);

}  // namespace valeledge::gateway

#endif  // VALELEDGE_GATEWAY_REQUEST_ATTEMPT_H_
