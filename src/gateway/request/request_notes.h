// SPDX-License-Identifier: MIT
// Tells the log, the journal and the counters what happened to a request.
#ifndef VALELEDGE_GATEWAY_REQUEST_REQUEST_NOTES_H_
#define VALELEDGE_GATEWAY_REQUEST_REQUEST_NOTES_H_

#include <string>
#include <string_view>

#include "base/error.h"
#include "gateway/process/caller_front.h"
#include "gateway/request/chat_request.h"

namespace valeledge::gateway {

// An attempt at a backend server failed.
void NoteAttemptFailed(caller_front& front,
                       std::string_view category,
                       const request_frame& frame,
                       const grant& given,
                       const base::error& failed);

// The request is given up on.
void NoteRefused(caller_front& front,
                 std::string_view category,
                 const request_frame& frame,
                 const base::error& failed);

// The request has its whole answer; `event` is "completed" or "replayed".
void NoteAnswered(caller_front& front,
                  const request_frame& frame,
                  const std::string& event,
                  const std::string& server);

}  // namespace valeledge::gateway

#endif  // VALELEDGE_GATEWAY_REQUEST_REQUEST_NOTES_H_
