// SPDX-License-Identifier: MIT
#include "gateway/request/chat_exchange.h"

#include <algorithm>
#include <utility>

#include <boost/beast/http.hpp>

#include "base/identifier.h"
#include "gateway/constants.h"
#include "gateway/request/attempt.h"
#include "gateway/request/attempt_loop.h"
#include "gateway/request/chat_request.h"
#include "gateway/request/request_reporting.h"
#include "gateway/request/responses.h"

namespace valeledge::gateway {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using base::result_code;

constexpr std::string_view kCategory = "chat";

// Serves one chat completion request with all its attempts.
class chat_exchange {
 public:
  chat_exchange(caller_frontend& frontend,
                chat_request request,
                net::http_responder& responder)
      : frontend_(frontend),
        request_(std::move(request)),
        responder_(responder) {}

  asio::awaitable<void> Run();

 private:
  scheduling_request MakeSchedulingRequest() const;
  asio::awaitable<base::result<void>> Attempt();
  asio::awaitable<bool> HandleChunk(const decisions::response_chunk& chunk);
  asio::awaitable<void> Complete();
  asio::awaitable<void> Fail(base::error failed);
  void RecordChunkTiming();

  caller_frontend& frontend_;
  chat_request request_;
  net::http_responder& responder_;
  partial_response response_;
  std::vector<std::string> avoid_;
  // Whether a grant was issued for the last attempt.
  bool granted_ = false;
  bool streaming_ = false;
  // The backend server of the last attempt.
  std::string server_;
  std::shared_ptr<net::http_exchange> open_;
  std::chrono::steady_clock::time_point last_chunk_;
};

scheduling_request chat_exchange::MakeSchedulingRequest() const {
  scheduling_request request;
  request.request_id = request_.common.id;
  request.attempt_id = base::NewIdentifier();
  request.digest = request_.common.digest;
  request.partner = request_.common.partner;
  request.unit = request_.common.unit;
  request.limited = request_.common.model;
  request.prefix_hash = request_.prefix_hash;
  request.tokens = request_.max_tokens;
  request.priority = request_.common.priority;
  request.grant_timeout =
      std::min(Remaining(request_.common), request_.common.grant_timeout);
  request.avoid = avoid_;
  return request;
}

void chat_exchange::RecordChunkTiming() {
  const auto now = std::chrono::steady_clock::now();
  if (response_.tokens > 1 && last_chunk_.time_since_epoch().count() != 0) {
    frontend_.metrics()
        .Distribution("valeledge_between_tokens_seconds")
        .Record(now - last_chunk_);
  } else {
    frontend_.metrics()
        .Distribution("valeledge_first_token_seconds")
        .Record(now - request_.common.started);
  }
  last_chunk_ = now;
}

asio::awaitable<bool> chat_exchange::HandleChunk(
    const decisions::response_chunk& chunk) {
  RecordChunkTiming();
  if (!request_.stream)
    co_return !responder_.caller_gone();
  if (!streaming_) {
    streaming_ = true;
    net::http_response_header header;
    header.result(http::status::ok);
    header.set(http::field::content_type, "text/event-stream");
    header.set(http::field::cache_control, "no-cache");
    header.set(kRequestField, request_.common.id);
    const bool started = co_await responder_.Start(std::move(header));
    if (!started)
      co_return false;
  }
  const std::string data =
      RenderChunk(request_.common.id, request_.common.model, chunk.text,
                  chunk.finish_reason);
  co_return co_await responder_.Write(FormatEvent(data));
}

asio::awaitable<base::result<void>> chat_exchange::Attempt() {
  gateway_shared& shared = frontend_.shared();
  const auto requested_at = std::chrono::steady_clock::now();
  auto request_grant = [&shared, request = MakeSchedulingRequest()]()
      -> asio::awaitable<base::result<grant>> {
    co_return co_await shared.grants.RequestGrant(request);
  };
  const auto issued =
      co_await frontend_.RunOnPeerThread<grant>(std::move(request_grant));
  granted_ = issued.has_value();
  if (!issued)
    co_return tl::make_unexpected(issued.error());
  const auto granted_at = std::chrono::steady_clock::now();
  frontend_.metrics()
      .Distribution("valeledge_grant_seconds")
      .Record(granted_at - requested_at);
  server_ = issued->server;
  attempt_outcome end;
  if (responder_.caller_gone()) {
    end.report.what_ran = base::outcome::kNotRun;
    end.result =
        base::NotRun(result_code::kCallerGone, "the caller has disconnected");
  } else {
    const chunk_sink sink = [this](const decisions::response_chunk& chunk) {
      return HandleChunk(chunk);
    };
    end = co_await RunChatAttempt(
        request_, {frontend_.settings(), frontend_.http(), *issued, open_},
        response_, sink);
  }
  end.report.elapsed = std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::steady_clock::now() - granted_at);
  shared.node.peers().Submit([&shared, issued = *issued, report = end.report] {
    shared.grants.EndAttempt(issued, report);
  });
  if (!end.result) {
    avoid_.push_back(issued->server);
    ReportAttemptFailed(frontend_, kCategory, request_.common, *issued,
                        end.result.error());
  }
  co_return end.result;
}

