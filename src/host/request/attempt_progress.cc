// SPDX-License-Identifier: MIT
#include "host/request/attempt_progress.h"

namespace valeledge::host {

std::string_view ReachedName(const attempt_progress& progress) {
  if (progress.first_part_at)
    return "parts";
  return progress.head_at ? "head" : "nothing";
}

}  // namespace valeledge::host
