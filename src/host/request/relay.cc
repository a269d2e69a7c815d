// SPDX-License-Identifier: MIT
#include "host/request/relay.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "host/constants.h"
#include "host/process/path_monitor.h"
#include "host/request/attempt_outcome.h"
#include "host/request/attempt_timeouts.h"
#include "host/request/direct_attempt.h"
#include "host/request/failure_response.h"
#include "host/request/peer_attempt.h"
#include "host/request/request_admission.h"
#include "host/request/request_state.h"
#include "host/request/request_trace.h"
#include "host/request/server_search.h"
#include "net/deadline_responder.h"

namespace valeledge::host {

namespace {

namespace asio = boost::asio;
using base::result_code;

// Interval at which a stream that is resumed looks whether the budget has a
// retry again.
constexpr std::chrono::milliseconds kRetryRecheckInterval{50};

// Sends the request once, through another host if this one does not reach the
// servers. Returns an error if no attempt can be made.
asio::awaitable<base::result<attempt_outcome>> AttemptOnce(request_state& state,
                                                           bool ran) {
  std::optional<decisions::relay_peer> peer;
  std::optional<server_choice> choice;
  BoundByStop(state.core, state.routed);
  while (!peer && !choice) {
    if (state.core.paths != nullptr && !state.routed.is_relayed)
      peer = state.core.paths->ChooseRelay(state.routed.service->name,
                                           state.trace.relays == 0);
    if (peer)
      break;
    auto found = co_await FindServer(state.core, state.routed,
                                     !ran && !state.trace.response_started,
                                     state.responder, state.trace);
    const bool has_peer =
        !found && !state.routed.is_relayed &&
        found.error().code == result_code::kPathLost &&
        state.core.paths->ChooseRelay(state.routed.service->name, true);
    if (found)
      choice = std::move(*found);
    else if (!has_peer)
      co_return tl::make_unexpected(std::move(found.error()));
  }
  if (state.responder.caller_gone()) {
    co_return base::NotRun(result_code::kCallerGone,
                           "the caller no longer waits");
  }
  // The request may have been quarantined while it waited, or because of its
  // last attempt.
  if (const auto quarantined = state.crash_monitor.CheckQuarantine())
    co_return tl::make_unexpected(*quarantined);
  if (!state.permit.Acquire(state.routed.service->name,
                            std::chrono::steady_clock::now()))
    co_return attempt_outcome::kDenied;
  if (peer) {
    const auto outcome =
        co_await AttemptThroughPeer(state, peer->relay_address);
    state.watch = nullptr;
    state.target = base::ToString(peer->relay_address);
    co_return outcome;
  }
  const auto outcome = co_await AttemptDirectly(state, *choice);
  state.watch = nullptr;
  state.target = choice->server->entry.instance;
  if (outcome == attempt_outcome::kUnknown && !state.responder.caller_gone()) {
    state.crash_monitor.OnAttemptFailed(*choice->server, state.progress,
                                        state.last_error);
  }
  const bool resumes = state.routed.origin.has_value();
  // A stream that is resumed may return to an engine that was full.
  const bool was_full = resumes && outcome == attempt_outcome::kNotRun &&
                        state.last_error.code == result_code::kBackendRefused;
  if (resumes && state.last_error.code == result_code::kBackendUnreachable)
    ++state.trace.unreachable;
  if (outcome != attempt_outcome::kDone && !was_full)
    state.routed.failed_instances.push_back(state.target);
  co_return outcome;
}

// Waits until the budget has a retry or the caller may give up.
asio::awaitable<bool> AwaitRetry(request_state& state) {
  asio::steady_timer pause(state.core.context);
  while (!state.responder.caller_gone() &&
         std::chrono::steady_clock::now() < ResumeCutoff(state.routed)) {
    pause.expires_after(kRetryRecheckInterval);
    co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
    if (state.permit.CanAcquire(state.routed.service->name,
                                std::chrono::steady_clock::now()))
      co_return true;
  }
  co_return false;
}

// Whether another attempt may follow one with this outcome.
asio::awaitable<bool> MayRetry(request_state& state, attempt_outcome outcome) {
  if (!HasAttemptsLeft(state.trace) ||
      RemainingTime(state.routed).count() <= 0 || !state.routed.trial.empty())
    co_return false;
  if (outcome == attempt_outcome::kUnknown) {
    const bool may_repeat = MayRepeatAttempt(state);
    ++state.possible_executions;
    if (!may_repeat)
      co_return false;
  }
  state.permit.RecordFailure(state.last_error);
  if (state.permit.MayAcquire(state.routed.service->name,
                              std::chrono::steady_clock::now()))
    co_return true;
  // The caller of a broken response can resume the stream at another host,
  // which needs no retry.
  if (!state.routed.origin || state.trace.response_started)
    co_return false;
  co_return co_await AwaitRetry(state);
}

asio::awaitable<void> Fail(request_state& state, base::error failed) {
  if (state.responder.caller_gone())
    co_return;
  LogRefused(state.core, state.routed, state.trace, failed);
  if (state.trace.response_started) {
    state.responder.Break();
    co_return;
  }
  if (state.server_error_response &&
      failed.what_ran != base::outcome::kNotRun) {
    state.server_error_share->SetGiveWay([&state] { state.responder.Break(); });
    co_await state.responder.Send(std::move(*state.server_error_response));
    co_return;
  }
  auto response = MakeFailureResponse(state, failed);
  co_await state.responder.Send(std::move(response));
}

// The error of a request after whose last attempt no other one may follow.
// `ran`: an attempt may have run.
base::error FinalError(request_state& state, bool ran) {
  base::error failed = state.last_error;
  if (!ran) {
    failed = base::MakeError(
        state.permit.is_exhausted() ? result_code::kRetryBudgetExhausted
                                    : result_code::kOverloaded,
        base::outcome::kNotRun,
        "no backend server accepted the request: " + state.last_error.message);
    failed.retry_after = RetryAfterRefusals(state.core, state.routed);
  } else if (RemainingTime(state.routed).count() <= 0) {
    failed =
        base::MakeError(result_code::kDeadlinePassed, base::outcome::kUnknown,
                        "no complete response before the deadline");
  } else if (failed.what_ran == base::outcome::kNotRun) {
    failed = base::MakeError(result_code::kOutcomeUnknown,
                             base::outcome::kUnknown, state.last_error.message);
  }
  return failed;
}

// Serves the request until it has a final response or its caller is gone.
asio::awaitable<void> Serve(request_state& state) {
  const auto admitted = co_await AdmitRequest(state);
  if (!admitted) {
    co_await Fail(state, admitted.error());
    co_return;
  }
  bool ran = state.possible_executions > 0;
  while (true) {
    const auto attempted = co_await AttemptOnce(state, ran);
    if (!attempted) {
      // No server was found for another attempt: report the result of the last
      // one.
      base::error failed = ran ? state.last_error : attempted.error();
      if (ran)
        failed.what_ran = base::outcome::kUnknown;
      co_await Fail(state, std::move(failed));
      co_return;
    }
    const attempt_outcome outcome = *attempted;
    if (outcome == attempt_outcome::kDenied)
      break;
    if (outcome != attempt_outcome::kNotRun)
      state.charge->Commit();
    if (outcome == attempt_outcome::kDone || state.responder.caller_gone()) {
      if (!state.responder.is_late()) {
        LogCompleted(state.core, state.routed, state.trace, state.target,
                     state.responder.caller_gone());
      }
      co_return;
    }
    ran = ran || outcome == attempt_outcome::kUnknown;
    if (state.peer_error) {
      // The other host's refusal does not cover earlier attempts.
      if (ran && state.peer_error->what_ran == base::outcome::kNotRun) {
        state.peer_error =
            base::MakeError(result_code::kOutcomeUnknown,
                            base::outcome::kUnknown, state.peer_error->message);
      }
      co_await Fail(state, *state.peer_error);
      co_return;
    }
    const bool may_retry = co_await MayRetry(state, outcome);
    if (!may_retry)
      break;
    state.core.metrics.CountRetry(state.last_error.code);
    state.responder.OnCallerGone([guard = state.guard] { guard->Cancel(); });
  }
  co_await Fail(state, FinalError(state, ran));
}

}  // namespace

asio::awaitable<void> RelayRequest(host_core& core,
                                   net::http_request& request,
                                   net::http_responder& responder,
                                   request_origin origin) {
  const auto bounded =
      std::make_shared<net::deadline_responder>(core.context, responder);
  request_state state(core, request, *bounded);
  state.routed.is_relayed = origin == request_origin::kPeer;
  const auto final_response = core.final_responses.insert(
      core.final_responses.end(), [weak = std::weak_ptr(bounded)] {
        if (const auto under_way = weak.lock())
          under_way->EndNow();
      });
  co_await Serve(state);
  core.final_responses.erase(final_response);
  co_await bounded->Close();
}

}  // namespace valeledge::host
