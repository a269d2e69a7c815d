// SPDX-License-Identifier: MIT
#include "decisions/engine_discovery.h"

#include <algorithm>

namespace valeledge::decisions {

namespace {

using std::chrono::milliseconds;

// Without a new engine for so long all are taken to be known, and after so
// long in any case.
constexpr milliseconds kQuietPeriod{900};
constexpr milliseconds kMaxDiscoveryTime{4000};

}  // namespace

bool IsDiscoveryComplete(const discovery_state& state) {
  // A host that has been there for longer knows them from their entries.
  const bool recently_started =
      state.since_start < state.heartbeat + kMaxDiscoveryTime;
  const milliseconds quiet_period =
      recently_started ? state.heartbeat / 2 : milliseconds(0);
  const milliseconds max_time =
      recently_started ? state.heartbeat + kQuietPeriod : milliseconds(0);
  return state.since_last_new >= std::max(quiet_period, kQuietPeriod) ||
         state.since_term >= std::max(max_time, kMaxDiscoveryTime);
}

}  // namespace valeledge::decisions
