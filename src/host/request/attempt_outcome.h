// SPDX-License-Identifier: MIT
// Outcome of one attempt at a request, through any path.
#ifndef VALELEDGE_HOST_REQUEST_ATTEMPT_OUTCOME_H_
#define VALELEDGE_HOST_REQUEST_ATTEMPT_OUTCOME_H_

#include <memory>
#include <string_view>

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

// What shows that an attempt has not run its request and never will.
enum class not_run_evidence {
  // A check that failed right before the request would have been sent.
  kWithheld,
  // An error before any byte of the request was written.
  kNotSent,
  // A refusal of the server that names the request.
  kRefusal,
  // A response of the server that names the request and says only that it was
  // meant for another one.
  kMisdirected,
  // The statement of the host that relays the request.
  kPeerStatement,
};

// Returns the name of the value in metrics and log lines.
std::string_view NameOf(not_run_evidence evidence);

// Outcome of an attempt whose caller disconnected before the response header
// arrived. What was not sent did not run, and is not charged.
attempt_outcome OutcomeWithoutCaller(
    const base::result<std::shared_ptr<net::http_exchange>>& opened);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_REQUEST_ATTEMPT_OUTCOME_H_
