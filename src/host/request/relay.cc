// SPDX-License-Identifier: MIT
#include "host/request/relay.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/beast/http.hpp>

#include "host/constants.h"
#include "host/process/path_monitor.h"
#include "host/process/response_updates.h"
#include "host/request/attempt_progress.h"
#include "host/request/attempt_watch.h"
#include "host/request/caller_authentication.h"
#include "host/request/crash_monitor.h"
#include "host/request/event_splitter.h"
#include "host/request/http_forwarding.h"
#include "host/request/limit_charge.h"
#include "host/request/peer_relay.h"
#include "host/request/prompt_trial.h"
#include "host/request/request_trace.h"
#include "host/request/retry_permit.h"
#include "host/request/routed_request.h"
#include "host/request/send_check.h"
#include "host/request/server_attempt.h"
#include "host/request/server_search.h"
#include "host/request/stream_continuation.h"
#include "net/retry_after.h"

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
  // The retry budget did not allow the attempt.
  kDenied,
};

// Outcome of an attempt whose caller disconnected before the response header
// arrived. What was not sent did not run, and is not charged.
attempt_outcome OutcomeWithoutCaller(
    const base::result<std::shared_ptr<net::http_exchange>>& opened) {
  const bool not_run =
      !opened && opened.error().what_ran == base::outcome::kNotRun;
  return not_run ? attempt_outcome::kNotRun : attempt_outcome::kDone;
}

class relay {
 public:
  relay(host_core& core,
        net::http_request& request,
        net::http_responder& responder,
        request_origin origin)
      : core_(core),
        request_(request),
        responder_(responder),
        crash_monitor_(core, request, routed_),
        permit_(core.retries) {
    routed_.is_relayed = origin == request_origin::kPeer;
  }

  asio::awaitable<void> Run();

 private:
  // Prepares a request that another host has received. Returns an error if
  // this host must not serve it.
  std::optional<base::error> AcceptRelayed(const relayed_request& relayed);
  asio::awaitable<bool> Admit();
  // Charges the request to the limit of its workspace.
  asio::awaitable<base::result<void>> Charge();
  // Returns the error with which a request ends that waits for tokens of its
  // workspace; nothing if it goes on.
  std::optional<base::error> CheckWait();
  asio::awaitable<base::result<attempt_outcome>> AttemptOnce(bool ran);
  asio::awaitable<attempt_outcome> Attempt(const server_choice& choice);
  asio::awaitable<attempt_outcome> AttemptThroughPeer(
      const base::endpoint& peer);
  // Handles an error of the other host itself.
  asio::awaitable<attempt_outcome> TakePeerError(net::http_exchange& exchange,
                                                 const base::endpoint& peer,
                                                 result_code code);
  // Whether a response is a server's to this request; sets the last error if
  // not.
  bool IsServerResponse(const response_metadata& metadata);
  // Whether another attempt may follow the present one if that may have run.
  bool MayRepeatAttempt() const;
  // Returns how long an attempt waits for the header of its response.
  milliseconds HeaderTimeout() const;
  // Begins to watch an attempt, if its request has an adaptive time-out.
  void Watch(watched_attempt attempt);
  // The request is about to be written.
  void StartWatch();
  // Notes in the last error that the watch has ended the attempt.
  void ExplainAbandoned();
  // The header of a response has arrived.
  void WatchBody(const std::shared_ptr<net::http_exchange>& exchange);
  // Applies what a server has stated to the other host.
  void ApplyRelayedNotices(const std::string& instance,
                           const response_metadata& metadata);
  // Returns the next part of the response body, empty at the end. An error ends
  // the attempt; a failed read counts as a failure of the server unless the
  // caller has disconnected.
  asio::awaitable<tl::expected<std::string_view, attempt_outcome>> ReadPiece(
      net::http_exchange& exchange,
      server_attempt* attempt);
  // A whole response that is not a server error has arrived from a server.
  void OnWholeResponse(const net::http_exchange& exchange,
                       server_attempt& attempt);
  asio::awaitable<attempt_outcome> ForwardWholeResponse(
      net::http_exchange& exchange,
      server_attempt* attempt);
  asio::awaitable<attempt_outcome> ForwardStream(net::http_exchange& exchange,
                                                 server_attempt* attempt);
  asio::awaitable<bool> ForwardEvents(event_splitter& events,
                                      const net::http_response_header& header,
                                      server_attempt* attempt);
  asio::awaitable<bool> StartResponse(const net::http_response_header& header);
  // The header as it is passed on to the caller or to the relaying host.
  net::http_response_header PassedHeader(
      const net::http_response_header& header) const;
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
  // Watches the present attempt; null if its time-out is fixed or no other
  // attempt may follow.
  std::shared_ptr<attempt_watch> watch_;
  std::int64_t possible_executions_ = 0;
  attempt_progress progress_;
  // The id of the next event does not follow that of the last one.
  bool is_event_missing_ = false;
  // An error response of a server, sent to the caller if no further attempt
  // follows.
  std::optional<net::http_response> server_error_response_;
  base::error last_error_;
  // The error of the host through which the request was sent. It has decided on
  // further attempts, so this host makes none.
  std::optional<base::error> peer_error_;
  // The server of the present attempt; empty if another host selects it.
  std::string instance_;
  // The software version of the server of the present attempt.
  std::string software_;
  // The server or host of the last attempt, for log lines.
  std::string target_;
};

