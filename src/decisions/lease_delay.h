// SPDX-License-Identifier: MIT
// In which order hosts try to take a lease that nobody holds. All hosts of a
// fleet start together and find it free at the same moment: without an order
// each of 295 made four calls to the key-value service to find that another was
// first, and a host with an eighth of a core on a link of 20 Mbit/s was as
// likely to plan for 240 engines, and to tell 294 hosts, as the strongest.
#ifndef VALELEDGE_DECISIONS_LEASE_DELAY_H_
#define VALELEDGE_DECISIONS_LEASE_DELAY_H_

#include <chrono>

namespace valeledge::decisions {

// How long a host with so many cores (0: not known) waits before it tries.
// `draw`, from 0 to 1, spreads hosts that are equally strong.
std::chrono::milliseconds LeaseAcquireDelay(double cores, double jitter);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_LEASE_DELAY_H_
