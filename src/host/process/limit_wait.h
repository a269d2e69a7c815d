// SPDX-License-Identifier: MIT
// How one request waits for the tokens of its workspace's limit.
#ifndef VALELEDGE_HOST_PROCESS_LIMIT_WAIT_H_
#define VALELEDGE_HOST_PROCESS_LIMIT_WAIT_H_

#include <cstdint>
#include <functional>
#include <optional>

#include "base/duration.h"
#include "base/error.h"

namespace valeledge::host {

struct limit_wait {
  // 0 is the most urgent.
  std::int64_t priority = 0;
  // The request waits no longer than this.
  base::time_point until;
  // Returns the error with which the request ends although it still waits;
  // nothing while it goes on.
  std::function<std::optional<base::error>()> check;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_LIMIT_WAIT_H_
