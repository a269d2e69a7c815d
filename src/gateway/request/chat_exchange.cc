// SPDX-License-Identifier: MIT
#include "gateway/request/chat_exchange.h"

#include <algorithm>
#include <utility>

#include <boost/beast/http.hpp>

#include "base/identifier.h"
#include "gateway/constants.h"
#include "gateway/request/answers.h"
#include "gateway/request/attempt.h"
#include "gateway/request/attempt_loop.h"
#include "gateway/request/chat_request.h"
#include "gateway/request/request_notes.h"

namespace valeledge::gateway {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using base::result_code;

constexpr std::string_view kCategory = "chat";

// One request for a completion, from its first attempt to its last.
class chat_exchange {
 public:
  chat_exchange(caller_front& front,
                chat_request request,
                net::http_responder& responder)
      : front_(front), request_(std::move(request)), responder_(responder) {}

  asio::awaitable<void> Run();

 private:
  grant_wish Wish() const;
  asio::awaitable<base::result<void>> Attempt();
  asio::awaitable<bool> TakeChunk(const decisions::response_chunk& chunk);
  asio::awaitable<void> Complete();
  asio::awaitable<void> Fail(base::error failed);
  void NoteChunk();

  caller_front& front_;
  chat_request request_;
  net::http_responder& responder_;
  answer_so_far answer_;
  std::vector<std::string> avoid_;
  // Whether the last attempt got as far as a backend server.
  bool granted_ = false;
  bool streaming_ = false;
  // The backend server of the last attempt.
  std::string server_;
  std::shared_ptr<net::http_exchange> open_;
  std::chrono::steady_clock::time_point last_chunk_;
};

grant_wish chat_exchange::Wish() const {
  grant_wish wish;
  wish.request_id = request_.frame.id;
  wish.attempt_id = base::NewIdentifier();
  wish.digest = request_.frame.digest;
  wish.partner = request_.frame.partner;
  wish.unit = request_.frame.unit;
  wish.limited = request_.frame.model;
  wish.prefix_hash = request_.prefix_hash;
  wish.tokens = request_.max_tokens;
  wish.priority = request_.frame.priority;
  wish.patience = std::min(Remaining(request_.frame), request_.frame.patience);
  wish.avoid = avoid_;
  return wish;
}

void chat_exchange::NoteChunk() {
  const auto now = std::chrono::steady_clock::now();
  if (answer_.tokens > 1 && last_chunk_.time_since_epoch().count() != 0) {
    front_.metrics()
        .Distribution("valeledge_between_tokens_seconds")
        .Record(now - last_chunk_);
  } else {
    front_.metrics()
        .Distribution("valeledge_first_token_seconds")
        .Record(now - request_.frame.started);
  }
  last_chunk_ = now;
}

asio::awaitable<bool> chat_exchange::TakeChunk(
    const decisions::response_chunk& chunk) {
  NoteChunk();
  if (!request_.stream)
    co_return !responder_.caller_gone();
  if (!streaming_) {
    streaming_ = true;
    net::http_response_header header;
    header.result(http::status::ok);
    header.set(http::field::content_type, "text/event-stream");
    header.set(http::field::cache_control, "no-cache");
    header.set(kRequestField, request_.frame.id);
    const bool started = co_await responder_.Start(std::move(header));
    if (!started)
      co_return false;
  }
  const std::string data = RenderChunk(request_.frame.id, request_.frame.model,
                                       chunk.text, chunk.finish_reason);
  co_return co_await responder_.Write(Event(data));
}

asio::awaitable<base::result<void>> chat_exchange::Attempt() {
  gateway_shared& shared = front_.shared();
  const auto asked = std::chrono::steady_clock::now();
  auto ask = [&shared,
              wish = Wish()]() -> asio::awaitable<base::result<grant>> {
    co_return co_await shared.grants.Ask(wish);
  };
  const auto given = co_await front_.OnPeers<grant>(std::move(ask));
  granted_ = given.has_value();
  if (!given)
    co_return tl::make_unexpected(given.error());
  const auto granted_at = std::chrono::steady_clock::now();
  front_.metrics()
      .Distribution("valeledge_grant_seconds")
      .Record(granted_at - asked);
  server_ = given->server;
  attempt_end end;
  if (responder_.caller_gone()) {
    end.told.what_ran = base::outcome::kNotRun;
    end.ended = base::NotRun(result_code::kCallerGone, "the caller is gone");
  } else {
    const chunk_sink sink = [this](const decisions::response_chunk& chunk) {
      return TakeChunk(chunk);
    };
    end = co_await RunChatAttempt(
        request_, {front_.settings(), front_.http(), *given, open_}, answer_,
        sink);
  }
  end.told.took = std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::steady_clock::now() - granted_at);
  shared.node.peers().Submit([&shared, given = *given, told = end.told] {
    shared.grants.End(given, told);
  });
  if (!end.ended) {
    avoid_.push_back(given->server);
    NoteAttemptFailed(front_, kCategory, request_.frame, *given,
                      end.ended.error());
  }
  co_return end.ended;
}

