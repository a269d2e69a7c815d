// SPDX-License-Identifier: MIT
// Outcome of one attempt at a request, through any path.
#ifndef VALELEDGE_HOST_REQUEST_ATTEMPT_OUTCOME_H_
#define VALELEDGE_HOST_REQUEST_ATTEMPT_OUTCOME_H_

#include <memory>

#include "base/error.h"
#include "net/http_client.h"

namespace valeledge::host {

enum class attempt_outcome {
  // The caller has received the whole response, or has disconnected.
  kDone,
  // The server certainly did not run the request.
  kNotRun,
  // The request may have run, and the caller has no complete response.
  kUnknown,
  // The retry budget did not allow the attempt.
  kDenied,
};

// Outcome of an attempt whose caller disconnected before the response header
// arrived. What was not sent did not run, and is not charged.
attempt_outcome OutcomeWithoutCaller(
    const base::result<std::shared_ptr<net::http_exchange>>& opened);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_REQUEST_ATTEMPT_OUTCOME_H_
