// SPDX-License-Identifier: MIT
// Reads the Retry-After field of an HTTP response (RFC 9110, 10.2.3).
#ifndef VALELEDGE_NET_RETRY_AFTER_H_
#define VALELEDGE_NET_RETRY_AFTER_H_

#include <chrono>
#include <optional>

#include "net/http_client.h"

namespace valeledge::net {

// Longer delays are read as this one.
inline constexpr std::chrono::hours kMaxRetryAfter{24};

struct retry_after {
  // Not set if the response states no delay that can be parsed.
  std::optional<std::chrono::milliseconds> delay;
  // The response has the field, but no value of it can be parsed.
  bool is_unreadable = false;
};

// Accepts seconds, also with a fraction, and dates (IMF-fixdate), relative to
// the response's Date field or to `now` if it has none. Of several values the
// longest delay counts. Values that are negative, infinite or neither a number
// nor a date are ignored.
retry_after ReadRetryAfter(const http_response_header& response,
                           std::chrono::system_clock::time_point now);

}  // namespace valeledge::net

#endif  // VALELEDGE_NET_RETRY_AFTER_H_