asio::awaitable<bool> relay::StartResponse(
    const net::http_response_header& header) {
  trace_.response_started = true;
  const bool sent = co_await responder_.Start(PassedHeader(header));
  co_return sent;
}

net::http_response_header relay::PassedHeader(
    const net::http_response_header& header) const {
  auto passed = ForwardableHeader(header);
  if (routed_.is_relayed)
    WriteRelayFields(passed, {result_code::kOk, instance_, software_});
  return passed;
}

bool relay::IsServerResponse(const response_metadata& metadata) {
  const bool is_foreign = !metadata.request_id.empty() &&
                          metadata.request_id != routed_.metadata.id;
  const bool is_refusal = metadata.not_run || metadata.misdirected;
  if (!is_foreign && !metadata.is_encoded && (metadata.is_signed || is_refusal))
    return true;
  last_error_ = base::MakeError(
      result_code::kAnswerBroken, base::outcome::kUnknown,
      "the response is unsigned, encoded, or belongs to another request");
  return false;
}

asio::awaitable<tl::expected<std::string_view, attempt_outcome>>
relay::ReadPiece(net::http_exchange& exchange, server_attempt* attempt) {
  const auto left = RemainingTime(routed_);
  if (left.count() <= 0)
    co_return tl::make_unexpected(attempt_outcome::kUnknown);
  auto piece = co_await exchange.ReadSome(left);
  if (responder_.caller_gone()) {
    exchange.Abandon();
    co_return tl::make_unexpected(attempt_outcome::kDone);
  }
  // A part that was in the buffer already is read from a closed connection.
  if (piece && watch_ != nullptr && watch_->has_abandoned())
    piece = base::Unknown(result_code::kAnswerBroken, "not read to its end");
  if (!piece) {
    last_error_ = piece.error();
    ExplainAbandoned();
    if (attempt != nullptr) {
      attempt->OnConnectionError(last_error_);
      attempt->OnFailed(false);
    }
    co_return tl::make_unexpected(attempt_outcome::kUnknown);
  }
  if (attempt != nullptr)
    attempt->OnData();
  if (!piece->empty() && !progress_.first_body_at)
    progress_.first_body_at = std::chrono::steady_clock::now();
  // A relayed response is evidence at the host that reaches the server.
  if (attempt != nullptr)
    crash_monitor_.OnData(progress_);
  co_return *piece;
}

void relay::OnWholeResponse(const net::http_exchange& exchange,
                            server_attempt& attempt) {
  attempt.OnCompleted();
  crash_monitor_.OnWholeResponse(
      attempt.server(), progress_,
      static_cast<int>(exchange.header().result_int()),
      !exchange.EndsWithConnection());
}