asio::awaitable<void> chat_exchange::Complete() {
  if (request_.stream) {
    co_await responder_.Write(Event("[DONE]"));
    co_await responder_.Finish();
  } else {
    auto answer = net::MakeJsonResponse(
        200,
        RenderCompletion(request_.frame.id, request_.frame.model, answer_.text,
                         answer_.finish_reason, answer_.tokens));
    answer.set(kRequestField, request_.frame.id);
    answer.set(kOutcomeField, base::ToString(base::outcome::kCompleted));
    co_await responder_.Send(std::move(answer));
  }
  NoteAnswered(front_, request_.frame, "completed", server_);
}

asio::awaitable<void> chat_exchange::Fail(base::error failed) {
  // Earlier attempts may have run even if the last one did not.
  if (answer_.tokens > 0)
    failed.what_ran = base::outcome::kUnknown;
  const bool timed_out = Remaining(request_.frame).count() <= 0 &&
                         failed.what_ran == base::outcome::kUnknown;
  if (timed_out)
    failed.code = result_code::kDeadlinePassed;
  if (failed.what_ran == base::outcome::kNotRun && !failed.retry_after)
    failed.retry_after = kUsualComeBack;
  NoteRefused(front_, kCategory, request_.frame, failed);
  if (!streaming_) {
    co_await responder_.Send(ErrorResponse(failed, request_.frame.id));
    co_return;
  }
  // The stream has begun: the error is its last event, and the connection
  // closes without the transport's end, so that nothing looks whole.
  co_await responder_.Write(Event(RenderError(failed, request_.frame.id)));
  responder_.Break();
}

asio::awaitable<void> chat_exchange::Run() {
  front_.shared().budgets.Earn(request_.frame.partner, request_.frame.unit);
  responder_.OnCallerGone([this] {
    if (open_ != nullptr)
      open_->Abandon();
  });
  const auto last = co_await RepeatAttempts<void>(
      [this] { return Attempt(); },
      [this](const base::error& failed,
             std::int64_t made) -> asio::awaitable<bool> {
        if (!granted_ || responder_.caller_gone())
          co_return false;
        co_return co_await MayTryAgain(front_, request_.frame, failed, true,
                                       made);
      });
  if (last)
    co_await Complete();
  else
    co_await Fail(last.error());
}

}  // namespace

asio::awaitable<void> ServeChat(caller_front& front,
                                net::http_request& request,
                                net::http_responder& responder) {
  const auto table = front.shared().node.table().Get();
  auto parsed = ParseChatRequest(request, front.settings(), *table);
  if (!parsed) {
    front.metrics().CountRefusal(parsed.error().code);
    co_await responder.Send(ErrorResponse(parsed.error(), {}));
    co_return;
  }
  chat_exchange exchange(front, std::move(*parsed), responder);
  co_await exchange.Run();
}

}  // namespace valeledge::gateway
