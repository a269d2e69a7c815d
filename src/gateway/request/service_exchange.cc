// SPDX-License-Identifier: MIT
#include "gateway/request/service_exchange.h"

#include <algorithm>
#include <utility>

#include <boost/beast/http.hpp>

#include "base/identifier.h"
#include "base/json.h"
#include "gateway/constants.h"
#include "gateway/request/attempt.h"
#include "gateway/request/attempt_loop.h"
#include "gateway/request/chat_request.h"
#include "gateway/request/request_reporting.h"
#include "gateway/request/responses.h"
#include "net/attempt_field.h"

namespace valeledge::gateway {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using base::result_code;

constexpr std::string_view kCategory = "service";

// A validated call of a plain service.
struct service_request {
  request_common common;
  bool idempotent = true;
  // A refusal by the service guarantees that the call did not run.
  bool refusal_not_run = false;
  std::string key;
  // Distinguishes different requests with the same idempotency key.
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
    const auto similar =
        table::NearNames(table, table::row_kind::kService, name);
    for (std::size_t i = 0; i < similar.size(); ++i)
      message.append(i == 0 ? "; similar names: " : ", ").append(similar[i]);
    return base::NotRun(result_code::kUnknownService, std::move(message));
  }
  auto common = ReadCommon(request, settings, *row);
  if (!common)
    return tl::make_unexpected(common.error());
  service_request call;
  call.common = std::move(*common);
  call.method = request.method();
  const bool is_read =
      call.method == http::verb::get || call.method == http::verb::head;
  call.idempotent = row->idempotent || is_read;
  call.refusal_not_run = row->refusal_not_run;
  call.target = std::string(target.substr(end));
  if (!call.target.starts_with('/'))
    call.target.insert(0, "/");
  call.body = request.body();
  call.content_type = std::string(request[http::field::content_type]);
  call.key = std::string(request[kKeyField]);
  if (!call.idempotent &&
      (call.key.empty() || call.key.size() > kMaxKeyLength)) {
    return base::NotRun(result_code::kKeyRequired,
                        "calls of \"" + name +
                            "\" may not be repeated and "
                            "need an Idempotency-Key of 1 to 200 characters");
  }
  call.digest = DigestOf(call);
  return call;
}

// Serves one call with all its attempts.
class service_exchange {
 public:
  service_exchange(caller_frontend& frontend,
                   service_request call,
                   net::http_responder& responder)
      : frontend_(frontend), call_(std::move(call)), responder_(responder) {}

  asio::awaitable<void> Run();

 private:
  scheduling_request MakeSchedulingRequest() const;
  asio::awaitable<base::result<net::http_response>> Attempt();
  asio::awaitable<base::result<net::http_response>> Send(const grant& issued);
  asio::awaitable<void> UpdateClaim(wire::claim_update update);
  asio::awaitable<void> Replay(const grant& issued);
  asio::awaitable<void> Fail(base::error failed);

  caller_frontend& frontend_;
  service_request call_;
  net::http_responder& responder_;
  std::vector<std::string> avoid_;
  std::optional<grant> granted_;
  // The grant with which the claim was created; kept across attempts.
  std::optional<grant> claimed_;
  bool replayed_ = false;
};

scheduling_request service_exchange::MakeSchedulingRequest() const {
  scheduling_request request;
  request.request_id = call_.common.id;
  request.attempt_id = base::NewIdentifier();
  request.digest = call_.common.digest;
  request.partner = call_.common.partner;
  request.unit = call_.common.unit;
  request.limited = call_.common.model;
  request.priority = call_.common.priority;
  request.grant_timeout =
      std::min(Remaining(call_.common), call_.common.grant_timeout);
  request.avoid = avoid_;
  if (!call_.idempotent) {
    request.idempotency_key = call_.key;
    request.request_digest = call_.digest;
  }
  return request;
}

asio::awaitable<base::result<net::http_response>> service_exchange::Send(
    const grant& issued) {
  auto request = net::MakeRequest(call_.method, call_.target, call_.body);
  if (!call_.content_type.empty())
    request.set(http::field::content_type, call_.content_type);
  request.set(net::kAttemptField, issued.attempt_id);
  if (!call_.key.empty())
    request.set(kKeyField, call_.key);
  // The server may have closed a pooled connection in the meantime, which would
  // leave the outcome of a call that must not be repeated unknown.
  const auto use = call_.idempotent ? net::connection_use::kPooled
                                    : net::connection_use::kFresh;
  const auto timeout = Remaining(call_.common);
  auto opened = co_await frontend_.http().Open(
      issued.address, std::move(request),
      net::open_limit{std::min(timeout, frontend_.settings().connect_timeout),
                      timeout, call_.common.deadline},
      use);
  if (!opened)
    co_return tl::make_unexpected(opened.error());
  net::http_response response((*opened)->header());
  if (IsRefusal(response.result_int())) {
    (*opened)->Abandon();
    const std::string message = "the backend server responded with status " +
                                std::to_string(response.result_int());
    // A status alone does not state that the call did not run.
    if (call_.refusal_not_run)
      co_return base::NotRun(result_code::kBackendRefused, message);
    co_return base::Unknown(result_code::kOutcomeUnknown, message);
  }
  while (true) {
    const auto piece = co_await (*opened)->ReadSome(Remaining(call_.common));
    if (!piece)
      co_return tl::make_unexpected(piece.error());
    if (piece->empty())
      break;
    if (!(*opened)->Append(response.body(), *piece, net::kMaxAnswerBytes)) {
      co_return base::Unknown(
          result_code::kAnswerBroken,
          "the response of the backend server is too large");
    }
  }
  co_return response;
}