asio::awaitable<attempt_outcome> relay::ForwardWholeResponse(
    net::http_exchange& exchange,
    server_attempt* attempt) {
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
  if (attempt != nullptr)
    attempt->OnFirstByte();
  net::http_response_header passed = PassedHeader(response.base());
  net::http_response whole(std::move(passed));
  whole.body() = std::move(response.body());
  if (trace_.response_started) {
    // The server did not resume the stream but sent another response.
    last_error_ = base::MakeError(
        result_code::kAnswerBroken, base::outcome::kUnknown,
        "cannot resume the stream: the backend server responded with status " +
            std::to_string(whole.result_int()));
    if (attempt != nullptr)
      attempt->OnFailed(false);
    co_return attempt_outcome::kUnknown;
  }
  const bool failed = whole.result_int() >= 500;
  if (failed) {
    if (attempt != nullptr)
      attempt->OnFailed(false);
  } else {
    if (attempt != nullptr)
      OnWholeResponse(exchange, *attempt);
  }
  if (failed && routed_.route->MayRepeat() && attempt != nullptr) {
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
    server_attempt* attempt) {
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
  if (attempt != nullptr)
    attempt->OnFirstByte();
  if (watch_ != nullptr)
    watch_->OnStarted();
  RecordEventGap(routed_, trace_);
  if (!trace_.response_started) {
    RecordStreamBegun(core_, routed_, software_);
    const bool begun = co_await StartResponse(header);
    if (!begun)
      co_return false;
  }
  const bool sent = co_await responder_.Write(batch);
  co_return sent;
}

asio::awaitable<attempt_outcome> relay::ForwardStream(
    net::http_exchange& exchange,
    server_attempt* attempt) {
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
      if (attempt != nullptr)
        attempt->OnFailed(false);
      co_return attempt_outcome::kUnknown;
    }
  }
  if (!events.Remainder().empty()) {
    // A stream that ends in the middle of an event is incomplete.
    last_error_ =
        base::MakeError(result_code::kAnswerBroken, base::outcome::kUnknown,
                        "the stream ended in the middle of an event");
    if (attempt != nullptr)
      attempt->OnFailed(false);
    co_return attempt_outcome::kUnknown;
  }
  if (attempt != nullptr)
    OnWholeResponse(exchange, *attempt);
  if (!trace_.response_started)
    co_await StartResponse(exchange.header());
  co_await responder_.Finish();
  co_return attempt_outcome::kDone;
}

bool relay::MayRepeatAttempt() const {
  return routed_.route->MayRepeat() && routed_.trial.empty() &&
         possible_executions_ + 1 < routed_.route->attempts;
}

milliseconds relay::HeaderTimeout() const {
  const milliseconds left = RemainingTime(routed_);
  if (!MayRepeatAttempt() || HasAdaptiveTimeout(core_, routed_))
    return left;
  const auto part = duration_cast<milliseconds>(routed_.route->objective *
                                                kHeaderTimeoutFraction);
  return std::min({left, part, kMaxHeaderTimeout});
}

void relay::Watch(watched_attempt attempt) {
  watch_ = nullptr;
  const bool may_follow = MayRepeatAttempt() &&
                          trace_.attempts < kAttemptLimit &&
                          trace_.relays < kMaxRelays;
  if (!may_follow || !HasAdaptiveTimeout(core_, routed_))
    return;
  watch_ = std::make_shared<attempt_watch>(
      core_, routed_, permit_, std::move(attempt),
      [this] { return !crash_monitor_.CheckQuarantine(); });
}

void relay::StartWatch() {
  if (watch_ != nullptr)
    watch_->Start([guard = guard_] { guard->Interrupt(); });
}

void relay::ExplainAbandoned() {
  if (watch_ != nullptr && watch_->has_abandoned())
    last_error_.message += " (abandoned for another engine)";
}

