// SPDX-License-Identifier: MIT
#include "host/request/direct_attempt.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <utility>

#include "host/constants.h"
#include "host/process/response_updates.h"
#include "host/request/attempt_timeouts.h"
#include "host/request/http_forwarding.h"
#include "host/request/response_forwarding.h"
#include "host/request/send_check.h"
#include "host/request/server_attempt.h"

namespace valeledge::host {

namespace {

namespace asio = boost::asio;
using base::result_code;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

}  // namespace

asio::awaitable<attempt_outcome> AttemptDirectly(request_state& state,
                                                 const server_choice& choice) {
  known_server& server = *choice.server;
  auto forwarded =
      ForwardableRequest(state.request, state.core.protocol.end_to_end_fields);
  attempt_metadata attempt_fields;
  attempt_fields.deadline =
      std::max(RemainingTime(state.routed), milliseconds(1));
  attempt_fields.instance = server.entry.instance;
  attempt_fields.priority = PriorityOf(state.routed);
  attempt_fields.workspace = WorkspaceName(state.routed);
  const bool is_resumed = state.trace.response_started ||
                          !state.routed.metadata.resume_after.empty();
  if (is_resumed)
    attempt_fields.resume_after = state.trace.last_event_id;
  state.core.protocol.write_attempt(forwarded, attempt_fields);
  const milliseconds header_timeout = HeaderTimeout(state);
  server_attempt attempt(state.core, choice, state.routed.metadata,
                         state.routed.weight, *state.routed.demand);
  ++state.trace.attempts;
  state.progress = {std::chrono::steady_clock::now(), {}, {}};
  // What broke the last connection may have broken the idle ones as well.
  const auto use = state.last_error.connection_lost
                       ? net::connection_use::kFresh
                       : net::connection_use::kPooled;
  state.last_error = {};
  state.trace.server_status = 0;
  state.trace.connection = 0;
  state.instance = server.entry.instance;
  state.software = server.entry.software;
  LogAttemptSent(state.core, state.routed, state.trace, choice, attempt_fields);
  const bool may_repeat = state.routed.route->MayRepeat();
  attempt.OnInterrupt(may_repeat,
                      [guard = state.guard] { guard->Interrupt(); });
  WatchAttempt(state, {choice.server,
                       {},
                       duration_cast<milliseconds>(choice.expected),
                       choice.unscaled});
  state.guard->SetSendCheck([&state, &server, &attempt] {
    if (auto quarantined = state.crash_monitor.CheckQuarantine())
      return base::result<void>(tl::make_unexpected(std::move(*quarantined)));
    auto allowed = CheckSend(state.core, server);
    if (allowed) {
      attempt.OnSent();
      StartWatch(state);
    }
    return allowed;
  });
  state.trace.wait = request_wait::kResponseHeader;
  auto opened = co_await state.core.http.Open(
      server.entry.address, std::move(forwarded),
      net::open_limit{kConnectTimeout, header_timeout, state.routed.deadline},
      use, state.guard.get());
  if (state.responder.caller_gone())
    co_return OutcomeWithoutCaller(opened);
  const bool not_run =
      !opened && opened.error().what_ran == base::outcome::kNotRun;
  // The server had no part in these.
  const bool is_own_decision =
      not_run && (WasWithheld(opened.error()) ||
                  opened.error().code == result_code::kDeadlinePassed);
  if (is_own_decision) {
    state.last_error = opened.error();
    LogAttemptNotRun(
        state.core, state.routed, state.trace, server.entry.instance,
        WasWithheld(state.last_error) ? not_run_evidence::kWithheld
                                      : not_run_evidence::kNotSent);
    co_return attempt_outcome::kNotRun;
  }
  if (!opened) {
    state.last_error = opened.error();
    ExplainAbandoned(state);
    attempt.OnConnectionError(state.last_error);
    const bool is_unusable =
        state.last_error.code == result_code::kAnswerBroken;
    attempt.OnFailed(not_run ||
                     (!is_unusable && RemainingTime(state.routed).count() > 0));
    LogAttemptFailed(state.core, state.routed, state.trace,
                     server.entry.instance, state.last_error);
    if (not_run) {
      LogAttemptNotRun(state.core, state.routed, state.trace,
                       server.entry.instance, not_run_evidence::kNotSent);
    }
    co_return not_run ? attempt_outcome::kNotRun : attempt_outcome::kUnknown;
  }
  state.progress.header_at = std::chrono::steady_clock::now();
  attempt.OnData();
  WatchBody(state, *opened);
  net::http_exchange& exchange = **opened;
  state.trace.connection = exchange.connection_number();
  if (exchange.EndsWithConnection())
    state.core.metrics.Counter("valeledge_unframed_responses_total").Add();
  attempt.OnInterrupt(may_repeat,
                      [weak = std::weak_ptr<net::http_exchange>(*opened)] {
                        if (const auto open = weak.lock())
                          open->Abandon();
                      });
  state.responder.OnCallerGone(
      [weak = std::weak_ptr<net::http_exchange>(*opened)] {
        if (const auto open = weak.lock())
          open->Abandon();
      });
  const response_metadata metadata =
      state.core.protocol.read_response(exchange.header());
  if (!IsServerResponse(state, metadata)) {
    exchange.Abandon();
    attempt.OnFailed(false);
    LogAttemptFailed(state.core, state.routed, state.trace,
                     server.entry.instance, state.last_error);
    co_return attempt_outcome::kUnknown;
  }
  state.trace.server_status = static_cast<int>(exchange.header().result_int());
  ApplyRequestResponse(state.core, server, metadata, state.progress.sent);
  state.crash_monitor.OnResponseHeader(server, state.progress.sent);
  if (StatesNotRun(state, metadata)) {
    attempt.OnRefused(metadata);
    state.last_error =
        base::MakeError(result_code::kBackendRefused, base::outcome::kNotRun,
                        "the backend server responded with status " +
                            std::to_string(exchange.header().result_int()));
    LogAttemptNotRun(state.core, state.routed, state.trace,
                     server.entry.instance,
                     metadata.not_run ? not_run_evidence::kRefusal
                                      : not_run_evidence::kMisdirected,
                     metadata);
    state.core.http.DiscardBody(*opened);
    co_return attempt_outcome::kNotRun;
  }
  const attempt_outcome outcome =
      co_await ForwardResponse(state, exchange, &attempt);
  co_return outcome;
}

}  // namespace valeledge::host
