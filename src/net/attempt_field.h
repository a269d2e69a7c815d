// SPDX-License-Identifier: MIT
// The id of a call to a backend server.
#ifndef VALELEDGE_NET_ATTEMPT_FIELD_H_
#define VALELEDGE_NET_ATTEMPT_FIELD_H_

#include <string_view>

namespace valeledge::net {

// Header field of requests of the gateway, the scheduler and the controller to
// backend servers. A server that repeats it in its responses gets further
// requests on the same connection.
inline constexpr std::string_view kAttemptField = "Valeledge-Attempt";

}  // namespace valeledge::net

#endif  // VALELEDGE_NET_ATTEMPT_FIELD_H_
