// SPDX-License-Identifier: MIT
// Which lines of a busy process are written: a bounded number a second, with
// trouble kept longest.
#ifndef VALELEDGE_BASE_LOG_BUDGET_H_
#define VALELEDGE_BASE_LOG_BUDGET_H_

#include <cstdint>

#include "base/duration.h"

namespace valeledge::base {

// What a line is about.
enum class log_weight {
  // A request that goes as it should.
  kOrdinary,
  // A refusal or a failure.
  kTrouble,
};

// Lines of one process. Changed by TakeLine.
struct log_budget {
  std::int64_t lines_per_second = 150;
  time_point second_began;
  std::int64_t written = 0;
  // Lines that were not written since the last TakeLeftOut.
  std::int64_t left_out = 0;
};

// Whether a line about the request with this hash is written. Beyond half of
// the budget ordinary lines are written for one request in eight, the same
// ones at every host; beyond all of it only trouble is, up to twice the
// budget.
bool TakeLine(log_budget& budget,
              log_weight weight,
              std::uint64_t request_hash,
              time_point now);

// Lines that were left out since the last call.
std::int64_t TakeLeftOut(log_budget& budget);

}  // namespace valeledge::base

#endif  // VALELEDGE_BASE_LOG_BUDGET_H_
