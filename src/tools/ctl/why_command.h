// SPDX-License-Identifier: MIT
// valeledgectl why: what happened to a request, from the logs of processes.
#ifndef VALELEDGE_TOOLS_CTL_WHY_COMMAND_H_
#define VALELEDGE_TOOLS_CTL_WHY_COMMAND_H_

#include <chrono>
#include <string>

#include "base/endpoint.h"
#include "tools/ctl/output.h"

namespace valeledge::ctl {

// Asks the gateway at `admin` what it remembers of a request.
exit_status RunWhy(const base::endpoint& admin,
                   const std::string& request,
                   std::chrono::microseconds timeout,
                   output_format format);

}  // namespace valeledge::ctl

#endif  // VALELEDGE_TOOLS_CTL_WHY_COMMAND_H_
