// SPDX-License-Identifier: MIT
#include "host/request/relay.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/beast/http.hpp>

#include "host/constants.h"
#include "host/process/limit_updates.h"
#include "host/request/attempt_progress.h"
#include "host/request/caller_check.h"
#include "host/request/ending_watch.h"
#include "host/request/event_splitter.h"
#include "host/request/final_answers.h"
#include "host/request/limit_charge.h"
#include "host/request/request_trace.h"
#include "host/request/retry_permit.h"
#include "host/request/routed_request.h"
#include "host/request/server_search.h"
#include "host/request/server_attempt.h"

namespace valeledge::host {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using base::result_code;
using catalog::route_kind;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

// How one attempt ended.
enum class attempt_end {
  // The caller has its whole answer, or is gone.
  kDone,
  // The server certainly did not run it.
  kNotRun,
  // It may have run, and the caller has no complete answer.
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
        ending_(core, request),
        permit_(core.retries) {}

  asio::awaitable<void> Run();

 private:
  asio::awaitable<attempt_end> Attempt(const server_choice& choice);
  // The next part of an answer, empty at its end. Without one the attempt has
  // ended; the server is at fault unless the caller is gone.
  asio::awaitable<tl::expected<std::string_view, attempt_end>> NextPiece(
      net::http_exchange& exchange,
      server_attempt& attempt);
  asio::awaitable<attempt_end> TakeWhole(net::http_exchange& exchange,
                                         server_attempt& attempt);
  asio::awaitable<attempt_end> TakeStream(net::http_exchange& exchange,
                                          server_attempt& attempt);
  asio::awaitable<bool> PassEvents(event_splitter& events,
                                   const net::http_response_header& head,
                                   server_attempt& attempt);
  asio::awaitable<bool> StartAnswer(const net::http_response_header& head);
  bool MayGoOn(attempt_end end);
  asio::awaitable<void> Fail(base::error failed);
  void NotePause();

