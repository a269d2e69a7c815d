// SPDX-License-Identifier: MIT
// Assignment of work to members. Processes with the same view of the membership
// compute the same assignment.
#ifndef VALELEDGE_MEMBERSHIP_OWNERSHIP_H_
#define VALELEDGE_MEMBERSHIP_OWNERSHIP_H_

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "membership/member.h"

namespace valeledge::membership {

// Returns the `count` members with the highest rendezvous weight for `subject`
// among those that accept work, have all of `roles` and are in `zone` (any if
// empty), in descending order of weight.
std::vector<const member*> ChooseOwners(std::span<const member> members,
                                        std::string_view subject,
                                        std::int32_t roles,
                                        std::string_view zone,
                                        std::size_t count);
std::vector<const member*> ChooseOwners(std::span<const member* const> members,
                                        std::string_view subject,
                                        std::int32_t roles,
                                        std::string_view zone,
                                        std::size_t count);

// Returns the scheduler that owns a cell: one in the cell's availability zone
// if possible, else in any zone; null if there are no schedulers.
const member* ChooseCellOwner(std::span<const member> members,
                              std::string_view cell,
                              std::string_view zone);

// A cell and the availability zone of its backend servers.
struct cell_site {
  std::string cell;
  std::string zone;
};

// Assigns a scheduler to each cell by rendezvous hashing among the schedulers
// of its availability zone (all schedulers if the zone has none). No scheduler
// is assigned more than its even share, rounded up. The assignment depends only
// on the sets of members and cells. Without any schedulers it is empty.
std::map<std::string, member, std::less<>> AssignCells(
    std::span<const member> members,
    std::vector<cell_site> cells);

}  // namespace valeledge::membership

#endif  // VALELEDGE_MEMBERSHIP_OWNERSHIP_H_
