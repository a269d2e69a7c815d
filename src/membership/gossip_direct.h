// SPDX-License-Identifier: MIT
// Selection of the members that receive unsolicited messages.
#ifndef VALELEDGE_MEMBERSHIP_GOSSIP_DIRECT_H_
#define VALELEDGE_MEMBERSHIP_GOSSIP_DIRECT_H_

#include <cstddef>
#include <string>
#include <vector>

#include "membership/gossip.h"

namespace valeledge::membership::detail {

// Dead members are neither probed nor sent updates; suspects are.
bool IsDead(const known_member& each);

// Picks up to `count` random members of `zone` (any if empty) that are not
// dead, leaving out `excluded_id`.
std::vector<const known_member*> PickRandomMembers(
    const gossip_state& state,
    std::size_t count,
    const std::string& excluded_id,
    random_source& random,
    const std::string& zone = {});

}  // namespace valeledge::membership::detail

#endif  // VALELEDGE_MEMBERSHIP_GOSSIP_DIRECT_H_
