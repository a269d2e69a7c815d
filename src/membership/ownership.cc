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
  std::vector<const member*> pointers;
  pointers.reserve(members.size());
  for (const member& each : members)
    pointers.push_back(&each);
  return ChooseOwners(pointers, subject, roles, zone, count);
}

std::vector<const member*> ChooseOwners(std::span<const member* const> members,
                                        std::string_view subject,
                                        std::int32_t roles,
                                        std::string_view zone,
                                        std::size_t count) {
  std::vector<std::pair<std::uint64_t, const member*>> ranked;
  ranked.reserve(members.size());
  for (const member* each : members) {
    const bool fits = (each->roles & roles) == roles &&
                      (zone.empty() || each->zone == zone) && TakesWork(*each);
    if (fits)
      ranked.emplace_back(base::RendezvousWeight(subject, each->id), each);
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

namespace {

// Candidate owners of a zone's cells, and the number of cells each one owns.
struct zone_schedulers {
  std::vector<const member*> members;
  std::size_t max_cells = 0;
  std::map<std::string, std::size_t> owned;
};

zone_schedulers SchedulersOf(std::span<const member> members,
                             std::string_view zone,
                             std::size_t cells) {
  zone_schedulers out;
  out.members =
      ChooseOwners(members, zone, role::kScheduler, zone, members.size());
  if (out.members.empty()) {
    out.members =
        ChooseOwners(members, zone, role::kScheduler, {}, members.size());
  }
  const std::size_t count = std::max<std::size_t>(out.members.size(), 1);
  out.max_cells = (cells + count - 1) / count;
  return out;
}

const member* Assign(zone_schedulers& zone, const std::string& cell) {
  const member* best = nullptr;
  std::uint64_t best_weight = 0;
  for (const member* each : zone.members) {
    if (zone.owned[each->id] >= zone.max_cells)
      continue;
    const std::uint64_t weight = base::RendezvousWeight(cell, each->id);
    if (best == nullptr || weight > best_weight) {
      best = each;
      best_weight = weight;
    }
  }
  if (best != nullptr)
    ++zone.owned[best->id];
  return best;
}

}  // namespace

std::map<std::string, member, std::less<>> AssignCells(
    std::span<const member> members,
    std::vector<cell_site> cells) {
  std::ranges::sort(cells, {}, &cell_site::cell);
  std::map<std::string, std::size_t> in_zone;
  for (const cell_site& each : cells)
    ++in_zone[each.zone];
  std::map<std::string, zone_schedulers> zones;
  for (const auto& [zone, count] : in_zone)
    zones[zone] = SchedulersOf(members, zone, count);
  std::map<std::string, member, std::less<>> out;
  for (const cell_site& each : cells) {
    const member* owner = Assign(zones[each.zone], each.cell);
    if (owner != nullptr)
      out.emplace(each.cell, *owner);
  }
  return out;
}

}  // namespace valeledge::membership