asio::awaitable<void> service_exchange::UpdateClaim(wire::claim_update update) {
  update.service_name = call_.common.model;
  update.partner = call_.common.partner;
  update.idempotency_key = call_.key;
  update.claim_id = call_.common.id;
  update.claim_revision = claimed_->claim_revision;
  update.digest = call_.digest;
  gateway_shared& shared = frontend_.shared();
  auto send_update =
      [&shared, update = std::move(update),
       scheduler =
           claimed_->scheduler]() -> asio::awaitable<base::result<bool>> {
    const auto updated = co_await shared.grants.UpdateClaim(update, scheduler);
    co_return updated.has_value();
  };
  const auto updated =
      co_await frontend_.RunOnPeerThread<bool>(std::move(send_update));
  if (!updated || !*updated)
    frontend_.metrics().Counter("valeledge_claims_not_updated_total").Add();
}

asio::awaitable<void> service_exchange::Replay(const grant& issued) {
  replayed_ = true;
  auto response =
      net::MakeJsonResponse(issued.recorded_status, *issued.recorded_answer);
  response.set(http::field::content_type, issued.recorded_type);
  response.set(kReplayedField, "true");
  response.set(kRequestField, call_.common.id);
  response.set(kOutcomeField, base::ToString(base::outcome::kCompleted));
  ReportCompleted(frontend_, call_.common, "replayed", {});
  co_await responder_.Send(std::move(response));
}

asio::awaitable<base::result<net::http_response>> service_exchange::Attempt() {
  gateway_shared& shared = frontend_.shared();
  auto request_grant = [&shared, request = MakeSchedulingRequest()]()
      -> asio::awaitable<base::result<grant>> {
    co_return co_await shared.grants.RequestGrant(request);
  };
  const auto issued =
      co_await frontend_.RunOnPeerThread<grant>(std::move(request_grant));
  if (!issued)
    co_return tl::make_unexpected(issued.error());
  granted_ = *issued;
  if (issued->claim_revision != 0)
    claimed_ = *issued;
  if (issued->recorded_answer) {
    co_await Replay(*issued);
    co_return net::http_response();
  }
  const auto granted_at = std::chrono::steady_clock::now();
  auto response = co_await Send(*issued);
  attempt_result report;
  report.elapsed = std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::steady_clock::now() - granted_at);
  report.tokens = 1;
  if (response) {
    report.what_ran = base::outcome::kCompleted;
    report.succeeded = response->result_int() < 500;
  } else {
    report.what_ran = response.error().what_ran;
    report.unreachable =
        response.error().code == result_code::kBackendUnreachable;
    report.server_crashed =
        decisions::MayHaveCrashedServer({response.error().connection_lost, {}});
    avoid_.push_back(issued->server);
    ReportAttemptFailed(frontend_, kCategory, call_.common, *issued,
                        response.error());
  }
  shared.node.peers().Submit([&shared, issued = *issued, report] {
    shared.grants.EndAttempt(issued, report);
  });
  co_return response;
}

asio::awaitable<void> service_exchange::Fail(base::error failed) {
  const bool not_run = failed.what_ran == base::outcome::kNotRun;
  if (claimed_ && not_run) {
    wire::claim_update update;
    update.release = true;
    co_await UpdateClaim(std::move(update));
  }
  if (not_run && !failed.retry_after)
    failed.retry_after = kDefaultRetryAfter;
  ReportRefused(frontend_, kCategory, call_.common, failed);
  co_await responder_.Send(ErrorResponse(failed, call_.common.id));
}

asio::awaitable<void> service_exchange::Run() {
  frontend_.shared().budgets.RecordRequest(call_.common.partner,
                                           call_.common.unit);
  auto last = co_await RunAttempts<net::http_response>(
      [this] {
        granted_.reset();
        return Attempt();
      },
      [this](const base::error& failed,
             std::int64_t attempts_made) -> asio::awaitable<bool> {
        if (!granted_)
          co_return false;
        co_return co_await MayRetry(frontend_, call_.common, failed,
                                    call_.idempotent, attempts_made);
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
  net::http_response response =
      net::MakeJsonResponse(static_cast<int>(last->result_int()), last->body());
  response.set(http::field::content_type, (*last)[http::field::content_type]);
  response.set(kRequestField, call_.common.id);
  response.set(kServerField, granted_->server);
  response.set(kOutcomeField, base::ToString(base::outcome::kCompleted));
  ReportCompleted(frontend_, call_.common, "completed", granted_->server);
  co_await responder_.Send(std::move(response));
}

}  // namespace

asio::awaitable<void> ServeService(caller_frontend& frontend,
                                   net::http_request& request,
                                   net::http_responder& responder) {
  const auto table = frontend.shared().node.table().Get();
  auto parsed = Parse(request, frontend.settings(), *table);
  if (!parsed) {
    frontend.metrics().CountRefusal(parsed.error().code);
    co_await responder.Send(ErrorResponse(parsed.error(), {}));
    co_return;
  }
  service_exchange exchange(frontend, std::move(*parsed), responder);
  co_await exchange.Run();
}

}  // namespace valeledge::gateway
