// SPDX-License-Identifier: MIT
// valeledgectl status: what one process says of itself and the others.
#ifndef VALELEDGE_TOOLS_CTL_STATUS_COMMAND_H_
#define VALELEDGE_TOOLS_CTL_STATUS_COMMAND_H_

#include <chrono>

#include <boost/json.hpp>

#include "base/endpoint.h"
#include "base/error.h"
#include "tools/ctl/output.h"

namespace valeledge::ctl {

// Reads /status at a process's admin address.
base::result<boost::json::object> ReadStatus(const base::endpoint& admin,
                                             std::chrono::microseconds timeout);

exit_status RunStatus(const base::endpoint& admin,
                      std::chrono::microseconds timeout,
                      output_format format);

}  // namespace valeledge::ctl

#endif  // VALELEDGE_TOOLS_CTL_STATUS_COMMAND_H_
