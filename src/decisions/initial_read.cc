// SPDX-License-Identifier: MIT
#include "decisions/initial_read.h"

namespace valeledge::decisions {

bool ShouldReadFirst(const first_reading& host) {
  if (host.since_start < kOthersKnown)
    return false;
  if (host.chosen || !host.knows_others)
    return true;
  return host.since_start >= kFirstCopyDue + kFirstCopyDue * host.draw;
}

}  // namespace valeledge::decisions
