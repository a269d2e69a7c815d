// SPDX-License-Identifier: MIT
#include "decisions/response_age.h"

#include <algorithm>

namespace valeledge::decisions {

namespace {

// Answers that are older tell nothing any more; whoever was given them has
// ended or follows the service no longer.
constexpr std::chrono::seconds kForgotten{30};

}  // namespace

void NoteOwnAnswer(answer_ages& ages, bool chosen, base::time_point now) {
  ++ages.own.count;
  ages.own.chosen = chosen;
  ages.own_at = now;
}

void HearAnswer(answer_ages& ages,
                const told_answer& told,
                base::time_point now) {
  if (told.stamp.origin == ages.own.origin || told.age >= kForgotten)
    return;
  std::erase_if(ages.heard, [&](const auto& each) {
    return now - each.second.at >= kForgotten;
  });
  auto& known = ages.heard[told.stamp.origin];
  if (known.stamp.count >= told.stamp.count)
    return;
  known = {told.stamp, now - told.age};
}

std::optional<base::time_point> NewestAnswer(const answer_ages& ages) {
  std::optional<base::time_point> newest = ages.own_at;
  for (const auto& [origin, each] : ages.heard) {
    if (!newest || each.at > *newest)
      newest = each.at;
  }
  return newest;
}

std::optional<told_answer> TellNewest(const answer_ages& ages,
                                      base::time_point now) {
  const auto newest = NewestAnswer(ages);
  if (!newest)
    return std::nullopt;
  told_answer out;
  out.stamp = ages.own;
  // Rounded up, so that an age never grows younger on its way.
  out.age = std::chrono::ceil<std::chrono::milliseconds>(now - *newest);
  for (const auto& [origin, each] : ages.heard) {
    if (each.at == *newest)
      out.stamp = each.stamp;
  }
  return out;
}

bool OthersAnsweredWithin(const answer_ages& ages,
                          std::chrono::milliseconds span,
                          base::time_point now) {
  return std::ranges::any_of(ages.heard, [&](const auto& each) {
    return now - each.second.at < span;
  });
}

bool MayLeaveToOthers(const answer_ages& ages,
                      std::chrono::milliseconds span,
                      base::time_point now) {
  return std::ranges::any_of(ages.heard, [&](const auto& each) {
    const auto& [stamp, at] = each.second;
    const bool before = stamp.chosen || stamp.origin < ages.own.origin;
    return before && now - at < span;
  });
}

}  // namespace valeledge::decisions
