// SPDX-License-Identifier: MIT
// Who does what, chosen alike by every process that knows the same members.
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

// The `count` members with the highest rendezvous weight for `subject` among
// those that take work, have all of `roles`, and are in `zone` (any if
// empty); best first.
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

// The scheduler that decides for a cell: one in the cell's availability zone
// if there is any, else any; null if there is none.
const member* ChooseCellOwner(std::span<const member> members,
                              std::string_view cell,
                              std::string_view zone);

// A cell and the availability zone of its backend servers.
struct cell_site {
  std::string cell;
  std::string zone;
};

// The scheduler of each cell: by rendezvous among those of its availability
// zone (all, if it has none), but none gets more than its even part, rounded
// up. Processes that know the same members and cells assign alike. Cells
// without any scheduler are missing.
std::map<std::string, member, std::less<>> AssignCells(
    std::span<const member> members,
    std::vector<cell_site> cells);

}  // namespace valeledge::membership

#endif  // VALELEDGE_MEMBERSHIP_OWNERSHIP_H_
