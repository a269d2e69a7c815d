// SPDX-License-Identifier: MIT
// Sends a request with quarantined prompt parts as a trial, if one is granted.
#ifndef VALELEDGE_HOST_REQUEST_PROMPT_TRIAL_H_
#define VALELEDGE_HOST_REQUEST_PROMPT_TRIAL_H_

#include <boost/asio/awaitable.hpp>

#include "host/process/host_core.h"
#include "host/request/routed_request.h"
#include "net/http_server.h"

namespace valeledge::host {

// Makes the request a trial if its prompt parts are quarantined, an engine that
// has not crashed recently holds its model, and a trial is granted. The request
// that asks for a trial waits for the reply: where the parts are requested
// seldom, no other request would come to this host in time.
boost::asio::awaitable<void> BeginTrialIfGranted(
    host_core& core,
    routed_request& routed,
    const net::http_responder& responder);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_REQUEST_PROMPT_TRIAL_H_
