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
constexpr double kReadingAheadPart = 0.12;

// A request that is late already waits so long for its turn at the most: its
// caller gives a silent answer up after two seconds or more.
constexpr milliseconds kLongestTurn{1000};

}  // namespace

turn_decision DecideTurn(const engine_turn& turn) {
  const milliseconds begins = turn.waited + turn.answers_in;
  if (turn.refusable && begins > turn.objective)
    return turn_decision::kRefuse;
  const milliseconds over =
      turn.reading_ahead - turn.event_gap * kReadingAheadPart;
  const milliseconds limit =
      turn.refusable ? milliseconds(turn.objective) : kLongestTurn;
  // Waiting costs nothing as long as the answer begins in time all the same.
  const bool may_wait = begins + turn.look_again <= limit;
  return over.count() > 0 && may_wait ? turn_decision::kWait
                                      : turn_decision::kSend;
}

}  // namespace valeledge::decisions
