// SPDX-License-Identifier: MIT
// Retry-after delays for refused callers. Each caller gets a reserved slot in a
// later window, so that callers that were refused together do not retry
// together.
#ifndef VALELEDGE_DECISIONS_RETRY_SCHEDULE_H_
#define VALELEDGE_DECISIONS_RETRY_SCHEDULE_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "base/duration.h"

namespace valeledge::decisions {

// Slots in consecutive time windows. Allocating slots in future windows and
// limiting the delay follow "Distributed Drip Rate-Limiter for Event Streams";
// docs/design/COME-BACK.md compares the schedule with a constant and a random
// delay.
struct retry_schedule {
  std::chrono::microseconds window = std::chrono::seconds(1);
  // Maximum number of windows by which a slot lies ahead.
  std::int64_t horizon = 30;
  // Slots reserved in each window, starting at `first_window`.
  std::vector<std::int64_t> taken;
  std::int64_t first_window = 0;
};

// Reserves the next slot and returns the time from `now` until that slot.
// `per_window` is the number of requests that one window can serve; `backlog`
// is the number of requests already queued. If no window has a free slot,
// returns the end of the horizon.
std::chrono::milliseconds ReserveRetrySlot(retry_schedule& schedule,
                                           base::time_point now,
                                           std::int64_t per_window,
                                           std::int64_t backlog);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_RETRY_SCHEDULE_H_
