// SPDX-License-Identifier: MIT
#include "gateway/request/service_exchange.h"

#include <algorithm>
#include <utility>

#include <boost/beast/http.hpp>

#include "base/identifier.h"
#include "base/json.h"
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

constexpr std::string_view kCategory = "service";

// A call of a plain service, checked.
struct service_request {
  request_frame frame;
  bool idempotent = true;
  // A refusal of the service says that the call did not run.
  bool refusal_not_run = false;
  std::string key;
  // Tells two requests under one key apart.
  std::string digest;
  http::verb method = http::verb::get;
  std::string target;
  std::string body;
  std::string content_type;
};

std::string DigestOf(const service_request& call) {
  const std::string text = std::string(http::to_string(call.method)) + "\n" +
                           call.target + "\n" + call.body;
  return std::to_string(base::StableHash(text)) +
         std::to_string(base::StableHash(text, 1));
}

base::result<service_request> Parse(const net::http_request& request,
                                    const gateway_settings& settings,
                                    const table::snapshot& table) {
  constexpr std::string_view kPath = "/services/";
  std::string_view target(request.target().data(), request.target().size());
  target.remove_prefix(kPath.size());
  const std::size_t end = std::min(target.find_first_of("/?"), target.size());
  const std::string name(target.substr(0, end));
  const table::row* row = table.Find(table::row_kind::kService, name);
  if (row == nullptr) {
    std::string message = "there is no service \"" + name + "\"";
    const auto near = table::NearNames(table, table::row_kind::kService, name);
    for (std::size_t i = 0; i < near.size(); ++i)
      message.append(i == 0 ? "; near names: " : ", ").append(near[i]);
    return base::NotRun(result_code::kUnknownService, std::move(message));
  }
  auto frame = ReadFrame(request, settings, *row);
  if (!frame)
    return tl::make_unexpected(frame.error());
  service_request call;
  call.frame = std::move(*frame);
  call.method = request.method();
  const bool reads =
      call.method == http::verb::get || call.method == http::verb::head;
  call.idempotent = row->idempotent || reads;
  call.refusal_not_run = row->refusal_not_run;
  call.target = std::string(target.substr(end));
  if (!call.target.starts_with('/'))
    call.target.insert(0, "/");
  call.body = request.body();
  call.content_type = std::string(request[http::field::content_type]);
  call.key = std::string(request[kKeyField]);
  if (!call.idempotent && (call.key.empty() || call.key.size() > kLongestKey)) {
    return base::NotRun(result_code::kKeyRequired,
                        "calls of \"" + name +
                            "\" may not be repeated and "
                            "need an Idempotency-Key of 1 to 200 characters");
  }
  call.digest = DigestOf(call);
  return call;
}

// One call from its first attempt to its last.
class service_exchange {
 public:
  service_exchange(caller_front& front,
                   service_request call,
                   net::http_responder& responder)
      : front_(front), call_(std::move(call)), responder_(responder) {}

  asio::awaitable<void> Run();

 private:
  grant_wish Wish() const;
  asio::awaitable<base::result<net::http_response>> Attempt();
  asio::awaitable<base::result<net::http_response>> Send(const grant& given);
  asio::awaitable<void> UpdateClaim(wire::claim_update update);
  asio::awaitable<void> Replay(const grant& given);
  asio::awaitable<void> Fail(base::error failed);

  caller_front& front_;
  service_request call_;
  net::http_responder& responder_;
  std::vector<std::string> avoid_;
  std::optional<grant> granted_;
  // The grant with which the claim was made; kept across attempts.
  std::optional<grant> claimed_;
  bool replayed_ = false;
};

grant_wish service_exchange::Wish() const {
  grant_wish wish;
  wish.request_id = call_.frame.id;
  wish.attempt_id = base::NewIdentifier();
  wish.digest = call_.frame.digest;
  wish.partner = call_.frame.partner;
  wish.unit = call_.frame.unit;
  wish.limited = call_.frame.model;
  wish.priority = call_.frame.priority;
  wish.patience = std::min(Remaining(call_.frame), call_.frame.patience);
  wish.avoid = avoid_;
  if (!call_.idempotent) {
    wish.idempotency_key = call_.key;
    wish.request_digest = call_.digest;
  }
  return wish;
}

asio::awaitable<base::result<net::http_response>> service_exchange::Send(
    const grant& given) {
  auto request = net::MakeRequest(call_.method, call_.target, call_.body);
  if (!call_.content_type.empty())
    request.set(http::field::content_type, call_.content_type);
  request.set(kAttemptField, given.attempt_id);
  if (!call_.key.empty())
    request.set(kKeyField, call_.key);
  // A pooled connection may have been closed by the other side, which would
  // leave the outcome of a call that may not be repeated unknown.
  const auto use = call_.idempotent ? net::connection_use::kPooled
                                    : net::connection_use::kFresh;
  const auto patience = Remaining(call_.frame);
  auto opened = co_await front_.http().Open(
      given.address, std::move(request),
      std::min(patience, front_.settings().connect_timeout), patience, use);
  if (!opened)
    co_return tl::make_unexpected(opened.error());
  net::http_response answer((*opened)->header());
  if (IsRefusal(answer.result_int())) {
    (*opened)->Abandon();
    const std::string message =
        "the backend server answered " + std::to_string(answer.result_int());
    // Sending it again is safe for the one, certain not to repeat for the
    // other; without either it may have run.
    if (call_.idempotent || call_.refusal_not_run)
      co_return base::NotRun(result_code::kBackendRefused, message);
    co_return base::Unknown(result_code::kOutcomeUnknown, message);
  }
  while (true) {
    const auto piece = co_await (*opened)->ReadSome(Remaining(call_.frame));
    if (!piece)
      co_return tl::make_unexpected(piece.error());
    if (piece->empty())
      break;
    answer.body().append(*piece);
    if (answer.body().size() > net::kMaxAnswerBytes) {
      co_return base::Unknown(result_code::kAnswerBroken,
                              "the answer is too large");
    }
  }
  co_return answer;
}

