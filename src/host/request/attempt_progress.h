// SPDX-License-Identifier: MIT
// Progress of the response to one attempt.
#ifndef VALELEDGE_HOST_REQUEST_ATTEMPT_PROGRESS_H_
#define VALELEDGE_HOST_REQUEST_ATTEMPT_PROGRESS_H_

#include <chrono>
#include <optional>
#include <string_view>

#include "base/duration.h"

namespace valeledge::host {

struct attempt_progress {
  base::time_point sent;
  // When the response header arrived; the server has begun to run the request.
  std::optional<base::time_point> header_at;
  // When the first body data arrived: the first event of a stream, or the first
  // bytes of a whole response.
  std::optional<base::time_point> first_body_at;
};

// Returns "nothing", "head" or "parts", for log lines and metrics.
std::string_view ProgressName(const attempt_progress& progress);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_REQUEST_ATTEMPT_PROGRESS_H_
