// SPDX-License-Identifier: MIT
#include "host/request/relay.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/beast/http.hpp>

#include "host/constants.h"
#include "host/process/response_updates.h"
#include "host/request/attempt_progress.h"
#include "host/request/caller_authentication.h"
#include "host/request/crash_monitor.h"
#include "host/request/event_splitter.h"
#include "host/request/http_forwarding.h"
#include "host/request/limit_charge.h"
#include "host/request/request_trace.h"
#include "host/request/retry_permit.h"
#include "host/request/routed_request.h"
#include "host/request/send_check.h"
#include "host/request/server_attempt.h"
#include "host/request/server_search.h"

namespace valeledge::host {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using base::result_code;
using catalog::route_kind;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Outcome of one attempt.
enum class attempt_outcome {
  // The caller has received the whole response, or has disconnected.
  kDone,
  // The server certainly did not run the request.
  kNotRun,
  // The request may have run, and the caller has no complete response.
  kUnknown,
};

class relay {
 public:
  relay(host_core& core,
        net::http_request& request,
        net::http_responder& responder)
      : core_(core),
        request_(request),
        responder_(responder),
        crash_monitor_(core, request),
        permit_(core.retries) {}

  asio::awaitable<void> Run();

 private:
  asio::awaitable<attempt_outcome> Attempt(const server_choice& choice);
  // Returns the next part of the response body, empty at the end. An error ends
  // the attempt; a failed read counts as a failure of the server unless the
  // caller has disconnected.
  asio::awaitable<tl::expected<std::string_view, attempt_outcome>> ReadPiece(
      net::http_exchange& exchange,
      server_attempt& attempt);
  asio::awaitable<attempt_outcome> ForwardWholeResponse(
      net::http_exchange& exchange,
      server_attempt& attempt);
  asio::awaitable<attempt_outcome> ForwardStream(net::http_exchange& exchange,
                                                 server_attempt& attempt);
  asio::awaitable<bool> ForwardEvents(event_splitter& events,
                                      const net::http_response_header& header,
                                      server_attempt& attempt);
  asio::awaitable<bool> StartResponse(const net::http_response_header& header);
  bool MayRetry(attempt_outcome outcome);
  asio::awaitable<void> Fail(base::error failed);

