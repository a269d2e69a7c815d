// SPDX-License-Identifier: MIT
#include "decisions/engine_settling.h"

#include <algorithm>

namespace valeledge::decisions {

namespace {

using std::chrono::milliseconds;

// Without a new engine for so long all are taken to be known, and after so
// long in any case.
constexpr milliseconds kPause{900};
constexpr milliseconds kLongest{4000};

}  // namespace

bool AreAllKnown(const engine_view& view) {
  // A host that has been there for longer knows them from their entries.
  const bool young = view.since_start < view.heartbeat + kLongest;
  const milliseconds pause = young ? view.heartbeat / 2 : milliseconds(0);
  const milliseconds longest =
      young ? view.heartbeat + kPause : milliseconds(0);
  return view.since_new >= std::max(pause, kPause) ||
         view.since_term >= std::max(longest, kLongest);
}

}  // namespace valeledge::decisions
