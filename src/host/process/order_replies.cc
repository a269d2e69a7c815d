// SPDX-License-Identifier: MIT
#include "host/process/order_replies.h"

namespace valeledge::host {

std::string NameOf(order_reply reply) {
  switch (reply) {
    case order_reply::kAccepted:
      return "accepted";
    case order_reply::kAlreadyInEffect:
      return "holds";
    case order_reply::kConflict:
      return "conflict";
    case order_reply::kFenced:
      return "fenced";
    case order_reply::kWrongInstance:
      return "wrong instance";
    case order_reply::kUnknown:
      break;
  }
  return "unknown";
}

}  // namespace valeledge::host
