// SPDX-License-Identifier: MIT
#include "decisions/read_pacing.h"

#include "base/decay.h"

namespace valeledge::decisions {

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;

// About the pause that streams tolerate.
constexpr milliseconds kDecayTime{250};

// Weight of recent prompt processing relative to outstanding prompt processing.
constexpr double kRecentReadWeight = 0.5;

milliseconds LevelAt(const read_pacing& pacing, base::time_point now) {
  return pacing.level * base::DecayFactor(now - pacing.at, kDecayTime);
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
