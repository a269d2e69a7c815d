// SPDX-License-Identifier: MIT
#include "table/table_store.h"

#include <utility>

namespace valeledge::table {

table_store::table_store() : current_(std::make_shared<snapshot>()) {}

snapshot_pointer table_store::Get() const {
  const std::lock_guard lock(mutex_);
  return current_;
}

apply_result table_store::Apply(const wire::table_delta& delta,
                                std::int64_t since) {
  snapshot_pointer fresh;
  {
    const std::lock_guard lock(mutex_);
    if (delta.revision <= current_->revision)
      return apply_result::kNotNewer;
    if (since > current_->revision)
      return apply_result::kTooFarAhead;
    auto applied = ApplyDelta(*current_, delta);
    if (!applied)
      return apply_result::kBroken;
    current_ = *applied;
    fresh = current_;
  }
  for (const auto& listener : listeners_)
    listener(fresh);
  return apply_result::kApplied;
}

void table_store::OnChange(
    std::function<void(const snapshot_pointer&)> listener) {
  listeners_.push_back(std::move(listener));
}

}  // namespace valeledge::table
