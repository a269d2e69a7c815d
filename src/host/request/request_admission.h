// SPDX-License-Identifier: MIT
// Admission of a request: its route, its caller, its stream, quarantines, and
// the limit of its workspace.
#ifndef VALELEDGE_HOST_REQUEST_REQUEST_ADMISSION_H_
#define VALELEDGE_HOST_REQUEST_REQUEST_ADMISSION_H_

#include <boost/asio/awaitable.hpp>

#include "base/error.h"
#include "host/request/request_state.h"

namespace valeledge::host {

// Routes the request, decides whether it may be sent to servers, and charges it
// to the limit of its workspace. Returns the error with which it is refused.
boost::asio::awaitable<base::result<void>> AdmitRequest(request_state& state);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_REQUEST_REQUEST_ADMISSION_H_
