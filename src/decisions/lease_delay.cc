// SPDX-License-Identifier: MIT
#include "decisions/lease_delay.h"

#include <algorithm>

namespace valeledge::decisions {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// A host with one core waits this long at the most, a weaker one in proportion
// longer. The service answers in some milliseconds, and hosts that follow it
// see within about 20 that the lease is taken: half a core then comes 100 ms
// before a quarter, and that 100 ms before an eighth.
constexpr std::chrono::duration<double, std::milli> kOneCoreDelay{50};
constexpr milliseconds kMaxDelay{500};

// The part of a turn that is waited in any case.
constexpr double kMinDelayFraction = 0.5;

}  // namespace

milliseconds LeaseAcquireDelay(double cores, double jitter) {
  if (cores <= 0)
    return milliseconds(0);
  const double fraction = kMinDelayFraction + (1 - kMinDelayFraction) * jitter;
  const auto delay =
      duration_cast<milliseconds>(kOneCoreDelay / cores * fraction);
  return std::min(delay, kMaxDelay);
}

}  // namespace valeledge::decisions