asio::awaitable<void> service_exchange::UpdateClaim(wire::claim_update update) {
  update.service_name = call_.frame.model;
  update.partner = call_.frame.partner;
  update.idempotency_key = call_.key;
  update.claim_id = call_.frame.id;
  update.claim_revision = claimed_->claim_revision;
  update.digest = call_.digest;
  gateway_shared& shared = front_.shared();
  auto tell =
      [&shared, update = std::move(update),
       scheduler =
           claimed_->scheduler]() -> asio::awaitable<base::result<bool>> {
    const auto told = co_await shared.grants.UpdateClaim(update, scheduler);
    co_return told.has_value();
  };
  const auto told = co_await front_.OnPeers<bool>(std::move(tell));
  if (!told || !*told)
    front_.metrics().Counter("valeledge_claims_not_updated_total").Add();
}

asio::awaitable<void> service_exchange::Replay(const grant& given) {
  replayed_ = true;
  auto answer =
      net::MakeJsonResponse(given.recorded_status, *given.recorded_answer);
  answer.set(http::field::content_type, given.recorded_type);
  answer.set(kReplayedField, "true");
  answer.set(kRequestField, call_.frame.id);
  answer.set(kOutcomeField, base::ToString(base::outcome::kCompleted));
  NoteAnswered(front_, call_.frame, "replayed", {});
  co_await responder_.Send(std::move(answer));
}

asio::awaitable<base::result<net::http_response>> service_exchange::Attempt() {
  gateway_shared& shared = front_.shared();
  auto ask = [&shared,
              wish = Wish()]() -> asio::awaitable<base::result<grant>> {
    co_return co_await shared.grants.Ask(wish);
  };
  const auto given = co_await front_.OnPeers<grant>(std::move(ask));
  if (!given)
    co_return tl::make_unexpected(given.error());
  granted_ = *given;
  if (given->claim_revision != 0)
    claimed_ = *given;
  if (given->recorded_answer) {
    co_await Replay(*given);
    co_return net::http_response();
  }
  const auto granted_at = std::chrono::steady_clock::now();
  auto answer = co_await Send(*given);
  attempt_result told;
  told.took = std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::steady_clock::now() - granted_at);
  told.tokens = 1;
  if (answer) {
    told.what_ran = base::outcome::kCompleted;
    told.answered_well = answer->result_int() < 500;
  } else {
    told.what_ran = answer.error().what_ran;
    told.unreachable = answer.error().code == result_code::kBackendUnreachable;
    told.server_ended =
        decisions::MayHaveCrashedServer({answer.error().connection_lost, {}});
    avoid_.push_back(given->server);
    NoteAttemptFailed(front_, kCategory, call_.frame, *given, answer.error());
  }
  shared.node.peers().Submit(
      [&shared, given = *given, told] { shared.grants.End(given, told); });
  co_return answer;
}

asio::awaitable<void> service_exchange::Fail(base::error failed) {
  const bool not_run = failed.what_ran == base::outcome::kNotRun;
  if (claimed_ && not_run) {
    wire::claim_update update;
    update.release = true;
    co_await UpdateClaim(std::move(update));
  }
  if (not_run && !failed.retry_after)
    failed.retry_after = kUsualComeBack;
  NoteRefused(front_, kCategory, call_.frame, failed);
  co_await responder_.Send(ErrorResponse(failed, call_.frame.id));
}

asio::awaitable<void> service_exchange::Run() {
  front_.shared().budgets.Earn(call_.frame.partner, call_.frame.unit);
  auto last = co_await RepeatAttempts<net::http_response>(
      [this] {
        granted_.reset();
        return Attempt();
      },
      [this](const base::error& failed,
             std::int64_t made) -> asio::awaitable<bool> {
        if (!granted_)
          co_return false;
        co_return co_await MayTryAgain(front_, call_.frame, failed,
                                       call_.idempotent, made);
      });
  if (replayed_)
    co_return;
  if (!last) {
    co_await Fail(last.error());
    co_return;
  }
  if (claimed_) {
    wire::claim_update update;
    update.status = static_cast<std::int32_t>(last->result_int());
    update.answer = last->body();
    update.content_type = std::string((*last)[http::field::content_type]);
    co_await UpdateClaim(std::move(update));
  }
  net::http_response answer =
      net::MakeJsonResponse(static_cast<int>(last->result_int()), last->body());
  answer.set(http::field::content_type, (*last)[http::field::content_type]);
  answer.set(kRequestField, call_.frame.id);
  answer.set(kServerField, granted_->server);
  answer.set(kOutcomeField, base::ToString(base::outcome::kCompleted));
  NoteAnswered(front_, call_.frame, "completed", granted_->server);
  co_await responder_.Send(std::move(answer));
}

}  // namespace

asio::awaitable<void> ServeService(caller_front& front,
                                   net::http_request& request,
                                   net::http_responder& responder) {
  const auto table = front.shared().node.table().Get();
  auto parsed = Parse(request, front.settings(), *table);
  if (!parsed) {
    front.metrics().CountRefusal(parsed.error().code);
    co_await responder.Send(ErrorResponse(parsed.error(), {}));
    co_return;
  }
  service_exchange exchange(front, std::move(*parsed), responder);
  co_await exchange.Run();
}

}  // namespace valeledge::gateway
