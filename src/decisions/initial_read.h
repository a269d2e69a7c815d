// SPDX-License-Identifier: MIT
// Whether a host that has just started reads the whole key-value service, or
// waits for another host's copy.
//
// All hosts of a fleet start together. If each reads, the calls and the bytes
// of a start grow with hosts times keys: beside 4,000 backend servers each host
// made ten calls and took 1.4 MB. If those read that are chosen among the hosts
// they know by then, and the others take copies, calls grow with availability
// zones.
#ifndef VALELEDGE_DECISIONS_INITIAL_READ_H_
#define VALELEDGE_DECISIONS_INITIAL_READ_H_

#include <chrono>

namespace valeledge::decisions {

// Hosts know most others of their availability zone so long after they have
// started together.
inline constexpr std::chrono::milliseconds kPeerDiscoveryTime{400};

// A host without a copy so long after its start reads for itself, spread over
// as long again: those that were chosen may have ended.
inline constexpr std::chrono::milliseconds kInitialSnapshotTimeout{1500};

// A host that has no copy of the key-value service yet.
struct initial_read {
  std::chrono::milliseconds since_start{0};
  // It is one of those that read for its availability zone, among the hosts
  // that it knows.
  bool chosen = false;
  bool knows_peers = false;
  // Spreads hosts that read for themselves, from 0 to 1.
  double jitter = 0;
};

bool ShouldStartInitialRead(const initial_read& host);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_INITIAL_READ_H_
