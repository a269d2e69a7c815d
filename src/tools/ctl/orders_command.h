// SPDX-License-Identifier: MIT
// valeledgectl orders: what is reserved, and orders without a known end.
#ifndef VALELEDGE_TOOLS_CTL_ORDERS_COMMAND_H_
#define VALELEDGE_TOOLS_CTL_ORDERS_COMMAND_H_

#include <chrono>
#include <string>

#include "base/endpoint.h"
#include "tools/ctl/output.h"

namespace valeledge::ctl {

// Lists every unsettled order with its sender.
exit_status ShowOrders(const base::endpoint& platform,
                       std::chrono::microseconds timeout,
                       output_format format);

// Declares that a controller process has ended for good, so that its orders
// can settle. Wrong if it is only paused: then memory may be overcommitted.
exit_status EndController(const base::endpoint& platform,
                          const std::string& controller,
                          std::chrono::microseconds timeout);

}  // namespace valeledge::ctl

#endif  // VALELEDGE_TOOLS_CTL_ORDERS_COMMAND_H_
