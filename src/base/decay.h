// SPDX-License-Identifier: MIT
// Exponential decay, for rates and levels that are averaged over a time
// constant.
#ifndef VALELEDGE_BASE_DECAY_H_
#define VALELEDGE_BASE_DECAY_H_

#include <chrono>
#include <cmath>

namespace valeledge::base {

// Returns the part of a value that is left after `passed`: 1 at first, 1/e
// after `time_constant`. A negative time, as between two clocks that are read
// in the wrong order, changes nothing.
template <class Rep1, class Period1, class Rep2, class Period2>
double DecayFactor(std::chrono::duration<Rep1, Period1> passed,
                   std::chrono::duration<Rep2, Period2> time_constant) {
  const std::chrono::duration<double> time = passed;
  const std::chrono::duration<double> constant = time_constant;
  return time.count() > 0 ? std::exp(-(time / constant)) : 1;
}

}  // namespace valeledge::base

#endif  // VALELEDGE_BASE_DECAY_H_
