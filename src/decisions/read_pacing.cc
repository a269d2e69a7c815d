// SPDX-License-Identifier: MIT
#include "decisions/read_pacing.h"

#include <cmath>

namespace valeledge::decisions {

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;

// About the pause that streams tolerate.
constexpr milliseconds kDecayTime{250};

// Weight of recent prompt processing relative to outstanding prompt processing.
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
