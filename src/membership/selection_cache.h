// SPDX-License-Identifier: MIT
// Who is chosen for a subject, as one process sees its members; remembered
// until they change.
#ifndef VALELEDGE_MEMBERSHIP_SELECTION_CACHE_H_
#define VALELEDGE_MEMBERSHIP_SELECTION_CACHE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "membership/member.h"

namespace valeledge::membership {

struct gossip_state;

// The `count` members that are chosen by rendezvous for `subject`, of one
// availability zone or, if it is empty, of all. Only members with all roles in
// `preferred_roles` are chosen, if there are any.
struct selection_query {
  std::string subject;
  std::string zone;
  std::size_t count = 0;
  std::int32_t preferred_roles = 0;

  auto operator<=>(const selection_query&) const = default;
};

// Choices that were made since the members last changed. A choice among 295
// members takes some 25 microseconds, and a host that serves callers needs
// hundreds in a second: without memory they were nine tenths of the processor
// time of an idle fleet of that size (sampled profile).
struct selection_cache {
  std::map<selection_query, std::vector<std::string>> entries;
};

// Ids of the chosen members, this process included, best first. The reference
// is good until the state changes or the next choice is made.
const std::vector<std::string>& SelectMembers(gossip_state& state,
                                              const selection_query& query);

namespace detail {

// Forgets selections that a change of one member's record may have made wrong.
// `before` is null for a member that is new.
void InvalidateSelections(selection_cache& memory,
                          const member* before,
                          const member& after);

}  // namespace detail

}  // namespace valeledge::membership

#endif  // VALELEDGE_MEMBERSHIP_SELECTION_CACHE_H_
