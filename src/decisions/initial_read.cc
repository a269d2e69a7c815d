// SPDX-License-Identifier: MIT
#include "decisions/initial_read.h"

namespace valeledge::decisions {

bool ShouldStartInitialRead(const initial_read& host) {
  if (host.since_start < kPeerDiscoveryTime)
    return false;
  if (host.chosen || !host.knows_peers)
    return true;
  return host.since_start >=
         kInitialSnapshotTimeout + kInitialSnapshotTimeout * host.jitter;
}

}  // namespace valeledge::decisions
