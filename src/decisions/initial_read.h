// SPDX-License-Identifier: MIT
// Whether a host that has just started reads the whole key-value service, or
// waits for a snapshot from another host.
//
// All hosts of a fleet start together. If each of them reads, calls and bytes
// grow with the number of hosts times the number of keys: with 4,000 backend
// servers each host made ten calls and received 1.4 MB. If only the hosts
// chosen among those known by then read, and the others fetch snapshots, calls
// grow with the number of availability zones.
#ifndef VALELEDGE_DECISIONS_INITIAL_READ_H_
#define VALELEDGE_DECISIONS_INITIAL_READ_H_

#include <chrono>

namespace valeledge::decisions {

// Time after a common start within which hosts discover most others of their
// availability zone.
inline constexpr std::chrono::milliseconds kPeerDiscoveryTime{400};

// A host without a snapshot after this time reads for itself, with a random
// delay of up to the same time again, since the chosen hosts may have stopped.
inline constexpr std::chrono::milliseconds kInitialSnapshotTimeout{1500};

// A host that has no data of the key-value service yet.
struct initial_read {
  std::chrono::milliseconds since_start{0};
  // Whether this host reads for its availability zone, chosen among the hosts
  // that it knows.
  bool chosen = false;
  bool knows_peers = false;
  // From 0 to 1; spreads the hosts that read for themselves.
  double jitter = 0;
};

bool ShouldStartInitialRead(const initial_read& host);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_INITIAL_READ_H_
