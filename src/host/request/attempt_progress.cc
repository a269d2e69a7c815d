// SPDX-License-Identifier: MIT
#include "host/request/attempt_progress.h"

namespace valeledge::host {

std::string_view ProgressName(const attempt_progress& progress) {
  if (progress.first_body_at)
    return "parts";
  return progress.header_at ? "head" : "nothing";
}

}  // namespace valeledge::host