void relay::WatchBody(const std::shared_ptr<net::http_exchange>& exchange) {
  if (watch_ == nullptr)
    return;
  // The watch has acquired a retry for it while the header arrived.
  if (watch_->has_abandoned()) {
    exchange->Abandon();
    return;
  }
  const bool streams = routed_.route->kind == route_kind::kStream &&
                       exchange->header().result_int() == 200;
  if (!streams) {
    watch_->OnStarted();
    return;
  }
  watch_->SetAbandon([weak = std::weak_ptr<net::http_exchange>(exchange)] {
    if (const auto open = weak.lock())
      open->Abandon();
  });
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
  const milliseconds header_timeout = HeaderTimeout();
  server_attempt attempt(core_, choice, routed_.metadata, routed_.weight,
                         *routed_.demand);
  ++trace_.attempts;
  progress_ = {std::chrono::steady_clock::now(), {}, {}};
  // What broke the last connection may have broken the idle ones as well.
  const auto use = last_error_.connection_lost ? net::connection_use::kFresh
                                               : net::connection_use::kPooled;
  last_error_ = {};
  instance_ = server.entry.instance;
  software_ = server.entry.software;
  LogAttemptSent(core_, routed_, trace_, choice, attempt_fields);
  const bool may_repeat = routed_.route->MayRepeat();
  attempt.OnInterrupt(may_repeat, [guard = guard_] { guard->Interrupt(); });
  Watch({choice.server,
         {},
         duration_cast<milliseconds>(choice.expected),
         choice.unscaled});
  guard_->SetSendCheck([this, &server, &attempt] {
    if (auto quarantined = crash_monitor_.CheckQuarantine())
      return base::result<void>(tl::make_unexpected(std::move(*quarantined)));
    auto allowed = CheckSend(core_, server);
    if (allowed) {
      attempt.OnSent();
      StartWatch();
    }
    return allowed;
  });
  auto opened = co_await core_.http.Open(
      server.entry.address, std::move(forwarded),
      std::min(RemainingTime(routed_), kConnectTimeout), header_timeout, use,
      guard_.get());
  if (responder_.caller_gone())
    co_return OutcomeWithoutCaller(opened);
  if (!opened && WasWithheld(opened.error())) {
    last_error_ = opened.error();
    co_return attempt_outcome::kNotRun;
  }
  if (!opened) {
    last_error_ = opened.error();
    ExplainAbandoned();
    attempt.OnConnectionError(last_error_);
    const bool not_run = last_error_.what_ran == base::outcome::kNotRun;
    attempt.OnFailed(not_run || RemainingTime(routed_).count() > 0);
    LogAttemptFailed(core_, routed_, trace_, server.entry.instance,
                     last_error_);
    co_return not_run ? attempt_outcome::kNotRun : attempt_outcome::kUnknown;
  }
  progress_.header_at = std::chrono::steady_clock::now();
  attempt.OnData();
  WatchBody(*opened);
  net::http_exchange& exchange = **opened;
  if (exchange.EndsWithConnection())
    core_.metrics.Counter("valeledge_unframed_responses_total").Add();
  attempt.OnInterrupt(may_repeat,
                      [weak = std::weak_ptr<net::http_exchange>(*opened)] {
                        if (const auto open = weak.lock())
                          open->Abandon();
                      });
  responder_.OnCallerGone([weak = std::weak_ptr<net::http_exchange>(*opened)] {
    if (const auto open = weak.lock())
      open->Abandon();
  });
  const response_metadata metadata =
      core_.protocol.read_response(exchange.header());
  if (!IsServerResponse(metadata)) {
    exchange.Abandon();
    attempt.OnFailed(false);
    co_return attempt_outcome::kUnknown;
  }
  ApplyRequestResponse(core_, server, metadata, progress_.sent);
  crash_monitor_.OnResponseHeader(server, progress_.sent);
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
    const attempt_outcome outcome = co_await ForwardStream(exchange, &attempt);
    co_return outcome;
  }
  const attempt_outcome outcome =
      co_await ForwardWholeResponse(exchange, &attempt);
  co_return outcome;
}

