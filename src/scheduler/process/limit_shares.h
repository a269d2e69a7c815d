// SPDX-License-Identifier: MIT
// The fraction of each limit that one cell may grant.
#ifndef VALELEDGE_SCHEDULER_PROCESS_LIMIT_SHARES_H_
#define VALELEDGE_SCHEDULER_PROCESS_LIMIT_SHARES_H_

#include <map>
#include <string>

#include "node/node.h"
#include "table/snapshot.h"

namespace valeledge::scheduler {

// Returns a share by key for each row that has a limit: 1 / n, where n is the
// number of cells that can serve the row according to gossip. A cell can serve
// a model or service that is ready there, and a partner if any of the partner's
// models or services is. A row that is ready in no cell has a share of 1.
std::map<std::string, double> LimitShares(const table::snapshot& table,
                                          const node::member_view& view);

}  // namespace valeledge::scheduler

#endif  // VALELEDGE_SCHEDULER_PROCESS_LIMIT_SHARES_H_
