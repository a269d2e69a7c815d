// SPDX-License-Identifier: MIT
#include "host/request/attempt_outcome.h"

namespace valeledge::host {

attempt_outcome OutcomeWithoutCaller(
    const base::result<std::shared_ptr<net::http_exchange>>& opened) {
  const bool not_run =
      !opened && opened.error().what_ran == base::outcome::kNotRun;
  return not_run ? attempt_outcome::kNotRun : attempt_outcome::kDone;
}

}  // namespace valeledge::host
