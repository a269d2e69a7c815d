// SPDX-License-Identifier: MIT
#include "decisions/engine_admission.h"

#include <algorithm>

namespace valeledge::decisions {

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;

// A stream pauses while its engine reads other prompts. A request waits until
// the engine's prompt backlog is at most this share of the accepted pause: an
// event takes a few steps, and each step may read one more prompt. Under high
// load 5% of the streams sent behind up to 40 ms of backlog pause too long, and
// 24% of those behind 40 to 80 ms.
constexpr double kMaxBacklogShare = 0.12;

// Maximum wait of a request that is late and may not be refused: callers time
// out on a response without events after 2 s or more.
constexpr milliseconds kMaxLateWait{1000};

}  // namespace

admission_decision DecideAdmission(const engine_candidate& engine) {
  const milliseconds response_at = engine.waited + engine.response_in;
  if (engine.refusable && response_at > engine.objective)
    return admission_decision::kRefuse;
  const milliseconds excess_backlog =
      engine.prompt_backlog - engine.max_event_gap * kMaxBacklogShare;
  const milliseconds limit = engine.refusable || engine.patient
                                 ? milliseconds(engine.objective)
                                 : kMaxLateWait;
  // Waiting is harmless as long as the response still starts in time.
  const bool may_wait = response_at + engine.recheck_interval <= limit;
  return excess_backlog.count() > 0 && may_wait ? admission_decision::kWait
                                                : admission_decision::kSend;
}

}  // namespace valeledge::decisions
