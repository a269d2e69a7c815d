// SPDX-License-Identifier: MIT
// How far the answer of one attempt has come.
#ifndef VALELEDGE_HOST_REQUEST_ATTEMPT_PROGRESS_H_
#define VALELEDGE_HOST_REQUEST_ATTEMPT_PROGRESS_H_

#include <chrono>
#include <optional>
#include <string_view>

#include "base/duration.h"

namespace valeledge::host {

struct attempt_progress {
  base::time_point sent;
  // The server has answered with a head: it has begun to run the request.
  std::optional<base::time_point> header_at;
  // The first event, or part of a whole answer, has come.
  std::optional<base::time_point> first_body_at;
};

// "nothing", "head" or "parts", for log lines and metrics.
std::string_view ProgressName(const attempt_progress& progress);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_REQUEST_ATTEMPT_PROGRESS_H_
