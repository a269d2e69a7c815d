// SPDX-License-Identifier: MIT
#include "tools/standin/engine_model.h"

#include <algorithm>
#include <array>

#include "base/identifier.h"

namespace valeledge::standin {

namespace {

constexpr std::array<std::string_view, 16> kWords = {
    "choir", "hall",  "band",   "seat",  "note",  "hint", "loop", "test",
    "row",   "night", "school", "piano", "parse", "type", "list", "stage"};

}  // namespace

std::chrono::microseconds StepTime(const engine_pace& pace,
                                   std::int64_t active) {
  const auto others =
      static_cast<double>(std::max<std::int64_t>(0, active - 1));
  const double step = static_cast<double>(pace.token_step.count()) *
                      (1 + pace.step_growth * others);
  return std::chrono::microseconds(static_cast<std::int64_t>(step));
}

bool prefix_cache::Use(std::string_view prefix) {
  const std::uint64_t hash = base::StableHash(prefix);
  const auto found = std::ranges::find(used_, hash);
  const bool held = found != used_.end();
  if (held)
    used_.erase(found);
  used_.push_back(hash);
  if (static_cast<std::int64_t>(used_.size()) > capacity_)
    used_.pop_front();
  return held;
}

std::string TokenText(std::string_view prompt, std::int64_t index) {
  const std::uint64_t hash =
      base::StableHash(prompt, static_cast<std::uint64_t>(index));
  std::string word(kWords[hash % kWords.size()]);
  return word + std::to_string(hash / kWords.size() % 10) + " ";
}

}  // namespace valeledge::standin
