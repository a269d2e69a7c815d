// SPDX-License-Identifier: MIT
// Names of engines' replies to orders.
#ifndef VALELEDGE_HOST_PROCESS_ORDER_REPLIES_H_
#define VALELEDGE_HOST_PROCESS_ORDER_REPLIES_H_

#include <string>

#include "host/external_protocol.h"

namespace valeledge::host {

// Name of a reply in logs, error messages and labels of metrics.
std::string NameOf(order_reply reply);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_ORDER_REPLIES_H_
