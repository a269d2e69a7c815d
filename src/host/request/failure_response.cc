// SPDX-License-Identifier: MIT
#include "host/request/failure_response.h"

#include <chrono>

#include "host/request/http_forwarding.h"
#include "host/request/peer_relay.h"
#include "host/request/request_trace.h"

namespace valeledge::host {

net::http_response MakeFailureResponse(const request_state& state,
                                       const base::error& failed) {
  auto response = MakeErrorResponse(failed);
  if (state.routed.is_relayed) {
    WriteRelayFields(response.base(),
                     {failed.code, failed.what_ran, state.instance, {}});
  }
  return response;
}

net::http_response MakeRelayedErrorResponse(const base::error& failed) {
  auto response = MakeErrorResponse(failed);
  WriteRelayFields(response.base(), {failed.code, failed.what_ran, {}, {}});
  return response;
}

net::http_response MakeLateResponse(request_state& state) {
  const bool is_at_server = state.trace.wait == request_wait::kResponseHeader ||
                            state.trace.wait == request_wait::kResponseBody;
  const bool may_have_run = is_at_server || state.possible_executions > 0;
  const bool is_stopped = state.core.stop && std::chrono::steady_clock::now() >=
                                                 state.core.stop->responds_at;
  if (is_stopped) {
    const base::error stopped =
        may_have_run
            ? base::MakeError(base::result_code::kOutcomeUnknown,
                              base::outcome::kUnknown,
                              "this host stops before the response is complete")
            : LeavingError();
    LogRefused(state.core, state.routed, state.trace, stopped);
    return MakeFailureResponse(state, stopped);
  }
  const base::error failed =
      may_have_run ? base::MakeError(base::result_code::kDeadlinePassed,
                                     base::outcome::kUnknown,
                                     "no complete response before the deadline")
                   : NotSentInTimeError();
  RecordLate(state.core, state.routed, state.trace);
  LogRefused(state.core, state.routed, state.trace, failed);
  return MakeFailureResponse(state, failed);
}

}  // namespace valeledge::host
