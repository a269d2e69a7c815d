// SPDX-License-Identifier: MIT
// Decides when a new lease holder may assume that it knows all engines.
//
// Servers write their first entries within one heartbeat of their start. With a
// heartbeat of 5 s and 15 engines started together, 0.9 s without a new engine
// can pass when only two are known; a plan for these two reassigns the models
// that the other 13 hold.
#ifndef VALELEDGE_DECISIONS_ENGINE_DISCOVERY_H_
#define VALELEDGE_DECISIONS_ENGINE_DISCOVERY_H_

#include <chrono>

namespace valeledge::decisions {

struct discovery_state {
  // Time since this host started, since its term began, and since the last new
  // engine was discovered.
  std::chrono::milliseconds since_start{0};
  std::chrono::milliseconds since_term{0};
  std::chrono::milliseconds since_last_new{0};
  // Interval at which servers write their entries.
  std::chrono::milliseconds heartbeat{0};
};

bool IsDiscoveryComplete(const discovery_state& state);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_ENGINE_DISCOVERY_H_
