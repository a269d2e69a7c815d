// SPDX-License-Identifier: MIT
// Which part of each limit one cell may give out.
#ifndef VALELEDGE_SCHEDULER_PROCESS_LIMIT_SHARES_H_
#define VALELEDGE_SCHEDULER_PROCESS_LIMIT_SHARES_H_

#include <map>
#include <string>

#include "node/node.h"
#include "table/snapshot.h"

namespace valeledge::scheduler {

// For the key of each row that has a limit, one over the number of cells that
// can serve it now by gossip: those where the model or service is ready, or
// any of the partner's. A row that is ready nowhere has a share of one.
std::map<std::string, double> LimitShares(const table::snapshot& table,
                                          const node::member_view& view);

}  // namespace valeledge::scheduler

#endif  // VALELEDGE_SCHEDULER_PROCESS_LIMIT_SHARES_H_
