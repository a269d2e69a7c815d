// SPDX-License-Identifier: MIT
// The demand that a model is expected to have once a replica that is ordered
// now has been loaded, from how its own requests have risen.
#ifndef VALELEDGE_DECISIONS_DEMAND_TREND_H_
#define VALELEDGE_DECISIONS_DEMAND_TREND_H_

#include <chrono>

namespace valeledge::decisions {

// Requests per second for one model, smoothed over a short and a long window.
struct request_rates {
  double recent = 0;
  double steady = 0;
  std::chrono::duration<double> recent_window{0};
  std::chrono::duration<double> steady_window{0};
};

// Returns the requests per second by which the rate is expected to have risen
// after `load_time`; 0 if it does not rise. It rises by no more than it has
// risen within the long window.
double ExpectedRise(const request_rates& rates,
                    std::chrono::milliseconds load_time);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_DEMAND_TREND_H_
