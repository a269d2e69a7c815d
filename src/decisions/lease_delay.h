// SPDX-License-Identifier: MIT
// Delay before a host tries to acquire a free lease, shorter for hosts with
// more cores.
//
// All hosts of a fleet start together and find the lease free at the same
// moment. Without a delay each of 295 hosts made four calls to the key-value
// service only to find that another was first, and a host with an eighth of a
// core on a link of 20 Mbit/s was as likely to plan for 240 engines, and to
// notify 294 hosts, as the host with the most cores.
#ifndef VALELEDGE_DECISIONS_LEASE_DELAY_H_
#define VALELEDGE_DECISIONS_LEASE_DELAY_H_

#include <chrono>

namespace valeledge::decisions {

// Returns the delay of a host with this number of cores (0: not known).
// `jitter`, from 0 to 1, spreads hosts with the same number of cores.
std::chrono::milliseconds LeaseAcquireDelay(double cores, double jitter);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_LEASE_DELAY_H_
