// SPDX-License-Identifier: MIT
// When a refused caller should come back: a reserved place in a later window,
// so that those refused together do not return together.
#ifndef VALELEDGE_DECISIONS_RETRY_SCHEDULE_H_
#define VALELEDGE_DECISIONS_RETRY_SCHEDULE_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "base/duration.h"

namespace valeledge::decisions {

// Windows of places. The idea of handing out places in future windows and of
// a longest delay is from "Distributed Drip Rate-Limiter for Event Streams";
// docs/design/COME-BACK.md compares it with a constant and a random time.
struct retry_schedule {
  std::chrono::microseconds window = std::chrono::seconds(1);
  // No place lies further ahead than this many windows.
  std::int64_t horizon = 30;
  // Places taken in each window, from `first_window` on.
  std::vector<std::int64_t> taken;
  std::int64_t first_window = 0;
};

// Takes the next place and tells how long from `now` it lies. `per_window` is
// what can be served in one window; `backlog` is what waits already. A full
// horizon answers its end.
std::chrono::milliseconds ReserveRetrySlot(retry_schedule& schedule,
                                           base::time_point now,
                                           std::int64_t per_window,
                                           std::int64_t backlog);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_RETRY_SCHEDULE_H_
