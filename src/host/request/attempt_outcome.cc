// SPDX-License-Identifier: MIT
#include "host/request/attempt_outcome.h"

namespace valeledge::host {

std::string_view NameOf(not_run_evidence evidence) {
  switch (evidence) {
    case not_run_evidence::kWithheld:
      return "withheld";
    case not_run_evidence::kNotSent:
      return "not_sent";
    case not_run_evidence::kRefusal:
      return "refusal";
    case not_run_evidence::kMisdirected:
      return "misdirected";
    case not_run_evidence::kPeerStatement:
      return "peer_statement";
  }
  return "unknown";
}

attempt_outcome OutcomeWithoutCaller(
    const base::result<std::shared_ptr<net::http_exchange>>& opened) {
  const bool not_run =
      !opened && opened.error().what_ran == base::outcome::kNotRun;
  return not_run ? attempt_outcome::kNotRun : attempt_outcome::kDone;
}

}  // namespace valeledge::host
