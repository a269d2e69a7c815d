// SPDX-License-Identifier: MIT
#include "decisions/run_evidence.h"

namespace valeledge::decisions {

bool ShowsNotRun(const response_statement& response) {
  if (!response.names_request)
    return false;
  return response.not_run ||
         (response.misdirected && response.is_of_other_instance &&
          !response.is_signed);
}

}  // namespace valeledge::decisions
