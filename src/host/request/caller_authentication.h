// SPDX-License-Identifier: MIT
// Authentication of callers by API key.
#ifndef VALELEDGE_HOST_REQUEST_CALLER_AUTHENTICATION_H_
#define VALELEDGE_HOST_REQUEST_CALLER_AUTHENTICATION_H_

#include <optional>

#include "base/error.h"
#include "host/process/host_core.h"
#include "host/request/routed_request.h"

namespace valeledge::host {

// Sets the workspace of a routed request if its route requires one. Returns an
// error if the request must be refused: no workspace has its key (kUnknownKey),
// or the key data of this host is not fresh enough to decide (kKeyNotCertain).
// Call for each request, also on connections that were opened while the key was
// valid.
std::optional<base::error> AuthenticateCaller(const host_core& core,
                                              routed_request& routed);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_REQUEST_CALLER_AUTHENTICATION_H_