asio::awaitable<attempt_outcome> relay::AttemptThroughPeer(
    const base::endpoint& peer) {
  ++trace_.relays;
  progress_ = {std::chrono::steady_clock::now(), {}, {}};
  last_error_ = {};
  instance_.clear();
  LogAttemptRelayed(core_, routed_, trace_, peer);
  Watch(AttemptThroughHost(core_, routed_, peer));
  guard_->SetSendCheck([this] {
    StartWatch();
    return base::result<void>();
  });
  auto opened = co_await core_.http.Open(
      peer,
      MakeRelayedRequest(core_, request_, routed_, trace_.last_event_id,
                         possible_executions_),
      std::min(RemainingTime(routed_), kRelayConnectTimeout), HeaderTimeout(),
      net::connection_use::kPooled, guard_.get());
  if (responder_.caller_gone())
    co_return OutcomeWithoutCaller(opened);
  if (!opened) {
    last_error_ = opened.error();
    ExplainAbandoned();
    core_.paths->OnRelayFailed(routed_.service->name, peer);
    LogAttemptFailed(core_, routed_, trace_, base::ToString(peer), last_error_);
    co_return last_error_.what_ran == base::outcome::kNotRun
        ? attempt_outcome::kNotRun
        : attempt_outcome::kUnknown;
  }
  progress_.header_at = std::chrono::steady_clock::now();
  WatchBody(*opened);
  net::http_exchange& exchange = **opened;
  responder_.OnCallerGone([weak = std::weak_ptr<net::http_exchange>(*opened)] {
    if (const auto open = weak.lock())
      open->Abandon();
  });
  const relayed_response stated = ReadRelayFields(exchange.header());
  if (stated.code != result_code::kOk) {
    const attempt_outcome outcome =
        co_await TakePeerError(exchange, peer, stated.code);
    co_return outcome;
  }
  const response_metadata metadata =
      core_.protocol.read_response(exchange.header());
  if (!IsServerResponse(metadata)) {
    exchange.Abandon();
    co_return attempt_outcome::kUnknown;
  }
  software_ = stated.software;
  if (routed_.origin && routed_.origin->software != software_) {
    last_error_ = base::MakeError(
        result_code::kAnswerBroken, base::outcome::kUnknown,
        base::ToString(peer) + ": continued the stream at another version");
    exchange.Abandon();
    co_return attempt_outcome::kUnknown;
  }
  ApplyRelayedNotices(stated.server, metadata);
  const bool streams = routed_.route->kind == route_kind::kStream &&
                       exchange.header().result_int() == 200;
  if (streams) {
    const attempt_outcome outcome = co_await ForwardStream(exchange, nullptr);
    co_return outcome;
  }
  const attempt_outcome outcome =
      co_await ForwardWholeResponse(exchange, nullptr);
  co_return outcome;
}

asio::awaitable<attempt_outcome> relay::TakePeerError(
    net::http_exchange& exchange,
    const base::endpoint& peer,
    result_code code) {
  const bool not_run = exchange.header().result_int() < 500 ||
                       exchange.header().result_int() == 503;
  const auto retry_after =
      net::ReadRetryAfter(exchange.header(), std::chrono::system_clock::now());
  // Read the body so that the connection can be reused.
  while (true) {
    const auto piece = co_await exchange.ReadSome(kRelayConnectTimeout);
    if (!piece || piece->empty())
      break;
  }
  if (code == result_code::kPathLost || code == result_code::kLeaving) {
    core_.paths->OnRelayFailed(routed_.service->name, peer);
    last_error_ = base::MakeError(
        result_code::kBackendUnreachable, base::outcome::kNotRun,
        base::ToString(peer) + ": takes no requests of other hosts");
    co_return attempt_outcome::kNotRun;
  }
  peer_error_ = base::MakeError(
      code, not_run ? base::outcome::kNotRun : base::outcome::kUnknown,
      base::ToString(peer) + ": could not serve the request");
  peer_error_->retry_after = retry_after.delay;
  co_return not_run ? attempt_outcome::kNotRun : attempt_outcome::kUnknown;
}

