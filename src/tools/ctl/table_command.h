// SPDX-License-Identifier: MIT
// valeledgectl table show|set|remove|import|export|diff|history.
#ifndef VALELEDGE_TOOLS_CTL_TABLE_COMMAND_H_
#define VALELEDGE_TOOLS_CTL_TABLE_COMMAND_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "tools/ctl/output.h"

namespace valeledge::ctl {

// What the options of the command line say.
struct table_options {
  base::endpoint platform;
  std::string author;
  std::int64_t seen_revision = 0;
  output_format format = output_format::kTable;
  std::chrono::microseconds timeout = std::chrono::seconds(5);
};

// `words` are those after "table".
exit_status RunTable(const table_options& options,
                     const std::vector<std::string>& words);

}  // namespace valeledge::ctl

#endif  // VALELEDGE_TOOLS_CTL_TABLE_COMMAND_H_
