// SPDX-License-Identifier: MIT
#include "host/process/waiting_demand.h"

namespace valeledge::host {

namespace {

// One host holds some ten thousand requests at most.
constexpr std::int32_t kMaxWaiting = 1'000'000;

bool IsValid(const wire::model_load& load) {
  return load.__isset.waiting && load.__isset.waiting_tokens &&
         load.__isset.earliest_deadline_ms && load.waiting >= 0 &&
         load.waiting <= kMaxWaiting && load.waiting_tokens >= 0 &&
         load.earliest_deadline_ms >= 0 &&
         load.earliest_deadline_ms <= kMaxReportedTimeLeft.count();
}

}  // namespace

std::int64_t DropInvalidWaiting(std::vector<wire::model_load>& loads) {
  std::int64_t dropped = 0;
  for (wire::model_load& each : loads) {
    const bool stated = each.__isset.waiting || each.__isset.waiting_tokens ||
                        each.__isset.earliest_deadline_ms;
    if (!stated || IsValid(each))
      continue;
    each.__isset.waiting = false;
    each.__isset.waiting_tokens = false;
    each.__isset.earliest_deadline_ms = false;
    ++dropped;
  }
  return dropped;
}

}  // namespace valeledge::host
