// SPDX-License-Identifier: MIT
#include "decisions/server_notices.h"

#include <algorithm>

namespace valeledge::decisions {

notice_changes Observe(server_notices& known, const response_notice& seen) {
  notice_changes changes;
  if (seen.is_leaving && !known.leaving_since) {
    known.leaving_since = seen.received;
    changes.started_leaving = true;
  }
  if (!seen.backoff || seen.backoff->count() <= 0)
    return changes;
  changes.started_backoff = !IsBackingOff(known, seen.received);
  known.backoff_until =
      std::max(known.backoff_until, seen.received + *seen.backoff);
  return changes;
}

bool IsBackingOff(const server_notices& known, base::time_point now) {
  return now < known.backoff_until;
}

}  // namespace valeledge::decisions
