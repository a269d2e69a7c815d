// SPDX-License-Identifier: MIT
#include "host/request/attempt_timeouts.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "host/constants.h"

namespace valeledge::host {

namespace {

using catalog::route_kind;
using std::chrono::milliseconds;

}  // namespace

bool MayRepeatAttempt(const request_state& state) {
  return state.routed.route->MayRepeat() && state.routed.trial.empty() &&
         !state.routed.is_relayed &&
         state.possible_executions + 1 < state.routed.route->attempts;
}

milliseconds HeaderTimeout(const request_state& state) {
  const milliseconds left = RemainingTime(state.routed);
  if (!MayRepeatAttempt(state) || HasAdaptiveTimeout(state.core, state.routed))
    return left;
  return std::min(left, FixedHeaderTimeout(state.routed));
}

void WatchAttempt(request_state& state, watched_attempt attempt) {
  state.watch = nullptr;
  const bool may_follow =
      MayRepeatAttempt(state) && HasAttemptsLeft(state.trace);
  if (!may_follow || !HasAdaptiveTimeout(state.core, state.routed))
    return;
  state.watch = std::make_shared<attempt_watch>(
      state.core, state.routed, state.permit, std::move(attempt),
      [&state] { return !state.crash_monitor.CheckQuarantine(); });
}

void StartWatch(request_state& state) {
  if (state.watch != nullptr)
    state.watch->Start([guard = state.guard] { guard->Interrupt(); });
}

void ExplainAbandoned(request_state& state) {
  if (state.watch != nullptr && state.watch->has_abandoned())
    state.last_error.message += " (abandoned for another engine)";
}

void WatchBody(request_state& state,
               const std::shared_ptr<net::http_exchange>& exchange) {
  if (state.watch == nullptr)
    return;
  // The watch has acquired a retry for it while the header arrived.
  if (state.watch->has_abandoned()) {
    exchange->Abandon();
    return;
  }
  const bool streams = state.routed.route->kind == route_kind::kStream &&
                       exchange->header().result_int() == 200;
  if (!streams) {
    state.watch->OnStarted();
    return;
  }
  state.watch->SetAbandon([weak = std::weak_ptr<net::http_exchange>(exchange)] {
    if (const auto open = weak.lock())
      open->Abandon();
  });
}

}  // namespace valeledge::host
