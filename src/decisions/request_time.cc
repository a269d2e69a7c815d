// SPDX-License-Identifier: MIT
#include "decisions/request_time.h"

#include <algorithm>

namespace valeledge::decisions {

using std::chrono::milliseconds;

milliseconds MaxHonouredDelay(milliseconds left) {
  return std::chrono::duration_cast<milliseconds>(
      std::max(left, milliseconds(0)) * kHonouredDelayShare);
}

bool CanRetryInTime(const request_time& time) {
  const milliseconds left = time.until_deadline;
  return left - MaxHonouredDelay(left) >= time.objective;
}

milliseconds MaxWait(const request_time& time) {
  const milliseconds limit =
      CanRetryInTime(time) ? std::min(time.until_objective, time.until_deadline)
                           : time.until_deadline;
  const auto wait = std::chrono::duration_cast<milliseconds>(limit - time.work);
  return std::max(wait, milliseconds(0));
}

}  // namespace valeledge::decisions
