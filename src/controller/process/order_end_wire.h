// SPDX-License-Identifier: MIT
// Wire encoding of an order's end, sent from one controller to another.
#ifndef VALELEDGE_CONTROLLER_PROCESS_ORDER_END_WIRE_H_
#define VALELEDGE_CONTROLLER_PROCESS_ORDER_END_WIRE_H_

#include "controller/process/order_sender.h"
#include "wire/generated/messages_types.h"

namespace valeledge::controller {

wire::order_ended Encode(const order_end& end);
order_end Decode(const wire::order_ended& message);

}  // namespace valeledge::controller

#endif  // VALELEDGE_CONTROLLER_PROCESS_ORDER_END_WIRE_H_
