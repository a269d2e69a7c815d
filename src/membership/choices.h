// SPDX-License-Identifier: MIT
// Who is chosen for a subject, as one process sees its members; remembered
// until they change.
#ifndef VALELEDGE_MEMBERSHIP_CHOICES_H_
#define VALELEDGE_MEMBERSHIP_CHOICES_H_

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
// `prefers` are chosen, if there are any.
struct choice_question {
  std::string subject;
  std::string zone;
  std::size_t count = 0;
  std::int32_t prefers = 0;

  auto operator<=>(const choice_question&) const = default;
};

// Choices that were made since the members last changed. A choice among 295
// members takes some 25 microseconds, and a host that serves callers needs
// hundreds in a second: without memory they were nine tenths of the processor
// time of an idle fleet of that size (sampled profile).
struct choice_memory {
  std::map<choice_question, std::vector<std::string>> answers;
};

// Ids of the chosen members, this process included, best first. The reference
// is good until the state changes or the next choice is made.
const std::vector<std::string>& ChosenMembers(gossip_state& state,
                                              const choice_question& question);

namespace detail {

// Forgets choices that a change of one member's record may have made wrong.
// `before` is null for a member that is new.
void NoteMemberChanged(choice_memory& memory,
                       const member* before,
                       const member& after);

}  // namespace detail

}  // namespace valeledge::membership

#endif  // VALELEDGE_MEMBERSHIP_CHOICES_H_
