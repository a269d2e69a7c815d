// SPDX-License-Identifier: MIT
// Keys of soft records that have one owner in the whole system.
#ifndef VALELEDGE_MEMBERSHIP_CONSTANTS_H_
#define VALELEDGE_MEMBERSHIP_CONSTANTS_H_

#include <string_view>

namespace valeledge::membership {

// "ADDRESS TERM" of the controller that holds the lease.
inline constexpr std::string_view kControllerRecord = "controller/leader";

// IP numbers that the platform's host list calls leaving, one a line.
inline constexpr std::string_view kLeavingHostsRecord = "hosts/leaving";

}  // namespace valeledge::membership

#endif  // VALELEDGE_MEMBERSHIP_CONSTANTS_H_