  host_core& core_;
  net::http_request& request_;
  net::http_responder& responder_;
  ending_watch ending_;
  retry_permit permit_;
  routed_request routed_;
  std::shared_ptr<net::open_guard> guard_;
  std::unique_ptr<limit_charge> charge_;
  request_trace trace_;
  std::int64_t runs_ = 0;
  attempt_progress progress_;
  // The event that came next does not follow the last one.
  bool out_of_order_ = false;
  // When the last event went to the caller.
  base::time_point event_at_;
  // A server's own failure, kept for the case that no other attempt follows.
  std::optional<net::http_response> failure_;
  base::error last_error_;
};

asio::awaitable<bool> relay::StartAnswer(
    const net::http_response_header& head) {
  trace_.started = true;
  const bool sent = co_await responder_.Start(ForwardableHead(head));
  co_return sent;
}

asio::awaitable<tl::expected<std::string_view, attempt_end>> relay::NextPiece(
    net::http_exchange& exchange,
    server_attempt& attempt) {
  const auto left = Left(routed_);
  if (left.count() <= 0)
    co_return tl::make_unexpected(attempt_end::kUnknown);
  const auto piece = co_await exchange.ReadSome(left);
  if (responder_.caller_gone()) {
    exchange.Abandon();
    co_return tl::make_unexpected(attempt_end::kDone);
  }
  if (!piece) {
    last_error_ = piece.error();
    attempt.Failed(false);
    co_return tl::make_unexpected(attempt_end::kUnknown);
  }
  if (!piece->empty() && !progress_.first_part_at)
    progress_.first_part_at = std::chrono::steady_clock::now();
  co_return *piece;
}

asio::awaitable<attempt_end> relay::TakeWhole(net::http_exchange& exchange,
                                              server_attempt& attempt) {
  net::http_response answer(exchange.header());
  while (true) {
    const auto piece = co_await NextPiece(exchange, attempt);
    if (!piece)
      co_return piece.error();
    if (piece->empty())
      break;
    answer.body().append(*piece);
    if (answer.body().size() > net::kMaxAnswerBytes) {
      last_error_ = base::MakeError(result_code::kAnswerBroken,
                                    base::outcome::kUnknown, "too large");
      co_return attempt_end::kUnknown;
    }
  }
  attempt.FirstByte();
  net::http_response_header passed = ForwardableHead(answer.base());
  net::http_response whole(std::move(passed));
  whole.body() = std::move(answer.body());
  if (trace_.started) {
    // The server at which a stream was to go on answered something else.
    last_error_ = base::MakeError(
        result_code::kAnswerBroken, base::outcome::kUnknown,
        "the stream does not go on: the backend server answered " +
            std::to_string(whole.result_int()));
    attempt.Failed(false);
    co_return attempt_end::kUnknown;
  }
  const bool failed = whole.result_int() >= 500;
  if (failed) {
    attempt.Failed(false);
  } else {
    attempt.Answered();
    ending_.AnsweredWell();
  }
  if (failed && routed_.route->MayRepeat()) {
    last_error_ = base::MakeError(
        result_code::kOutcomeUnknown, base::outcome::kUnknown,
        "the backend server answered " + std::to_string(whole.result_int()));
    failure_ = std::move(whole);
    co_return attempt_end::kUnknown;
  }
  co_await responder_.Send(std::move(whole));
  co_return attempt_end::kDone;
}

// Passes on all whole events up to one that does not follow; false if the
// caller is gone.
asio::awaitable<bool> relay::PassEvents(event_splitter& events,
                                        const net::http_response_header& head,
                                        server_attempt& attempt) {
  std::string batch;
  while (!out_of_order_) {
    const auto event = events.Next();
    if (!event)
      break;
    const auto id = core_.protocol.read_event_id(*event);
    if (id && !trace_.last_event.empty()) {
      const std::int64_t last = std::atoll(trace_.last_event.c_str());
      // A server that goes on elsewhere may repeat what the caller has, but
      // must not leave anything out.
      if (*id <= last)
        continue;
      out_of_order_ = *id != last + 1;
    }
    if (out_of_order_)
      break;
    if (id)
      trace_.last_event = std::to_string(*id);
    batch.append(*event);
  }
  if (batch.empty())
    co_return true;
  attempt.FirstByte();
  NotePause();
  if (!trace_.started) {
    const bool begun = co_await StartAnswer(head);
    if (!begun)
      co_return false;
  }
  const bool sent = co_await responder_.Write(batch);
  co_return sent;
}

asio::awaitable<attempt_end> relay::TakeStream(net::http_exchange& exchange,
                                               server_attempt& attempt) {
  event_splitter events;
  while (true) {
    const auto piece = co_await NextPiece(exchange, attempt);
    if (!piece)
      co_return piece.error();
    if (piece->empty())
      break;
    events.Append(*piece);
    const bool passed = co_await PassEvents(events, exchange.header(), attempt);
    if (!passed) {
      exchange.Abandon();
      co_return attempt_end::kDone;
    }
    if (out_of_order_ || events.IsOverlong()) {
      last_error_ = base::MakeError(
          result_code::kAnswerBroken, base::outcome::kUnknown,
          out_of_order_ ? "an event is missing" : "an event is too large");
      out_of_order_ = false;
      exchange.Abandon();
      attempt.Failed(false);
      co_return attempt_end::kUnknown;
    }
  }
  if (!events.Rest().empty()) {
    // A stream that ends within an event is not whole.
    last_error_ =
        base::MakeError(result_code::kAnswerBroken, base::outcome::kUnknown,
                        "the stream ended within an event");
    attempt.Failed(false);
    co_return attempt_end::kUnknown;
  }
  attempt.Answered();
  ending_.AnsweredWell();
  if (!trace_.started)
    co_await StartAnswer(exchange.header());
  co_await responder_.Finish();
  co_return attempt_end::kDone;
}

asio::awaitable<attempt_end> relay::Attempt(const server_choice& choice) {
  known_server& server = *choice.server;
  auto forwarded =
      ForwardableRequest(request_, core_.protocol.whole_path_fields);
  attempt_head added;
  added.deadline = std::max(Left(routed_), milliseconds(1));
  added.instance = server.entry.instance;
  added.priority = PriorityOf(routed_);
  added.workspace = WorkspaceName(routed_);
  const bool goes_on = trace_.started || !routed_.head.resume_after.empty();
  if (goes_on)
    added.resume_after = trace_.last_event;
  core_.protocol.write_attempt(forwarded, added);
  milliseconds silence = Left(routed_);
  if (routed_.route->MayRepeat() && runs_ + 1 < routed_.route->attempts) {
    const auto part =
        duration_cast<milliseconds>(routed_.route->objective * kSilentPart);
    silence = std::min({silence, part, kLongestSilence});
  }
  server_attempt attempt(core_, choice, routed_.head, routed_.weight,
                         *routed_.demand);
  ++trace_.attempts;
  progress_ = {std::chrono::steady_clock::now(), {}, {}};
  last_error_ = {};
  LogSent(core_, routed_, trace_, choice, added);
  auto opened = co_await core_.http.Open(
      server.entry.address, std::move(forwarded),
      std::min(Left(routed_), kConnectTimeout), silence,
      net::connection_use::kPooled, guard_.get());
  if (responder_.caller_gone())
    co_return attempt_end::kDone;
  if (!opened) {
    last_error_ = opened.error();
    const bool not_run = last_error_.what_ran == base::outcome::kNotRun;
    attempt.Failed(not_run || Left(routed_).count() > 0);
    LogFailed(core_, routed_, trace_, server, last_error_);
    co_return not_run ? attempt_end::kNotRun : attempt_end::kUnknown;
  }
  progress_.head_at = std::chrono::steady_clock::now();
  net::http_exchange& exchange = **opened;
  responder_.OnCallerGone([weak = std::weak_ptr<net::http_exchange>(*opened)] {
    if (const auto open = weak.lock())
      open->Abandon();
  });
  const answer_head response = core_.protocol.read_answer(exchange.header());
  const bool foreign =
      !response.request_id.empty() && response.request_id != routed_.head.id;
  if (foreign ||
      (!response.is_signed && !response.not_run && !response.misdirected)) {
    exchange.Abandon();
    attempt.Failed(false);
    last_error_ =
        base::MakeError(result_code::kAnswerBroken, base::outcome::kUnknown,
                        "an answer that is not this request's");
    co_return attempt_end::kUnknown;
  }
  ApplyResponseLimit(core_, server, response, progress_.sent);
  if (response.not_run || response.misdirected) {
    attempt.Refused(response);
    last_error_ =
        base::MakeError(result_code::kBackendRefused, base::outcome::kNotRun,
                        "the backend server answered " +
                            std::to_string(exchange.header().result_int()));
    // The refusal's own body is read so that its connection can be kept.
    while (true) {
      const auto piece = co_await exchange.ReadSome(kConnectTimeout);
      if (!piece || piece->empty())
        break;
    }
    co_return attempt_end::kNotRun;
  }
  const bool streams = routed_.route->kind == route_kind::kStream &&
                       exchange.header().result_int() == 200;
  if (streams) {
    const attempt_end end = co_await TakeStream(exchange, attempt);
    co_return end;
  }
  const attempt_end end = co_await TakeWhole(exchange, attempt);
  co_return end;
}

// Whether another attempt may follow one that ended so.
bool relay::MayGoOn(attempt_end end) {
  if (trace_.attempts >= kAttemptLimit || Left(routed_).count() <= 0)
    return false;
  if (end == attempt_end::kUnknown) {
    ++runs_;
    if (!routed_.route->MayRepeat() || runs_ >= routed_.route->attempts)
      return false;
  }
  permit_.NoteFailed(last_error_);
  return permit_.MayAcquire(routed_.service->name,
                            std::chrono::steady_clock::now());
}

void relay::NotePause() {
  const auto now = std::chrono::steady_clock::now();
  if (!trace_.started) {
    trace_.first_event = duration_cast<milliseconds>(now - routed_.arrived);
  } else {
    trace_.widest_pause = std::max(
        trace_.widest_pause, duration_cast<milliseconds>(now - event_at_));
  }
  event_at_ = now;
}

asio::awaitable<void> relay::Fail(base::error failed) {
  if (responder_.caller_gone())
    co_return;
  LogRefused(core_, routed_, trace_, failed);
  if (trace_.started) {
    responder_.Break();
    co_return;
  }
  if (failure_ && failed.what_ran != base::outcome::kNotRun) {
    co_await responder_.Send(std::move(*failure_));
    co_return;
  }
  co_await responder_.Send(RenderFailure(failed));
}

asio::awaitable<void> relay::Run() {
  routed_.configuration = core_.configuration;
  routed_.arrived = std::chrono::steady_clock::now();
  if (routed_.configuration == nullptr) {
    auto early =
        base::MakeError(result_code::kNoBackendServer, base::outcome::kNotRun,
                        "no configuration is known here yet");
    early.retry_after = kUsualComeBack;
    co_await Fail(std::move(early));
    co_return;
  }
  if (!RouteRequest(core_, request_, routed_)) {
    co_await Fail(NoRoute(core_));
    co_return;
  }
  if (const auto refused = CheckCaller(core_, routed_)) {
    co_await Fail(*refused);
    co_return;
  }
  trace_.last_event = routed_.head.resume_after;
  core_.retries.RecordRequest(routed_.service->name, routed_.arrived);
  guard_ = std::make_shared<net::open_guard>();
  responder_.OnCallerGone([guard = guard_] { guard->Cancel(); });
  if (const auto leaving = LeavingTooSoon(core_, routed_)) {
    co_await Fail(*leaving);
    co_return;
  }
  if (const auto held = ending_.HeldBack()) {
    co_await Fail(*held);
    co_return;
  }
  charge_ = std::make_unique<limit_charge>(core_, routed_);
  const auto within = co_await charge_->Take();
  if (!within) {
    co_await Fail(within.error());
    co_return;
  }
  bool ran = false;
  while (true) {
    auto choice = co_await FindServer(core_, routed_, !ran && !trace_.started,
                                      responder_);
    // While it waited, or by its own last attempt, the request may have become
    // one that no server should get.
    const auto held = ending_.HeldBack();
    if (held)
      choice = tl::make_unexpected(*held);
    if (!choice) {
      // Nothing was found for another attempt: what the last one left counts.
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
    const attempt_end end = co_await Attempt(*choice);
    if (end == attempt_end::kDone)
      charge_->Keep();
    if (end == attempt_end::kDone || responder_.caller_gone()) {
      LogEnd(core_, routed_, trace_, *choice->server, responder_.caller_gone());
      co_return;
    }
    if (end == attempt_end::kUnknown) {
      ending_.AttemptFailed(routed_, *choice->server, progress_, last_error_);
    }
    if (end == attempt_end::kUnknown)
      charge_->Keep();
    ran = ran || end == attempt_end::kUnknown;
    if (!MayGoOn(end))
      break;
    core_.metrics.CountRetry(last_error_.code);
    routed_.avoid.push_back(choice->server->entry.instance);
    responder_.OnCallerGone([guard = guard_] { guard->Cancel(); });
  }
  base::error failed = last_error_;
  if (!ran) {
    failed = base::MakeError(
        permit_.is_exhausted() ? result_code::kRetryBudgetExhausted
                               : result_code::kOverloaded,
        base::outcome::kNotRun,
        "no backend server took the request: " + last_error_.message);
    failed.retry_after = kShortComeBack;
  } else if (Left(routed_).count() <= 0) {
    failed =
        base::MakeError(result_code::kDeadlinePassed, base::outcome::kUnknown,
                        "no whole answer within the time allowed");
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
