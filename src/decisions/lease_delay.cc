// SPDX-License-Identifier: MIT
#include "decisions/lease_delay.h"

#include <algorithm>

namespace valeledge::decisions {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Maximum delay of a host with one core; it grows in inverse proportion to the
// number of cores. The service responds within milliseconds, and hosts that
// follow it see within about 20 ms that the lease is taken. The delays of hosts
// with half, a quarter and an eighth of a core are 50 to 100, 100 to 200 and
// 200 to 400 ms.
constexpr std::chrono::duration<double, std::milli> kOneCoreDelay{50};
constexpr milliseconds kMaxDelay{500};

// Fraction of the delay that is not subject to jitter.
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
