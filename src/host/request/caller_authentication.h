// SPDX-License-Identifier: MIT
// Whose request it is, and whether its caller may make it.
#ifndef VALELEDGE_HOST_REQUEST_CALLER_AUTHENTICATION_H_
#define VALELEDGE_HOST_REQUEST_CALLER_AUTHENTICATION_H_

#include <optional>

#include "base/error.h"
#include "host/process/host_core.h"
#include "host/request/routed_request.h"

namespace valeledge::host {

// Finds the workspace of a routed request, if its route needs one, and sets it
// there. Otherwise why the request is refused: nobody has its key (kUnknownKey)
// or this host cannot tell now (kKeyNotCertain). Asked for each request, also
// on connections that are open since a key was good.
std::optional<base::error> AuthenticateCaller(const host_core& core,
                                              routed_request& routed);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_REQUEST_CALLER_AUTHENTICATION_H_
