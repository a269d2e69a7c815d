// SPDX-License-Identifier: MIT
#include "decisions/read_pacing.h"

#include <cmath>

namespace valeledge::decisions {

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;

// Reading is forgotten over about the pause that streams accept.
constexpr milliseconds kWindow{250};

// Reading of late counts for this part of reading that is still to be done.
constexpr double kPausePart = 0.5;

milliseconds LevelAt(const reading_pace& pace, base::time_point now) {
  const milliseconds passed = now - pace.at;
  return pace.level * std::exp(-(passed / kWindow));
}

}  // namespace

void AddReading(reading_pace& pace,
                milliseconds reading,
                base::time_point now) {
  pace.level = LevelAt(pace, now) + reading;
  pace.at = now;
}

milliseconds PauseCost(const reading_pace& pace, base::time_point now) {
  return LevelAt(pace, now) * kPausePart;
}

}  // namespace valeledge::decisions
