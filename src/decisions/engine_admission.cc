// SPDX-License-Identifier: MIT
#include "decisions/engine_admission.h"

#include <algorithm>

namespace valeledge::decisions {

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;

// A stream pauses while its engine reads other prompts. A request waits until
// the engine's prompt backlog is at most this share of the accepted pause: an
// event takes a few steps, and each step may read one more prompt.
constexpr double kMaxBacklogShare = 0.12;

}  // namespace

std::chrono::milliseconds ResponseLimit(const engine_candidate& engine) {
  return engine.refusable ? engine.objective
                          : std::max(engine.objective, engine.patience);
}

admission_decision DecideAdmission(const engine_candidate& engine) {
  const milliseconds response_at = engine.waited + engine.response_in;
  if (engine.refusable && response_at > engine.objective)
    return admission_decision::kRefuse;
  const milliseconds excess_backlog =
      engine.prompt_backlog - engine.max_event_gap * kMaxBacklogShare;
  // Waiting is harmless as long as the response still starts in time.
  const bool may_wait =
      response_at + engine.recheck_interval <= ResponseLimit(engine);
  return excess_backlog.count() > 0 && may_wait ? admission_decision::kWait
                                                : admission_decision::kSend;
}

}  // namespace valeledge::decisions
