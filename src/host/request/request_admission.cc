// SPDX-License-Identifier: MIT
#include "host/request/request_admission.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
#include <utility>

#include "host/constants.h"
#include "host/process/path_monitor.h"
#include "host/request/caller_authentication.h"
#include "host/request/failure_response.h"
#include "host/request/peer_relay.h"
#include "host/request/prompt_trial.h"
#include "host/request/stream_continuation.h"

namespace valeledge::host {

namespace {

namespace asio = boost::asio;
using base::result_code;

// Prepares a request that another host has received. Returns an error if this
// host must not serve it.
std::optional<base::error> AcceptRelayed(request_state& state,
                                         const relayed_request& relayed) {
  const catalog::configuration& configuration = *state.routed.configuration;
  if (relayed.version != configuration.version) {
    return base::MakeError(result_code::kPathLost, base::outcome::kNotRun,
                           "the other host has another configuration");
  }
  const auto* service = configuration.FindService(relayed.service);
  if (service != nullptr)
    state.routed.service = service;
  if (relayed.software)
    state.routed.origin = {state.routed.service->name, *relayed.software};
  else if (ResumesStream(state.routed))
    return NotResumableError("the other host does not state the version");
  const auto workspace = std::ranges::find(
      configuration.workspaces, relayed.workspace, &catalog::workspace::name);
  if (workspace != configuration.workspaces.end())
    state.routed.workspace = &*workspace;
  state.possible_executions = relayed.possible_executions;
  if (state.possible_executions > 0) {
    state.last_error =
        base::MakeError(result_code::kOutcomeUnknown, base::outcome::kUnknown,
                        "an earlier attempt may have run the request");
  }
  state.routed.failed_instances = relayed.leaving;
  state.routed.failed_instances.insert(state.routed.failed_instances.end(),
                                       relayed.failed.begin(),
                                       relayed.failed.end());
  return std::nullopt;
}

// Checks the caller, or the host that relays the request. Returns the error
// with which the request is refused.
asio::awaitable<base::result<void>> CheckSender(request_state& state) {
  if (state.routed.is_relayed) {
    if (auto refused = AcceptRelayed(state, ReadRelayFields(state.request)))
      co_return tl::make_unexpected(std::move(*refused));
    co_return base::result<void>();
  }
  if (auto refused = AuthenticateCaller(state.core, state.routed))
    co_return tl::make_unexpected(std::move(*refused));
  state.trace.wait = request_wait::kStreamOrigin;
  auto continued = co_await ContinueStream(state.core, state.routed);
  if (!continued)
    co_return continued;
  state.core.retries.RecordRequest(state.routed.service->name,
                                   state.routed.arrived);
  co_return base::result<void>();
}

// Returns the error with which a request ends that waits for tokens of its
// workspace; nothing if it goes on.
std::optional<base::error> CheckWait(request_state& state) {
  if (state.responder.caller_gone()) {
    return base::MakeError(result_code::kCallerGone, base::outcome::kNotRun,
                           "the caller has disconnected");
  }
  if (auto leaving = CheckStopDeadline(state.core, state.routed))
    return leaving;
  if (auto quarantined = state.crash_monitor.CheckQuarantine())
    return quarantined;
  const bool is_lost =
      state.core.paths != nullptr &&
      state.core.paths->StateOf(state.routed.service->name, false) ==
          path_state::kUnreachable;
  if (!is_lost)
    return std::nullopt;
  auto unreachable =
      base::MakeError(result_code::kPathLost, base::outcome::kNotRun,
                      "this host reaches no backend server of the service");
  unreachable.retry_after = kPathRetryAfter;
  return unreachable;
}

// Charges the request to the limit of its workspace.
asio::awaitable<base::result<void>> Charge(request_state& state) {
  state.charge = std::make_unique<limit_charge>(state.core, state.routed);
  // The host that received the request has charged it.
  if (state.routed.is_relayed)
    co_return base::result<void>();
  state.trace.wait = request_wait::kWorkspaceTokens;
  auto charged =
      co_await state.charge->Acquire([&state] { return CheckWait(state); });
  state.routed.token_wait = state.charge->waited();
  co_return charged;
}

}  // namespace

asio::awaitable<base::result<void>> AdmitRequest(request_state& state) {
  state.routed.configuration = state.core.configuration;
  state.routed.arrived = std::chrono::steady_clock::now();
  state.routed.waiting_since = state.routed.arrived;
  if (state.routed.configuration == nullptr) {
    auto early =
        base::MakeError(result_code::kNoBackendServer, base::outcome::kNotRun,
                        "this host has not received a configuration yet");
    early.retry_after = kDefaultRetryAfter;
    co_return tl::make_unexpected(std::move(early));
  }
  if (!RouteRequest(state.core, state.request, state.routed))
    co_return tl::make_unexpected(NoRouteError(state.core));
  state.responder.SetDeadline(state.routed.deadline,
                              [&state] { return MakeLateResponse(state); });
  auto checked = co_await CheckSender(state);
  if (!checked)
    co_return checked;
  state.trace.last_event_id = state.routed.metadata.resume_after;
  state.guard = std::make_shared<net::open_guard>();
  state.responder.OnCallerGone([guard = state.guard] { guard->Cancel(); });
  if (auto leaving = CheckStopDeadline(state.core, state.routed))
    co_return tl::make_unexpected(std::move(*leaving));
  if (!state.routed.metadata.prompt.empty())
    decisions::RecordPrompt(state.core.prompts, state.routed.shared_parts);
  state.trace.wait = request_wait::kTrial;
  co_await BeginTrialIfGranted(state.core, state.routed, state.responder);
  if (auto quarantined = state.crash_monitor.CheckQuarantine())
    co_return tl::make_unexpected(std::move(*quarantined));
  auto charged = co_await Charge(state);
  co_return charged;
}

}  // namespace valeledge::host
