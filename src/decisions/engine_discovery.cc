// SPDX-License-Identifier: MIT
#include "decisions/engine_discovery.h"

#include <algorithm>

namespace valeledge::decisions {

namespace {

using std::chrono::milliseconds;

// Discovery is complete after this time without a new engine, and after the
// maximum in any case.
constexpr milliseconds kQuietPeriod{900};
constexpr milliseconds kMaxDiscoveryTime{4000};

}  // namespace

bool IsDiscoveryComplete(const discovery_state& state) {
  // A host that has run for longer has seen the entries of all engines.
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
