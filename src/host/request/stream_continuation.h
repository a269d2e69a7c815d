// SPDX-License-Identifier: MIT
// Keeps a stream at the service and software version that began it.
#ifndef VALELEDGE_HOST_REQUEST_STREAM_CONTINUATION_H_
#define VALELEDGE_HOST_REQUEST_STREAM_CONTINUATION_H_

#include <string>

#include <boost/asio/awaitable.hpp>

#include "base/error.h"
#include "host/request/routed_request.h"

namespace valeledge::host {

// The error with which a stream is refused that cannot go on; its caller can
// begin it anew at once.
base::error NotResumableError(std::string reason);

// Whether the caller has received a part of the stream and resumes it.
bool ResumesStream(const routed_request& routed);

// Restricts a stream that the caller resumes to the service and software
// version that began it. Returns an error if these are not certain, or if the
// route no longer leads to the service. Does nothing for other requests.
boost::asio::awaitable<base::result<void>> ContinueStream(
    host_core& core,
    routed_request& routed);

// Records that the first event of a response is passed on from a server of the
// given software version. Must be called before it is.
void RecordStreamBegun(host_core& core,
                       routed_request& routed,
                       const std::string& software);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_REQUEST_STREAM_CONTINUATION_H_