void relay::ApplyRelayedNotices(const std::string& instance,
                                const response_metadata& metadata) {
  const auto server = core_.servers.Find(instance);
  if (server == nullptr)
    return;
  response_metadata statements = metadata;
  // A backoff concerns the host to which the server responded.
  statements.backoff.reset();
  ApplyRequestResponse(core_, *server, statements, progress_.sent);
}

// Whether another attempt may follow one with this outcome.
bool relay::MayRetry(attempt_outcome outcome) {
  if (trace_.attempts >= kAttemptLimit || trace_.relays >= kMaxRelays ||
      RemainingTime(routed_).count() <= 0 || !routed_.trial.empty())
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
  auto response = MakeErrorResponse(failed);
  if (routed_.is_relayed)
    WriteRelayFields(response.base(), {failed.code, {}, {}});
  co_await responder_.Send(std::move(response));
}

std::optional<base::error> relay::AcceptRelayed(
    const relayed_request& relayed) {
  const catalog::configuration& configuration = *routed_.configuration;
  if (relayed.version != configuration.version) {
    return base::MakeError(result_code::kPathLost, base::outcome::kNotRun,
                           "the other host has another configuration");
  }
  const auto* service = configuration.FindService(relayed.service);
  if (service != nullptr)
    routed_.service = service;
  if (relayed.software)
    routed_.origin = {routed_.service->name, *relayed.software};
  else if (ResumesStream(routed_))
    return NotResumableError("the other host does not state the version");
  const auto workspace = std::ranges::find(
      configuration.workspaces, relayed.workspace, &catalog::workspace::name);
  if (workspace != configuration.workspaces.end())
    routed_.workspace = &*workspace;
  possible_executions_ = relayed.possible_executions;
  if (possible_executions_ > 0) {
    last_error_ =
        base::MakeError(result_code::kOutcomeUnknown, base::outcome::kUnknown,
                        "an earlier attempt may have run the request");
  }
  routed_.failed_instances = relayed.leaving;
  return std::nullopt;
}

// Decides whether the request is admitted; sends the error to its caller if it
// is not.
asio::awaitable<bool> relay::Admit() {
  if (routed_.is_relayed) {
    const auto refused = AcceptRelayed(ReadRelayFields(request_));
    if (refused)
      co_await Fail(*refused);
    co_return !refused;
  }
  if (const auto refused = AuthenticateCaller(core_, routed_)) {
    co_await Fail(*refused);
    co_return false;
  }
  const auto continued = co_await ContinueStream(core_, routed_);
  if (!continued) {
    co_await Fail(continued.error());
    co_return false;
  }
  core_.retries.RecordRequest(routed_.service->name, routed_.arrived);
  co_return true;
}

std::optional<base::error> relay::CheckWait() {
  if (responder_.caller_gone()) {
    return base::MakeError(result_code::kCallerGone, base::outcome::kNotRun,
                           "the caller has disconnected");
  }
  if (auto leaving = CheckStopDeadline(core_, routed_))
    return leaving;
  if (auto quarantined = crash_monitor_.CheckQuarantine())
    return quarantined;
  const bool is_lost = core_.paths != nullptr &&
                       core_.paths->StateOf(routed_.service->name, false) ==
                           path_state::kUnreachable;
  if (!is_lost)
    return std::nullopt;
  auto unreachable =
      base::MakeError(result_code::kPathLost, base::outcome::kNotRun,
                      "this host reaches no backend server of the service");
  unreachable.retry_after = kPathRetryAfter;
  return unreachable;
}

asio::awaitable<base::result<void>> relay::Charge() {
  // The host that received the request has charged it.
  if (routed_.is_relayed)
    co_return base::result<void>();
  auto charged = co_await charge_->Acquire([this] { return CheckWait(); });
  routed_.token_wait = charge_->waited();
  co_return charged;
}

