// SPDX-License-Identifier: MIT
// Tells the log, the journal and the counters what happened to a request.
#ifndef VALELEDGE_GATEWAY_REQUEST_REQUEST_REPORTING_H_
#define VALELEDGE_GATEWAY_REQUEST_REQUEST_REPORTING_H_

#include <string>
#include <string_view>

#include "base/error.h"
#include "gateway/process/caller_frontend.h"
#include "gateway/request/chat_request.h"

namespace valeledge::gateway {

// An attempt at a backend server failed.
void ReportAttemptFailed(caller_frontend& frontend,
                         std::string_view category,
                         const request_common& common,
                         const grant& issued,
                         const base::error& failed);

// The request is given up on.
void ReportRefused(caller_frontend& frontend,
                   std::string_view category,
                   const request_common& common,
                   const base::error& failed);

// The request has its whole answer; `event` is "completed" or "replayed".
void ReportCompleted(caller_frontend& frontend,
                     const request_common& common,
                     const std::string& event,
                     const std::string& server);

}  // namespace valeledge::gateway

#endif  // VALELEDGE_GATEWAY_REQUEST_REQUEST_REPORTING_H_
