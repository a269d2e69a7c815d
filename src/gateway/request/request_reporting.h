// SPDX-License-Identifier: MIT
// Records events of requests in the log, the journal and the metrics.
#ifndef VALELEDGE_GATEWAY_REQUEST_REQUEST_REPORTING_H_
#define VALELEDGE_GATEWAY_REQUEST_REQUEST_REPORTING_H_

#include <string>
#include <string_view>

#include "base/error.h"
#include "gateway/process/caller_frontend.h"
#include "gateway/request/chat_request.h"

namespace valeledge::gateway {

// Reports a failed attempt at a backend server.
void ReportAttemptFailed(caller_frontend& frontend,
                         std::string_view category,
                         const request_common& common,
                         const grant& issued,
                         const base::error& failed);

// Reports the final failure of a request.
void ReportRefused(caller_frontend& frontend,
                   std::string_view category,
                   const request_common& common,
                   const base::error& failed);

// Reports a complete response; `event` is "completed" or "replayed".
void ReportCompleted(caller_frontend& frontend,
                     const request_common& common,
                     const std::string& event,
                     const std::string& server);

}  // namespace valeledge::gateway

#endif  // VALELEDGE_GATEWAY_REQUEST_REQUEST_REPORTING_H_
