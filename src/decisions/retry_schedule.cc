// SPDX-License-Identifier: MIT
#include "decisions/retry_schedule.h"

#include <algorithm>

namespace valeledge::decisions {

namespace {

// Discards the windows that have passed and keeps one entry for each window up
// to the horizon.
void DropPassedWindows(retry_schedule& schedule, std::int64_t current) {
  const auto length = static_cast<std::size_t>(schedule.horizon + 1);
  const std::int64_t passed = current - schedule.first_window;
  if (schedule.taken.size() != length || passed >= schedule.horizon) {
    schedule.taken.assign(length, 0);
  } else if (passed > 0) {
    std::rotate(schedule.taken.begin(), schedule.taken.begin() + passed,
                schedule.taken.end());
    std::fill(schedule.taken.end() - passed, schedule.taken.end(), 0);
  }
  schedule.first_window = std::max(schedule.first_window, current);
}

}  // namespace

std::chrono::milliseconds ReserveRetrySlot(retry_schedule& schedule,
                                           base::time_point now,
                                           std::int64_t per_window,
                                           std::int64_t backlog) {
  const auto since_start =
      std::chrono::duration_cast<std::chrono::microseconds>(
          now.time_since_epoch());
  DropPassedWindows(schedule, since_start / schedule.window);
  const std::int64_t slots = std::max<std::int64_t>(per_window, 1);
  // Skips the windows that the backlog occupies.
  std::int64_t offset = std::min(
      schedule.horizon, 1 + std::max<std::int64_t>(backlog, 0) / slots);
  auto taken = [&](std::int64_t window) -> std::int64_t& {
    return schedule.taken[static_cast<std::size_t>(window)];
  };
  while (offset < schedule.horizon && taken(offset) >= slots)
    ++offset;
  const std::int64_t slot = taken(offset)++;
  const auto inside = schedule.window * std::min(slot, slots - 1) / slots;
  const auto at = (schedule.first_window + offset) * schedule.window + inside;
  return std::chrono::ceil<std::chrono::milliseconds>(at - since_start);
}

}  // namespace valeledge::decisions
