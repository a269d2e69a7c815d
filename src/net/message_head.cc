// SPDX-License-Identifier: MIT
#include "net/message_head.h"

#include <cstddef>
#include <string>

#include <boost/beast/core/string.hpp>

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
      case head_error::kFoldedField:
        return "a line of the head begins with a blank or a tab";
      case head_error::kUnknownTransferCoding:
        return "the transfer coding is not chunked alone in HTTP/1.1";
    }
    return "invalid head";
  }
};

const head_error_category& HeadErrorCategory() {
  static const head_error_category category;
  return category;
}

// Whether the framing of the body is known. No transfer coding but chunked is
// negotiated, and HTTP/1.0 has none (RFC 9112, 6.1 and 7).
template <bool is_request>
bool HasKnownFraming(const http::header<is_request>& head) {
  constexpr unsigned kVersionWithCodings = 11;
  const std::size_t codings = head.count(http::field::transfer_encoding);
  if (codings == 0)
    return true;
  return codings == 1 && head.version() >= kVersionWithCodings &&
         boost::beast::iequals(head[http::field::transfer_encoding], "chunked");
}

}  // namespace

error_code make_error_code(head_error error) {
  return {static_cast<int>(error), HeadErrorCategory()};
}

bool IsHeadError(const error_code& code) {
  return code.category() == HeadErrorCategory();
}

error_code CheckHead(const http::response_header<>& head) {
  const unsigned status = head.result_int();
  if (status < kMinStatus || status > kMaxStatus)
    return head_error::kStatusOutOfRange;
  if (!HasKnownFraming(head))
    return head_error::kUnknownTransferCoding;
  return {};
}

error_code CheckHead(const http::request_header<>& head) {
  if (!HasKnownFraming(head))
    return head_error::kUnknownTransferCoding;
  return {};
}

bool HasFoldedField(std::string_view part) {
  constexpr std::string_view kLineEnd = "\r\n";
  while (true) {
    const std::size_t end = part.find(kLineEnd);
    const bool is_end_of_head = end == 0;
    if (is_end_of_head || end == std::string_view::npos)
      return false;
    part.remove_prefix(end + kLineEnd.size());
    if (part.starts_with(' ') || part.starts_with('\t'))
      return true;
  }
}

}  // namespace valeledge::net
