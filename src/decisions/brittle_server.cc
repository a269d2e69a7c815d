// SPDX-License-Identifier: MIT
#include "decisions/brittle_server.h"

#include <algorithm>

namespace valeledge::decisions {

namespace {

// Rejections are counted over one second.
constexpr std::chrono::duration<double> kMinPause{1.0};
// Bounds the time for which a large fleet leaves a server with room unused.
constexpr std::chrono::duration<double> kMaxPause{10.0};

// Slots that are left free for requests that other hosts have on their way.
constexpr std::int64_t kReservedSlots = 1;

}  // namespace

std::chrono::milliseconds BrittlePause(double rejections_per_second,
                                       std::int64_t hosts,
                                       double jitter) {
  const std::chrono::duration<double> spread(
      static_cast<double>(hosts) / std::max(rejections_per_second, 1.0));
  const auto pause = std::min(kMinPause + spread, kMaxPause);
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      kMinPause + (pause - kMinPause) * jitter);
}

std::int64_t BrittleSlots(std::int64_t slots) {
  return std::max<std::int64_t>(slots - kReservedSlots, 1);
}

}  // namespace valeledge::decisions
