// SPDX-License-Identifier: MIT
#include "decisions/advertised_limit.h"

#include <algorithm>
#include <utility>

namespace valeledge::decisions {

limit_change Observe(std::optional<advertised_limit>& known,
                     const limit_observation& seen) {
  if (!known) {
    if (!seen.rate)
      return limit_change::kNone;
    known = {*seen.rate, seen.received};
    return limit_change::kAdvertised;
  }
  const bool is_newer = seen.sent > known->received;
  if (!seen.rate) {
    if (!is_newer)
      return limit_change::kNone;
    known.reset();
    return limit_change::kWithdrawn;
  }
  const double before = known->rate;
  known->rate = is_newer ? *seen.rate : std::min(before, *seen.rate);
  known->received = std::max(known->received, seen.received);
  return known->rate == before ? limit_change::kNone : limit_change::kChanged;
}

}  // namespace valeledge::decisions