  host_core& core_;
  net::http_request& request_;
  net::http_responder& responder_;
  crash_monitor crash_monitor_;
  retry_permit permit_;
  routed_request routed_;
  std::shared_ptr<net::open_guard> guard_;
  std::unique_ptr<limit_charge> charge_;
  request_trace trace_;
  std::int64_t possible_executions_ = 0;
  attempt_progress progress_;
  // The id of the next event does not follow that of the last one.
  bool is_event_missing_ = false;
  // An error response of a server, sent to the caller if no further attempt
  // follows.
  std::optional<net::http_response> server_error_response_;
  base::error last_error_;
};

asio::awaitable<bool> relay::StartResponse(
    const net::http_response_header& header) {
  trace_.response_started = true;
  const bool sent = co_await responder_.Start(ForwardableHeader(header));
  co_return sent;
}

asio::awaitable<tl::expected<std::string_view, attempt_outcome>>
relay::ReadPiece(net::http_exchange& exchange, server_attempt& attempt) {
  const auto left = RemainingTime(routed_);
  if (left.count() <= 0)
    co_return tl::make_unexpected(attempt_outcome::kUnknown);
  const auto piece = co_await exchange.ReadSome(left);
  if (responder_.caller_gone()) {
    exchange.Abandon();
    co_return tl::make_unexpected(attempt_outcome::kDone);
  }
  if (!piece) {
    last_error_ = piece.error();
    attempt.OnConnectionError(last_error_);
    attempt.OnFailed(false);
    co_return tl::make_unexpected(attempt_outcome::kUnknown);
  }
  attempt.OnData();
  if (!piece->empty() && !progress_.first_body_at)
    progress_.first_body_at = std::chrono::steady_clock::now();
  co_return *piece;
}

asio::awaitable<attempt_outcome> relay::ForwardWholeResponse(
    net::http_exchange& exchange,
    server_attempt& attempt) {
  net::http_response response(exchange.header());
  while (true) {
    const auto piece = co_await ReadPiece(exchange, attempt);
    if (!piece)
      co_return piece.error();
    if (piece->empty())
      break;
    response.body().append(*piece);
    if (response.body().size() > net::kMaxAnswerBytes) {
      last_error_ =
          base::MakeError(result_code::kAnswerBroken, base::outcome::kUnknown,
                          "the response exceeds the maximum size");
      co_return attempt_outcome::kUnknown;
    }
  }
  attempt.OnFirstByte();
  net::http_response_header passed = ForwardableHeader(response.base());
  net::http_response whole(std::move(passed));
  whole.body() = std::move(response.body());
  if (trace_.response_started) {
    // The server did not resume the stream but sent another response.
    last_error_ = base::MakeError(
        result_code::kAnswerBroken, base::outcome::kUnknown,
        "cannot resume the stream: the backend server responded with status " +
            std::to_string(whole.result_int()));
    attempt.OnFailed(false);
    co_return attempt_outcome::kUnknown;
  }
  const bool failed = whole.result_int() >= 500;
  if (failed) {
    attempt.OnFailed(false);
  } else {
    attempt.OnCompleted();
    crash_monitor_.OnSuccessfulResponse();
  }
  if (failed && routed_.route->MayRepeat()) {
    last_error_ =
        base::MakeError(result_code::kOutcomeUnknown, base::outcome::kUnknown,
                        "the backend server responded with status " +
                            std::to_string(whole.result_int()));
    server_error_response_ = std::move(whole);
    co_return attempt_outcome::kUnknown;
  }
  co_await responder_.Send(std::move(whole));
  co_return attempt_outcome::kDone;
}

// Forwards all complete events up to a gap in their ids; returns false if the
// caller has disconnected.
asio::awaitable<bool> relay::ForwardEvents(
    event_splitter& events,
    const net::http_response_header& header,
    server_attempt& attempt) {
  std::string batch;
  while (!is_event_missing_) {
    const auto event = events.Next();
    if (!event)
      break;
    const auto id = core_.protocol.read_event_id(*event);
    if (id && !trace_.last_event_id.empty()) {
      const std::int64_t last = std::atoll(trace_.last_event_id.c_str());
      // A server that resumes a stream may repeat events that the caller
      // already has, but must not skip any.
      if (*id <= last)
        continue;
      is_event_missing_ = *id != last + 1;
    }
    if (is_event_missing_)
      break;
    if (id)
      trace_.last_event_id = std::to_string(*id);
    batch.append(*event);
  }
  if (batch.empty())
    co_return true;
  attempt.OnFirstByte();
  RecordEventGap(routed_, trace_);
  if (!trace_.response_started) {
    const bool begun = co_await StartResponse(header);
    if (!begun)
      co_return false;
  }
  const bool sent = co_await responder_.Write(batch);
  co_return sent;
}

asio::awaitable<attempt_outcome> relay::ForwardStream(
    net::http_exchange& exchange,
    server_attempt& attempt) {
  event_splitter events;
  while (true) {
    const auto piece = co_await ReadPiece(exchange, attempt);
    if (!piece)
      co_return piece.error();
    if (piece->empty())
      break;
    events.Append(*piece);
    const bool passed =
        co_await ForwardEvents(events, exchange.header(), attempt);
    if (!passed) {
      exchange.Abandon();
      co_return attempt_outcome::kDone;
    }
    if (is_event_missing_ || events.IsOverlong()) {
      last_error_ = base::MakeError(
          result_code::kAnswerBroken, base::outcome::kUnknown,
          is_event_missing_ ? "the stream skipped an event"
                            : "an event exceeds the maximum size");
      is_event_missing_ = false;
      exchange.Abandon();
      attempt.OnFailed(false);
      co_return attempt_outcome::kUnknown;
    }
  }
  if (!events.Remainder().empty()) {
    // A stream that ends in the middle of an event is incomplete.
    last_error_ =
        base::MakeError(result_code::kAnswerBroken, base::outcome::kUnknown,
                        "the stream ended in the middle of an event");
    attempt.OnFailed(false);
    co_return attempt_outcome::kUnknown;
  }
  attempt.OnCompleted();
  crash_monitor_.OnSuccessfulResponse();
  if (!trace_.response_started)
    co_await StartResponse(exchange.header());
  co_await responder_.Finish();
  co_return attempt_outcome::kDone;
}

asio::awaitable<attempt_outcome> relay::Attempt(const server_choice& choice) {
  known_server& server = *choice.server;
  auto forwarded =
      ForwardableRequest(request_, core_.protocol.end_to_end_fields);
  attempt_metadata attempt_fields;
  attempt_fields.deadline = std::max(RemainingTime(routed_), milliseconds(1));
  attempt_fields.instance = server.entry.instance;
  attempt_fields.priority = PriorityOf(routed_);
  attempt_fields.workspace = WorkspaceName(routed_);
  const bool is_resumed =
      trace_.response_started || !routed_.metadata.resume_after.empty();
  if (is_resumed)
    attempt_fields.resume_after = trace_.last_event_id;
  core_.protocol.write_attempt(forwarded, attempt_fields);
  milliseconds header_timeout = RemainingTime(routed_);
  if (routed_.route->MayRepeat() &&
      possible_executions_ + 1 < routed_.route->attempts) {
    const auto part = duration_cast<milliseconds>(routed_.route->objective *
                                                  kHeaderTimeoutFraction);
    header_timeout = std::min({header_timeout, part, kMaxHeaderTimeout});
  }
  server_attempt attempt(core_, choice, routed_.metadata, routed_.weight,
                         *routed_.demand);
  ++trace_.attempts;
  progress_ = {std::chrono::steady_clock::now(), {}, {}};
  last_error_ = {};
  LogAttemptSent(core_, routed_, trace_, choice, attempt_fields);
  guard_->SetSendCheck([this, &server, &attempt] {
    auto allowed = CheckSend(core_, server);
    if (allowed)
      attempt.OnSent();
    return allowed;
  });
  auto opened = co_await core_.http.Open(
      server.entry.address, std::move(forwarded),
      std::min(RemainingTime(routed_), kConnectTimeout), header_timeout,
      net::connection_use::kPooled, guard_.get());
  if (responder_.caller_gone())
    co_return attempt_outcome::kDone;
  if (!opened && WasWithheld(opened.error())) {
    last_error_ = opened.error();
    co_return attempt_outcome::kNotRun;
  }
  if (!opened) {
    last_error_ = opened.error();
    attempt.OnConnectionError(last_error_);
    const bool not_run = last_error_.what_ran == base::outcome::kNotRun;
    attempt.OnFailed(not_run || RemainingTime(routed_).count() > 0);
    LogAttemptFailed(core_, routed_, trace_, server, last_error_);
    co_return not_run ? attempt_outcome::kNotRun : attempt_outcome::kUnknown;
  }
  progress_.header_at = std::chrono::steady_clock::now();
  attempt.OnData();
  net::http_exchange& exchange = **opened;
  responder_.OnCallerGone([weak = std::weak_ptr<net::http_exchange>(*opened)] {
    if (const auto open = weak.lock())
      open->Abandon();
  });
  const response_metadata metadata =
      core_.protocol.read_response(exchange.header());
  const bool is_foreign = !metadata.request_id.empty() &&
                          metadata.request_id != routed_.metadata.id;
  if (is_foreign || metadata.is_encoded ||
      (!metadata.is_signed && !metadata.not_run && !metadata.misdirected)) {
    exchange.Abandon();
    attempt.OnFailed(false);
    last_error_ = base::MakeError(
        result_code::kAnswerBroken, base::outcome::kUnknown,
        "the response is unsigned, encoded, or belongs to another request");
    co_return attempt_outcome::kUnknown;
  }
  ApplyRequestResponse(core_, server, metadata, progress_.sent);
  if (metadata.not_run || metadata.misdirected) {
    attempt.OnRefused(metadata);
    last_error_ =
        base::MakeError(result_code::kBackendRefused, base::outcome::kNotRun,
                        "the backend server responded with status " +
                            std::to_string(exchange.header().result_int()));
    // Read the body of the refusal so that the connection can be reused.
    while (true) {
      const auto piece = co_await exchange.ReadSome(kConnectTimeout);
      if (!piece || piece->empty())
        break;
    }
    co_return attempt_outcome::kNotRun;
  }
  const bool streams = routed_.route->kind == route_kind::kStream &&
                       exchange.header().result_int() == 200;
  if (streams) {
    const attempt_outcome outcome = co_await ForwardStream(exchange, attempt);
    co_return outcome;
  }
  const attempt_outcome outcome =
      co_await ForwardWholeResponse(exchange, attempt);
  co_return outcome;
}

// Whether another attempt may follow one with this outcome.
bool relay::MayRetry(attempt_outcome outcome) {
  if (trace_.attempts >= kMaxAttempts || RemainingTime(routed_).count() <= 0)
    return false;
  if (outcome == attempt_outcome::kUnknown) {
    ++possible_executions_;
    if (!routed_.route->MayRepeat() ||
        possible_executions_ >= routed_.route->attempts)
      return false;
  }
  permit_.RecordFailure(last_error_);
  return permit_.MayAcquire(routed_.service->name,
                            std::chrono::steady_clock::now());
}

asio::awaitable<void> relay::Fail(base::error failed) {
  if (responder_.caller_gone())
    co_return;
  LogRefused(core_, routed_, trace_, failed);
  if (trace_.response_started) {
    responder_.Break();
    co_return;
  }
  if (server_error_response_ && failed.what_ran != base::outcome::kNotRun) {
    co_await responder_.Send(std::move(*server_error_response_));
    co_return;
  }
  co_await responder_.Send(MakeErrorResponse(failed));
}

asio::awaitable<void> relay::Run() {
  routed_.configuration = core_.configuration;
  routed_.arrived = std::chrono::steady_clock::now();
  if (routed_.configuration == nullptr) {
    auto early =
        base::MakeError(result_code::kNoBackendServer, base::outcome::kNotRun,
                        "this host has not received a configuration yet");
    early.retry_after = kDefaultRetryAfter;
    co_await Fail(std::move(early));
    co_return;
  }
  if (!RouteRequest(core_, request_, routed_)) {
    co_await Fail(NoRouteError(core_));
    co_return;
  }
  if (const auto refused = AuthenticateCaller(core_, routed_)) {
    co_await Fail(*refused);
    co_return;
  }
  trace_.last_event_id = routed_.metadata.resume_after;
  core_.retries.RecordRequest(routed_.service->name, routed_.arrived);
  guard_ = std::make_shared<net::open_guard>();
  responder_.OnCallerGone([guard = guard_] { guard->Cancel(); });
  if (const auto leaving = CheckStopDeadline(core_, routed_)) {
    co_await Fail(*leaving);
    co_return;
  }
  if (const auto quarantined = crash_monitor_.CheckQuarantine()) {
    co_await Fail(*quarantined);
    co_return;
  }
  charge_ = std::make_unique<limit_charge>(core_, routed_);
  const auto charged = co_await charge_->Acquire();
  if (!charged) {
    co_await Fail(charged.error());
    co_return;
  }
  bool ran = false;
  while (true) {
    auto choice = co_await FindServer(
        core_, routed_, !ran && !trace_.response_started, responder_);
    // The request may have been quarantined while it waited, or because of its
    // last attempt.
    const auto quarantined = crash_monitor_.CheckQuarantine();
    if (quarantined)
      choice = tl::make_unexpected(*quarantined);
    if (!choice) {
      // No server was found for another attempt: report the result of the last
      // one.
      base::error failed = ran ? last_error_ : choice.error();
      if (ran)
        failed.what_ran = base::outcome::kUnknown;
      co_await Fail(std::move(failed));
      co_return;
    }
    if (!permit_.Acquire(routed_.service->name,
                         std::chrono::steady_clock::now())) {
      break;
    }
    const attempt_outcome outcome = co_await Attempt(*choice);
    if (outcome == attempt_outcome::kDone)
      charge_->Commit();
    if (outcome == attempt_outcome::kDone || responder_.caller_gone()) {
      LogCompleted(core_, routed_, trace_, *choice->server,
                   responder_.caller_gone());
      co_return;
    }
    if (outcome == attempt_outcome::kUnknown) {
      crash_monitor_.OnAttemptFailed(routed_, *choice->server, progress_,
                                     last_error_);
    }
    if (outcome == attempt_outcome::kUnknown)
      charge_->Commit();
    ran = ran || outcome == attempt_outcome::kUnknown;
    if (!MayRetry(outcome))
      break;
    core_.metrics.CountRetry(last_error_.code);
    routed_.failed_instances.push_back(choice->server->entry.instance);
    responder_.OnCallerGone([guard = guard_] { guard->Cancel(); });
  }
  base::error failed = last_error_;
  if (!ran) {
    failed = base::MakeError(
        permit_.is_exhausted() ? result_code::kRetryBudgetExhausted
                               : result_code::kOverloaded,
        base::outcome::kNotRun,
        "no backend server accepted the request: " + last_error_.message);
    failed.retry_after = RetryAfterRefusals(core_, routed_);
  } else if (RemainingTime(routed_).count() <= 0) {
    failed =
        base::MakeError(result_code::kDeadlinePassed, base::outcome::kUnknown,
                        "no complete response before the deadline");
  } else if (failed.what_ran == base::outcome::kNotRun) {
    failed = base::MakeError(result_code::kOutcomeUnknown,
                             base::outcome::kUnknown, last_error_.message);
  }
  co_await Fail(std::move(failed));
}

}  // namespace

asio::awaitable<void> RelayRequest(host_core& core,
                                   net::http_request& request,
                                   net::http_responder& responder) {
  relay one(core, request, responder);
  co_await one.Run();
}

}  // namespace valeledge::host
