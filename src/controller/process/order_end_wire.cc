// SPDX-License-Identifier: MIT
#include "controller/process/order_end_wire.h"

namespace valeledge::controller {

namespace {

// Values of order_ended.answer in messages.thrift.
constexpr std::int32_t kNoResponse = 0;
constexpr std::int32_t kDone = 1;
constexpr std::int32_t kRefused = 2;

}  // namespace

wire::order_ended Encode(const order_end& end) {
  wire::order_ended message;
  message.server = end.server;
  message.order_id = end.order_id;
  message.answer = kNoResponse;
  if (end.response) {
    const bool done = *end.response == decisions::order_response::kDone;
    message.answer = done ? kDone : kRefused;
  }
  message.incarnation = end.incarnation;
  message.version = end.version;
  return message;
}

order_end Decode(const wire::order_ended& message) {
  order_end end;
  end.server = message.server;
  end.order_id = message.order_id;
  end.incarnation = message.incarnation;
  end.version = message.version;
  if (message.answer == kDone)
    end.response = decisions::order_response::kDone;
  if (message.answer == kRefused)
    end.response = decisions::order_response::kRefused;
  return end;
}

}  // namespace valeledge::controller
