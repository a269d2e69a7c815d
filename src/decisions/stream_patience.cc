// SPDX-License-Identifier: MIT
#include "decisions/stream_patience.h"

#include <algorithm>

namespace valeledge::decisions {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Callers wait for the longest of these.
constexpr milliseconds kMinPatience{2000};
constexpr int kPatienceObjectives = 4;
constexpr int kPatienceEventGaps = 8;

constexpr double kWaitShare = 0.8;

}  // namespace

milliseconds CallerPatience(milliseconds objective, milliseconds event_gap) {
  return std::max({kMinPatience, objective * kPatienceObjectives,
                   event_gap * kPatienceEventGaps});
}

milliseconds MaxResumeWait(milliseconds limit) {
  return duration_cast<milliseconds>(limit * kWaitShare);
}

}  // namespace valeledge::decisions
