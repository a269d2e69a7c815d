// SPDX-License-Identifier: MIT
#include "controller/process/order_end_wire.h"

namespace valeledge::controller {

namespace {

// Values of order_ended.answer in messages.thrift.
constexpr std::int32_t kNoAnswer = 0;
constexpr std::int32_t kDone = 1;
constexpr std::int32_t kRefused = 2;

}  // namespace

wire::order_ended Encode(const order_end& end) {
  wire::order_ended told;
  told.server = end.server;
  told.order_id = end.order_id;
  told.answer = kNoAnswer;
  if (end.answer) {
    const bool done = *end.answer == decisions::order_response::kDone;
    told.answer = done ? kDone : kRefused;
  }
  told.incarnation = end.incarnation;
  told.version = end.version;
  return told;
}

order_end Decode(const wire::order_ended& told) {
  order_end end;
  end.server = told.server;
  end.order_id = told.order_id;
  end.incarnation = told.incarnation;
  end.version = told.version;
  if (told.answer == kDone)
    end.answer = decisions::order_response::kDone;
  if (told.answer == kRefused)
    end.answer = decisions::order_response::kRefused;
  return end;
}

}  // namespace valeledge::controller