asio::awaitable<void> chat_exchange::Complete() {
  if (request_.stream) {
    co_await responder_.Write(FormatEvent("[DONE]"));
    co_await responder_.Finish();
  } else {
    auto response = net::MakeJsonResponse(
        200, RenderCompletion(request_.common.id, request_.common.model,
                              response_.text, response_.finish_reason,
                              response_.tokens));
    response.set(kRequestField, request_.common.id);
    response.set(kOutcomeField, base::ToString(base::outcome::kCompleted));
    co_await responder_.Send(std::move(response));
  }
  ReportCompleted(frontend_, request_.common, "completed", server_);
}

asio::awaitable<void> chat_exchange::Fail(base::error failed) {
  // Earlier attempts may have run even if the last one did not.
  if (response_.tokens > 0)
    failed.what_ran = base::outcome::kUnknown;
  const bool timed_out = Remaining(request_.common).count() <= 0 &&
                         failed.what_ran == base::outcome::kUnknown;
  if (timed_out)
    failed.code = result_code::kDeadlinePassed;
  if (failed.what_ran == base::outcome::kNotRun && !failed.retry_after)
    failed.retry_after = kDefaultRetryAfter;
  ReportRefused(frontend_, kCategory, request_.common, failed);
  if (!streaming_) {
    co_await responder_.Send(ErrorResponse(failed, request_.common.id));
    co_return;
  }
  // The stream has started: the error is sent as the last event, and the
  // connection is closed without terminating the HTTP body, so that the caller
  // cannot mistake the response for a complete one.
  co_await responder_.Write(
      FormatEvent(RenderError(failed, request_.common.id)));
  responder_.Break();
}

asio::awaitable<void> chat_exchange::Run() {
  frontend_.shared().budgets.RecordRequest(request_.common.partner,
                                           request_.common.unit);
  responder_.OnCallerGone([this] {
    if (open_ != nullptr)
      open_->Abandon();
  });
  const auto last = co_await RunAttempts<void>(
      [this] { return Attempt(); },
      [this](const base::error& failed,
             std::int64_t attempts_made) -> asio::awaitable<bool> {
        if (!granted_ || responder_.caller_gone())
          co_return false;
        co_return co_await MayRetry(frontend_, request_.common, failed, true,
                                    attempts_made);
      });
  if (last)
    co_await Complete();
  else
    co_await Fail(last.error());
}

}  // namespace

asio::awaitable<void> ServeChat(caller_frontend& frontend,
                                net::http_request& request,
                                net::http_responder& responder) {
  const auto table = frontend.shared().node.table().Get();
  auto parsed = ParseChatRequest(request, frontend.settings(), *table);
  if (!parsed) {
    frontend.metrics().CountRefusal(parsed.error().code);
    co_await responder.Send(ErrorResponse(parsed.error(), {}));
    co_return;
  }
  chat_exchange exchange(frontend, std::move(*parsed), responder);
  co_await exchange.Run();
}

}  // namespace valeledge::gateway
