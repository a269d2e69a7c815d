// SPDX-License-Identifier: MIT
#include "base/memory_budget.h"

namespace valeledge::base {

namespace {

// Messages up to this size do not give way to others.
constexpr std::int64_t kSmallBytes = 8 * 1024;

// Part of the capacity that is left to messages up to a size, so that large
// ones that are kept do not shut them out.
constexpr std::int64_t kLargeBytes = 64 * 1024;
constexpr std::int64_t kReservedDivisor = 4;

}  // namespace

memory_share::memory_share(std::shared_ptr<memory_budget> budget,
                           std::function<void()> give_way)
    : budget_(std::move(budget)), give_way_(std::move(give_way)) {}

memory_share::~memory_share() {
  if (gave_way_)
    return;
  if (IsListed())
    budget_->by_size_.erase({bytes_, this});
  budget_->held_ -= bytes_;
}

bool memory_share::IsListed() const {
  return !is_kept_ && bytes_ > kSmallBytes;
}

std::int64_t memory_share::Limit() const {
  const std::int64_t capacity = budget_->capacity_;
  return bytes_ > kLargeBytes ? capacity - capacity / kReservedDivisor
                              : capacity;
}

bool memory_share::Resize(std::int64_t bytes) {
  if (gave_way_)
    return false;
  if (bytes == bytes_)
    return true;
  const bool grows = bytes > bytes_;
  if (IsListed())
    budget_->by_size_.erase({bytes_, this});
  budget_->held_ += bytes - bytes_;
  bytes_ = bytes;
  if (IsListed())
    budget_->by_size_.insert({bytes_, this});
  while (grows && !gave_way_ && budget_->held_ > Limit()) {
    const auto& others = budget_->by_size_;
    memory_share* largest = others.empty() ? this : others.rbegin()->second;
    // Resize() returns false instead of calling the action.
    if (largest == this)
      give_way_ = nullptr;
    largest->MakeGiveWay();
  }
  return !gave_way_;
}

void memory_share::SetGiveWay(std::function<void()> give_way) {
  give_way_ = std::move(give_way);
}

void memory_share::Keep() {
  if (gave_way_)
    return;
  if (IsListed())
    budget_->by_size_.erase({bytes_, this});
  is_kept_ = true;
}

// The action may destroy the share.
void memory_share::MakeGiveWay() {
  if (IsListed())
    budget_->by_size_.erase({bytes_, this});
  budget_->held_ -= bytes_;
  ++budget_->given_up_;
  gave_way_ = true;
  if (const auto action = std::exchange(give_way_, nullptr))
    action();
}

}  // namespace valeledge::base
