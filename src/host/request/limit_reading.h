// SPDX-License-Identifier: MIT
// Reads the rate limit that a backend server advertises in a response.
#ifndef VALELEDGE_HOST_REQUEST_LIMIT_READING_H_
#define VALELEDGE_HOST_REQUEST_LIMIT_READING_H_

#include "base/duration.h"
#include "host/process/host_core.h"

namespace valeledge::host {

// Takes in the limit of one response, whose request was sent at `sent` and
// whose head has just been received; logs and counts each change.
void ReadLimit(host_core& core,
               known_server& server,
               const answer_head& response,
               base::time_point sent);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_REQUEST_LIMIT_READING_H_
