// SPDX-License-Identifier: MIT
// Whom a process tells something without being asked.
#ifndef VALELEDGE_MEMBERSHIP_GOSSIP_DIRECT_H_
#define VALELEDGE_MEMBERSHIP_GOSSIP_DIRECT_H_

#include <cstddef>
#include <string>
#include <vector>

#include "membership/gossip.h"

namespace valeledge::membership::detail {

// Suspects are probed and told as well, the dead are not.
bool IsDead(const known_member& each);

// Up to `count` members that are not dead, at random; not the one whose id is
// `excluded_id`.
std::vector<const known_member*> PickRandomMembers(
    const gossip_state& state,
    std::size_t count,
    const std::string& excluded_id,
    random_source& random,
    const std::string& zone = {});

}  // namespace valeledge::membership::detail

#endif  // VALELEDGE_MEMBERSHIP_GOSSIP_DIRECT_H_
