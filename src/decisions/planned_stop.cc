// SPDX-License-Identifier: MIT
#include "decisions/planned_stop.h"

#include <algorithm>

namespace valeledge::decisions {

namespace {

using std::chrono::milliseconds;

// The load balancer needs two health checks, a second apart, to stop sending
// new connections. Callers that come until then are served if that is likely to
// end in time.
constexpr milliseconds kMaxTakingPeriod{2700};
constexpr int kTakingDivisor = 3;

// Callers use existing connections for longer.
constexpr milliseconds kMaxOpenPeriod{4200};

// Time before SIGKILL in which the last responses are written, and the part of
// it after which the process ends by itself.
constexpr milliseconds kMaxResponseMargin{600};
constexpr int kResponseMarginDivisor = 5;
constexpr int kEndMarginDivisor = 2;

}  // namespace

planned_stop PlanStop(planned_stop::time_point begin, milliseconds grace) {
  const milliseconds margin =
      std::min(kMaxResponseMargin, grace / kResponseMarginDivisor);
  planned_stop stop;
  stop.refuses_from =
      begin + std::min(kMaxTakingPeriod, grace / kTakingDivisor);
  stop.responds_at = begin + grace - margin;
  stop.closes_at = std::min(begin + kMaxOpenPeriod, stop.responds_at);
  stop.ends_at = begin + grace - margin / kEndMarginDivisor;
  return stop;
}

bool TakesRequest(const planned_stop& stop,
                  planned_stop::time_point deadline,
                  bool must_end,
                  planned_stop::time_point now) {
  if (deadline <= stop.responds_at)
    return true;
  return !must_end && now < stop.refuses_from;
}

}  // namespace valeledge::decisions
