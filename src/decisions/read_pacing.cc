// SPDX-License-Identifier: MIT
#include "decisions/read_pacing.h"

#include <cmath>

namespace valeledge::decisions {

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;

// Reading is forgotten over about the pause that streams accept.
constexpr milliseconds kDecayTime{250};

// Reading of late counts for this part of reading that is still to be done.
constexpr double kRecentReadWeight = 0.5;

milliseconds LevelAt(const read_pacing& pacing, base::time_point now) {
  const milliseconds passed = now - pacing.at;
  return pacing.level * std::exp(-(passed / kDecayTime));
}

}  // namespace

void AddPromptRead(read_pacing& pacing,
                   milliseconds read_time,
                   base::time_point now) {
  pacing.level = LevelAt(pacing, now) + read_time;
  pacing.at = now;
}

milliseconds PauseCost(const read_pacing& pacing, base::time_point now) {
  return LevelAt(pacing, now) * kRecentReadWeight;
}

}  // namespace valeledge::decisions
