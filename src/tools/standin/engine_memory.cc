// SPDX-License-Identifier: MIT
#include "tools/standin/engine_memory.h"

#include <algorithm>

namespace valeledge::standin {

namespace {

// Orders that a report still names.
constexpr std::size_t kOrdersNamed = 16;

}  // namespace

bool engine_memory::TakeFence(std::int64_t fence) {
  if (kind_.fencing && fence < highest_fence_)
    return false;
  highest_fence_ = std::max(highest_fence_, fence);
  return true;
}

void engine_memory::Add(std::int64_t memory_mb) {
  used_mb_ += memory_mb;
  peak_mb_ = std::max(peak_mb_, used_mb_);
  if (used_mb_ > kind_.capacity_mb)
    ++overcommits_;
}

void engine_memory::NoteDone(const std::string& order_id) {
  ++version_;
  done_.push_back(order_id);
  if (done_.size() > kOrdersNamed)
    done_.erase(done_.begin());
}

void engine_memory::BeginLoad(const std::string& artifact,
                              std::int64_t memory_mb) {
  std::int64_t& copies = copies_[artifact];
  if (copies > 0 && !kind_.doubled_load)
    return;
  sizes_[artifact] = memory_mb;
  ++copies;
  Add(memory_mb);
}

void engine_memory::FinishLoad(const std::string& artifact,
                               const std::string& order_id) {
  std::int64_t& ready = loaded_[artifact];
  ready = std::min(ready + 1, copies_[artifact]);
  NoteDone(order_id);
}

void engine_memory::Unload(const std::string& artifact,
                           const std::string& order_id) {
  const auto found = loaded_.find(artifact);
  if (found != loaded_.end()) {
    used_mb_ -= sizes_[artifact] * found->second;
    copies_[artifact] -= found->second;
    loaded_.erase(found);
  }
  NoteDone(order_id);
}

bool engine_memory::IsLoaded(const std::string& artifact) const {
  return loaded_.contains(artifact);
}

bool engine_memory::IsLoadedInAnyVersion(const std::string& name) const {
  return std::ranges::any_of(loaded_, [&](const auto& each) {
    return each.first.starts_with(name + "@");
  });
}

}  // namespace valeledge::standin