// Sends the request once, through another host if this one does not reach the
// servers. Returns an error if no attempt can be made.
asio::awaitable<base::result<attempt_outcome>> relay::AttemptOnce(bool ran) {
  routed_.search_began = std::chrono::steady_clock::now();
  std::optional<decisions::relay_peer> peer;
  std::optional<server_choice> choice;
  while (!peer && !choice) {
    if (core_.paths != nullptr && !routed_.is_relayed)
      peer =
          core_.paths->ChooseRelay(routed_.service->name, trace_.relays == 0);
    if (peer)
      break;
    auto found = co_await FindServer(
        core_, routed_, !ran && !trace_.response_started, responder_);
    const bool has_peer = !found && !routed_.is_relayed &&
                          found.error().code == result_code::kPathLost &&
                          core_.paths->ChooseRelay(routed_.service->name, true);
    if (found)
      choice = std::move(*found);
    else if (!has_peer)
      co_return tl::make_unexpected(std::move(found.error()));
  }
  // The request may have been quarantined while it waited, or because of its
  // last attempt.
  if (const auto quarantined = crash_monitor_.CheckQuarantine())
    co_return tl::make_unexpected(*quarantined);
  if (!permit_.Acquire(routed_.service->name, std::chrono::steady_clock::now()))
    co_return attempt_outcome::kDenied;
  if (peer) {
    const auto outcome = co_await AttemptThroughPeer(peer->relay_address);
    watch_ = nullptr;
    target_ = base::ToString(peer->relay_address);
    co_return outcome;
  }
  const auto outcome = co_await Attempt(*choice);
  watch_ = nullptr;
  target_ = choice->server->entry.instance;
  if (outcome == attempt_outcome::kUnknown && !responder_.caller_gone()) {
    crash_monitor_.OnAttemptFailed(*choice->server, progress_, last_error_);
  }
  if (outcome != attempt_outcome::kDone)
    routed_.failed_instances.push_back(target_);
  co_return outcome;
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
  const bool admitted = co_await Admit();
  if (!admitted)
    co_return;
  trace_.last_event_id = routed_.metadata.resume_after;
  guard_ = std::make_shared<net::open_guard>();
  responder_.OnCallerGone([guard = guard_] { guard->Cancel(); });
  if (const auto leaving = CheckStopDeadline(core_, routed_)) {
    co_await Fail(*leaving);
    co_return;
  }
  if (!routed_.metadata.prompt.empty())
    decisions::RecordPrompt(core_.prompts, routed_.shared_parts);
  co_await BeginTrialIfGranted(core_, routed_, responder_);
  if (const auto quarantined = crash_monitor_.CheckQuarantine()) {
    co_await Fail(*quarantined);
    co_return;
  }
  charge_ = std::make_unique<limit_charge>(core_, routed_);
  const auto charged = co_await Charge();
  if (!charged) {
    co_await Fail(charged.error());
    co_return;
  }
  bool ran = possible_executions_ > 0;
  while (true) {
    const auto attempted = co_await AttemptOnce(ran);
    if (!attempted) {
      // No server was found for another attempt: report the result of the last
      // one.
      base::error failed = ran ? last_error_ : attempted.error();
      if (ran)
        failed.what_ran = base::outcome::kUnknown;
      co_await Fail(std::move(failed));
      co_return;
    }
    const attempt_outcome outcome = *attempted;
    if (outcome == attempt_outcome::kDenied)
      break;
    if (outcome != attempt_outcome::kNotRun)
      charge_->Commit();
    if (outcome == attempt_outcome::kDone || responder_.caller_gone()) {
      LogCompleted(core_, routed_, trace_, target_, responder_.caller_gone());
      co_return;
    }
    ran = ran || outcome == attempt_outcome::kUnknown;
    if (peer_error_) {
      // The other host's refusal does not cover earlier attempts.
      if (ran && peer_error_->what_ran == base::outcome::kNotRun) {
        peer_error_ =
            base::MakeError(result_code::kOutcomeUnknown,
                            base::outcome::kUnknown, peer_error_->message);
      }
      co_await Fail(*peer_error_);
      co_return;
    }
    if (!MayRetry(outcome))
      break;
    core_.metrics.CountRetry(last_error_.code);
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
                                   net::http_responder& responder,
                                   request_origin origin) {
  relay one(core, request, responder, origin);
  co_await one.Run();
}

}  // namespace valeledge::host
