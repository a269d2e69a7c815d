// SPDX-License-Identifier: MIT
#include "decisions/retry_schedule.h"

#include <algorithm>

namespace valeledge::decisions {

namespace {

// Drops the windows that have passed and keeps one slot for each ahead.
void Advance(come_back_plan& plan, std::int64_t current) {
  const auto length = static_cast<std::size_t>(plan.horizon + 1);
  const std::int64_t passed = current - plan.first;
  if (plan.taken.size() != length || passed >= plan.horizon) {
    plan.taken.assign(length, 0);
  } else if (passed > 0) {
    std::rotate(plan.taken.begin(), plan.taken.begin() + passed,
                plan.taken.end());
    std::fill(plan.taken.end() - passed, plan.taken.end(), 0);
  }
  plan.first = std::max(plan.first, current);
}

}  // namespace

std::chrono::milliseconds TakePlace(come_back_plan& plan,
                                    base::time_point now,
                                    std::int64_t per_window,
                                    std::int64_t backlog) {
  const auto since_start =
      std::chrono::duration_cast<std::chrono::microseconds>(
          now.time_since_epoch());
  Advance(plan, since_start / plan.window);
  const std::int64_t places = std::max<std::int64_t>(per_window, 1);
  // The windows that the backlog fills are not offered.
  std::int64_t ahead =
      std::min(plan.horizon, 1 + std::max<std::int64_t>(backlog, 0) / places);
  auto taken = [&](std::int64_t window) -> std::int64_t& {
    return plan.taken[static_cast<std::size_t>(window)];
  };
  while (ahead < plan.horizon && taken(ahead) >= places)
    ++ahead;
  const std::int64_t place = taken(ahead)++;
  const auto inside = plan.window * std::min(place, places - 1) / places;
  const auto at = (plan.first + ahead) * plan.window + inside;
  return std::chrono::ceil<std::chrono::milliseconds>(at - since_start);
}

}  // namespace valeledge::decisions
