// SPDX-License-Identifier: MIT
#include "net/message_head.h"

#include <string>

namespace valeledge::net {

namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

// RFC 9110, 15: values outside of this range are invalid.
constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 599;

class head_error_category : public boost::system::error_category {
 public:
  const char* name() const noexcept override { return "valeledge.net.head"; }

  std::string message(int value) const override {
    switch (static_cast<head_error>(value)) {
      case head_error::kStatusOutOfRange:
        return "the status code is not between 100 and 599";
    }
    return "invalid head";
  }
};

}  // namespace

error_code make_error_code(head_error error) {
  static const head_error_category category;
  return {static_cast<int>(error), category};
}

error_code CheckHead(const http::response_header<>& head) {
  const unsigned status = head.result_int();
  if (status < kMinStatus || status > kMaxStatus)
    return head_error::kStatusOutOfRange;
  return {};
}

}  // namespace valeledge::net
