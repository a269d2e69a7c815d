// SPDX-License-Identifier: MIT
// Time-outs of the attempts at one request: a fixed one for the response
// header, or an adaptive one of an attempt_watch.
#ifndef VALELEDGE_HOST_REQUEST_ATTEMPT_TIMEOUTS_H_
#define VALELEDGE_HOST_REQUEST_ATTEMPT_TIMEOUTS_H_

#include <chrono>
#include <memory>

#include "host/request/attempt_watch.h"
#include "host/request/request_state.h"
#include "net/http_client.h"

namespace valeledge::host {

// Whether another attempt may follow the present one if that may have run. Only
// the host that received the request from its caller decides that: it cannot
// know the attempts of another host that does not respond.
bool MayRepeatAttempt(const request_state& state);

// Returns how long an attempt waits for the header of its response.
std::chrono::milliseconds HeaderTimeout(const request_state& state);

// Begins to watch an attempt, if its request has an adaptive time-out.
void WatchAttempt(request_state& state, watched_attempt attempt);

// The request is about to be written.
void StartWatch(request_state& state);

// Notes in the last error that the watch has ended the attempt.
void ExplainAbandoned(request_state& state);

// The header of a response has arrived.
void WatchBody(request_state& state,
               const std::shared_ptr<net::http_exchange>& exchange);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_REQUEST_ATTEMPT_TIMEOUTS_H_
