// SPDX-License-Identifier: MIT
// valeledgectl explain ID FILE...
#ifndef VALELEDGE_TOOLS_CTL_EXPLAIN_COMMAND_H_
#define VALELEDGE_TOOLS_CTL_EXPLAIN_COMMAND_H_

#include <string>
#include <vector>

#include "tools/ctl/output.h"

namespace valeledge::ctl {

// Prints the log lines of one request and of what was believed then, and what
// most probably became of it. Without files, reads standard input.
exit_status RunExplain(const std::string& request,
                       const std::vector<std::string>& files);

}  // namespace valeledge::ctl

#endif  // VALELEDGE_TOOLS_CTL_EXPLAIN_COMMAND_H_
