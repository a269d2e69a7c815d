// SPDX-License-Identifier: MIT
#include "membership/ownership.h"

#include <algorithm>
#include <utility>

#include "base/identifier.h"

namespace valeledge::membership {

std::vector<const member*> ChooseOwners(std::span<const member> members,
                                        std::string_view subject,
                                        std::int32_t roles,
                                        std::string_view zone,
                                        std::size_t count) {
  std::vector<std::pair<std::uint64_t, const member*>> ranked;
  for (const member& each : members) {
    const bool fits = (each.roles & roles) == roles &&
                      (zone.empty() || each.zone == zone) && TakesWork(each);
    if (fits)
      ranked.emplace_back(base::RendezvousWeight(subject, each.id), &each);
  }
  const std::size_t kept = std::min(count, ranked.size());
  std::ranges::partial_sort(ranked, ranked.begin() + static_cast<long>(kept),
                            [](const auto& left, const auto& right) {
                              return left.first > right.first;
                            });
  std::vector<const member*> out;
  for (std::size_t i = 0; i < kept; ++i)
    out.push_back(ranked[i].second);
  return out;
}

const member* ChooseCellOwner(std::span<const member> members,
                              std::string_view cell,
                              std::string_view zone) {
  auto chosen = ChooseOwners(members, cell, role::kScheduler, zone, 1);
  if (chosen.empty())
    chosen = ChooseOwners(members, cell, role::kScheduler, {}, 1);
  return chosen.empty() ? nullptr : chosen.front();
}

}  // namespace valeledge::membership
