// SPDX-License-Identifier: MIT
#include "host/request/peer_attempt.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <utility>

#include "host/constants.h"
#include "host/process/path_monitor.h"
#include "host/process/response_updates.h"
#include "host/request/attempt_timeouts.h"
#include "host/request/peer_relay.h"
#include "host/request/response_forwarding.h"
#include "net/retry_after.h"

namespace valeledge::host {

namespace {

namespace asio = boost::asio;
using base::result_code;

// Handles an error of the other host itself.
attempt_outcome TakePeerError(request_state& state,
                              const net::http_exchange& exchange,
                              const base::endpoint& peer,
                              const relayed_response& stated) {
  const bool not_run = stated.what_ran == base::outcome::kNotRun;
  const bool takes_none = stated.code == result_code::kPathLost ||
                          stated.code == result_code::kLeaving;
  if (not_run && takes_none) {
    state.core.paths->OnRelayFailed(state.routed.service->name, peer);
    state.last_error = base::MakeError(
        result_code::kBackendUnreachable, base::outcome::kNotRun,
        base::ToString(peer) + ": takes no requests of other hosts");
    return attempt_outcome::kNotRun;
  }
  state.last_error =
      base::MakeError(stated.code, stated.what_ran,
                      base::ToString(peer) + ": could not serve the request");
  state.last_error.retry_after =
      net::ReadRetryAfter(exchange.header(), std::chrono::system_clock::now())
          .delay;
  // A host of an earlier version names no server, and has repeated the request
  // itself.
  if (not_run || stated.server.empty())
    state.peer_error = state.last_error;
  return not_run ? attempt_outcome::kNotRun : attempt_outcome::kUnknown;
}

// The next host to which the request is relayed avoids the server.
void RecordFailedServer(request_state& state,
                        const std::string& instance,
                        attempt_outcome outcome) {
  if (outcome == attempt_outcome::kUnknown && !instance.empty())
    state.failed_at_peers.push_back(instance);
}

// Applies what a server has stated to the other host.
void ApplyRelayedNotices(request_state& state,
                         const std::string& instance,
                         const response_metadata& metadata) {
  const auto server = state.core.servers.Find(instance);
  if (server == nullptr)
    return;
  response_metadata statements = metadata;
  // A backoff concerns the host to which the server responded.
  statements.backoff.reset();
  ApplyRequestResponse(state.core, *server, statements, state.progress.sent);
}

}  // namespace

asio::awaitable<attempt_outcome> AttemptThroughPeer(
    request_state& state,
    const base::endpoint& peer) {
  ++state.trace.relays;
  state.progress = {std::chrono::steady_clock::now(), {}, {}};
  state.last_error = {};
  state.instance.clear();
  state.trace.connection = 0;
  LogAttemptRelayed(state.core, state.routed, state.trace, peer);
  WatchAttempt(state, AttemptThroughHost(state.core, state.routed, peer));
  state.guard->SetSendCheck([&state] {
    StartWatch(state);
    return base::result<void>();
  });
  state.trace.wait = request_wait::kResponseHeader;
  auto opened = co_await state.core.http.Open(
      peer, MakeRelayedRequest(state),
      net::open_limit{kRelayConnectTimeout, HeaderTimeout(state),
                      state.routed.deadline},
      net::connection_use::kPooled, state.guard.get());
  if (state.responder.caller_gone())
    co_return OutcomeWithoutCaller(opened);
  if (!opened) {
    state.last_error = opened.error();
    ExplainAbandoned(state);
    if (state.last_error.code != result_code::kDeadlinePassed)
      state.core.paths->OnRelayFailed(state.routed.service->name, peer);
    LogAttemptFailed(state.core, state.routed, state.trace,
                     base::ToString(peer), state.last_error);
    if (state.last_error.what_ran != base::outcome::kNotRun)
      co_return attempt_outcome::kUnknown;
    LogAttemptNotRun(state.core, state.routed, state.trace,
                     base::ToString(peer), not_run_evidence::kNotSent);
    co_return attempt_outcome::kNotRun;
  }
  state.progress.header_at = std::chrono::steady_clock::now();
  WatchBody(state, *opened);
  net::http_exchange& exchange = **opened;
  state.trace.connection = exchange.connection_number();
  state.responder.OnCallerGone(
      [weak = std::weak_ptr<net::http_exchange>(*opened)] {
        if (const auto open = weak.lock())
          open->Abandon();
      });
  const relayed_response stated = ReadRelayFields(exchange.header());
  if (stated.code != result_code::kOk) {
    state.core.http.DiscardBody(*opened);
    const attempt_outcome outcome =
        TakePeerError(state, exchange, peer, stated);
    RecordFailedServer(state, stated.server, outcome);
    if (outcome == attempt_outcome::kNotRun) {
      LogAttemptNotRun(state.core, state.routed, state.trace,
                       base::ToString(peer), not_run_evidence::kPeerStatement);
    }
    co_return outcome;
  }
  const response_metadata metadata =
      state.core.protocol.read_response(exchange.header());
  if (!IsServerResponse(state, metadata)) {
    exchange.Abandon();
    co_return attempt_outcome::kUnknown;
  }
  state.software = stated.software;
  if (state.routed.origin && state.routed.origin->software != state.software) {
    state.last_error = base::MakeError(
        result_code::kAnswerBroken, base::outcome::kUnknown,
        base::ToString(peer) + ": continued the stream at another version");
    exchange.Abandon();
    co_return attempt_outcome::kUnknown;
  }
  ApplyRelayedNotices(state, stated.server, metadata);
  const attempt_outcome outcome =
      co_await ForwardResponse(state, exchange, nullptr);
  RecordFailedServer(state, stated.server, outcome);
  co_return outcome;
}

}  // namespace valeledge::host
