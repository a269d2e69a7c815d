// SPDX-License-Identifier: MIT
// When a new holder of the lease may take the engines it knows for all there
// are.
//
// Servers write their first entries within one heartbeat of their start. With
// heartbeats of 5 s and 15 engines started together two were known after 0.9 s
// without a new one; the plan for these two gave away what the other 13 held.
#ifndef VALELEDGE_DECISIONS_ENGINE_DISCOVERY_H_
#define VALELEDGE_DECISIONS_ENGINE_DISCOVERY_H_

#include <chrono>

namespace valeledge::decisions {

struct discovery_state {
  // Since this host started, since its term began, and since the last new
  // engine.
  std::chrono::milliseconds since_start{0};
  std::chrono::milliseconds since_term{0};
  std::chrono::milliseconds since_last_new{0};
  // How often servers write their entries.
  std::chrono::milliseconds heartbeat{0};
};

bool IsDiscoveryComplete(const discovery_state& state);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_ENGINE_DISCOVERY_H_
