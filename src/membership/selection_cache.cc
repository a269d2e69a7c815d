// SPDX-License-Identifier: MIT
#include "membership/selection_cache.h"

#include "membership/gossip.h"
#include "membership/ownership.h"

namespace valeledge::membership {

namespace {

// Bounds the cache: subjects are names of backend servers, and each release
// adds new names. The largest planned fleet has 860 servers.
constexpr std::size_t kMaxCachedSelections = 4096;

std::vector<std::string> ComputeSelection(const gossip_state& state,
                                          const selection_query& query) {
  std::vector<const member*> members;
  members.reserve(state.others.size() + 1);
  members.push_back(&state.self);
  for (const auto& [id, each] : state.others)
    members.push_back(&each.record);
  auto chosen = ChooseOwners(members, query.subject, query.preferred_roles,
                             query.zone, query.count);
  if (chosen.empty()) {
    chosen = ChooseOwners(members, query.subject, 0, query.zone, query.count);
  }
  std::vector<std::string> out;
  for (const member* each : chosen)
    out.push_back(each->id);
  return out;
}

}  // namespace

const std::vector<std::string>& SelectMembers(gossip_state& state,
                                              const selection_query& query) {
  auto& entries = state.selections.entries;
  const auto known = entries.find(query);
  if (known != entries.end())
    return known->second;
  if (entries.size() >= kMaxCachedSelections)
    entries.clear();
  return entries.emplace(query, ComputeSelection(state, query)).first->second;
}

namespace detail {

void InvalidateSelections(selection_cache& memory,
                          const member* before,
                          const member& after) {
  const bool same = before != nullptr &&
                    TakesWork(*before) == TakesWork(after) &&
                    before->roles == after.roles && before->zone == after.zone;
  if (!same)
    memory.entries.clear();
}

}  // namespace detail

}  // namespace valeledge::membership
