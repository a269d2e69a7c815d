// SPDX-License-Identifier: MIT
// Keys of soft-state records that have a single owner in the whole system.
#ifndef VALELEDGE_MEMBERSHIP_CONSTANTS_H_
#define VALELEDGE_MEMBERSHIP_CONSTANTS_H_

#include <string_view>

namespace valeledge::membership {

// Value: "ADDRESS TERM" of the controller that holds the lease.
inline constexpr std::string_view kControllerRecord = "controller/leader";

// Value: IP addresses that the platform's host list marks as leaving, one per
// line.
inline constexpr std::string_view kLeavingHostsRecord = "hosts/leaving";

}  // namespace valeledge::membership

#endif  // VALELEDGE_MEMBERSHIP_CONSTANTS_H_
