// SPDX-License-Identifier: MIT
// The last check of a request before it is written to a backend server. The
// server may have become unavailable while the request waited for a connection.
#ifndef VALELEDGE_HOST_REQUEST_SEND_CHECK_H_
#define VALELEDGE_HOST_REQUEST_SEND_CHECK_H_

#include "base/error.h"
#include "host/process/host_core.h"

namespace valeledge::host {

// Returns an error if the server must get no requests now.
base::result<void> CheckSend(host_core& core, const known_server& server);

// Whether an error of an attempt is one of CheckSend() or of a quarantine: no
// server was reached.
bool WasWithheld(const base::error& failed);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_REQUEST_SEND_CHECK_H_
