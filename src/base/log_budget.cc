// SPDX-License-Identifier: MIT
#include "base/log_budget.h"

#include <utility>

namespace valeledge::base {

namespace {

constexpr std::uint64_t kOneIn = 8;

bool IsAllowed(const log_budget& budget,
               log_weight weight,
               std::uint64_t request_hash) {
  const std::int64_t most = budget.lines_per_second;
  if (weight == log_weight::kTrouble)
    return budget.written < 2 * most;
  if (budget.written < most / 2)
    return true;
  return budget.written < most && request_hash % kOneIn == 0;
}

}  // namespace

bool TakeLine(log_budget& budget,
              log_weight weight,
              std::uint64_t request_hash,
              time_point now) {
  if (now - budget.second_began >= std::chrono::seconds(1)) {
    budget.second_began = now;
    budget.written = 0;
  }
  const bool allowed = IsAllowed(budget, weight, request_hash);
  if (allowed)
    ++budget.written;
  else
    ++budget.left_out;
  return allowed;
}

std::int64_t TakeLeftOut(log_budget& budget) {
  return std::exchange(budget.left_out, 0);
}

}  // namespace valeledge::base
