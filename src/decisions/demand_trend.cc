// SPDX-License-Identifier: MIT
#include "decisions/demand_trend.h"

#include <algorithm>

namespace valeledge::decisions {

double ExpectedRise(const request_rates& rates,
                    std::chrono::milliseconds load_time) {
  // A smoothed rate lags behind a steady rise by its window.
  const std::chrono::duration<double> lag =
      rates.steady_window - rates.recent_window;
  const double risen = rates.recent - rates.steady;
  if (risen <= 0 || lag.count() <= 0)
    return 0;
  return risen * std::min(load_time / lag, 1.0);
}

}  // namespace valeledge::decisions
