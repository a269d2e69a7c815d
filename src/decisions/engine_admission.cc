// SPDX-License-Identifier: MIT
#include "decisions/engine_admission.h"

#include <algorithm>

namespace valeledge::decisions {

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;

// A stream pauses while its engine reads other prompts. A request waits for an
// engine that has at most this part of the accepted pause to read before it: an
// event is a few steps long, and each may read one more prompt. Measured on
// high days: of streams sent behind 40 ms of reading 5% paused too long, behind
// 40 to 80 ms 24%.
constexpr double kMaxBacklogShare = 0.12;

// A request that is late already waits so long for its turn at the most: its
// caller gives a silent answer up after two seconds or more.
constexpr milliseconds kMaxLateWait{1000};

}  // namespace

admission_decision DecideAdmission(const engine_candidate& engine) {
  const milliseconds response_at = engine.waited + engine.response_in;
  if (engine.refusable && response_at > engine.objective)
    return admission_decision::kRefuse;
  const milliseconds excess_backlog =
      engine.prompt_backlog - engine.max_event_gap * kMaxBacklogShare;
  const milliseconds limit =
      engine.refusable ? milliseconds(engine.objective) : kMaxLateWait;
  // Waiting costs nothing as long as the answer begins in time all the same.
  const bool may_wait = response_at + engine.recheck_interval <= limit;
  return excess_backlog.count() > 0 && may_wait ? admission_decision::kWait
                                                : admission_decision::kSend;
}

}  // namespace valeledge::decisions
