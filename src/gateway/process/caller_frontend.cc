// SPDX-License-Identifier: MIT
#include "gateway/process/caller_frontend.h"

#include <utility>

#include <boost/beast/http.hpp>

#include "base/logging.h"
#include "gateway/constants.h"
#include "gateway/request/chat_exchange.h"
#include "gateway/request/responses.h"
#include "gateway/request/service_exchange.h"
#include "net/attempt_field.h"
#include "net/deadline_responder.h"

namespace valeledge::gateway {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using base::result_code;

constexpr std::string_view kServicesPath = "/services/";

net::http_response PlainText(int status, std::string body) {
  auto response = net::MakeJsonResponse(status, std::move(body));
  response.set(http::field::content_type, "text/plain; charset=utf-8");
  return response;
}

base::error Refusal(result_code code, std::string message) {
  return {code, base::outcome::kNotRun, std::move(message), std::nullopt};
}

}  // namespace

caller_frontend::caller_frontend(gateway_shared& shared, int number)
    : shared_(shared), thread_("callers" + std::to_string(number)) {}

caller_frontend::~caller_frontend() {
  Stop();
}

base::result<void> caller_frontend::Start() {
  http_ = std::make_unique<net::http_client>(thread_.context(), nullptr,
                                             net::kAttemptField);
  server_ = std::make_unique<net::http_server>(
      thread_.context(), settings().limits,
      [this](net::http_request& request, net::http_responder& responder) {
        return Handle(request, responder);
      },
      [this](const base::error& fault) {
        metrics().CountRefusal(fault.code);
        return ErrorResponse(fault, {});
      });
  const auto started = server_->Start(settings().caller_listen, true);
  if (!started)
    return tl::make_unexpected(started.error());
  thread_.Start();
  return {};
}

void caller_frontend::Drain() {
  thread_.Submit([this] { server_->Drain(); });
}

void caller_frontend::RespondToAll() {
  thread_.Submit([this] {
    // A response may end its request, which removes it from the list.
    const auto responses = final_responses_;
    for (const auto& send : responses)
      send();
  });
}

void caller_frontend::Stop() {
  thread_.Stop();
}

std::string caller_frontend::RenderModels() const {
  const auto table = shared_.node.table().Get();
  json::array data;
  for (const auto kind : {table::row_kind::kModel, table::row_kind::kAdapter}) {
    for (const table::row* each : table->All(kind)) {
      data.push_back({{"id", each->name},
                      {"object", "model"},
                      {"owned_by", each->partner}});
    }
  }
  return json::serialize(
      json::object{{"object", "list"}, {"data", std::move(data)}});
}

asio::awaitable<void> caller_frontend::Handle(net::http_request& request,
                                              net::http_responder& responder) {
  std::string path(request.target().data(), request.target().size());
  const auto bounded =
      std::make_shared<net::deadline_responder>(thread_.context(), responder);
  bounded->SetLateResponse([this] {
    const base::error cut =
        base::MakeError(result_code::kOutcomeUnknown, base::outcome::kUnknown,
                        "this gateway has shut down before the request ended");
    metrics().CountRefusal(cut.code);
    return ErrorResponse(cut, {});
  });
  const auto final_response = final_responses_.insert(
      final_responses_.end(), [weak = std::weak_ptr(bounded)] {
        if (const auto in_progress = weak.lock())
          in_progress->EndNow();
      });
  ++active_;
  co_await Dispatch(request, *bounded, path.substr(0, path.find('?')));
  final_responses_.erase(final_response);
  co_await bounded->Close();
  --active_;
}

asio::awaitable<void> caller_frontend::Dispatch(net::http_request& request,
                                                net::http_responder& responder,
                                                std::string_view path) {
  const bool chat = path == "/v1/chat/completions";
  const bool service = path.starts_with(kServicesPath);
  if (chat && request.method() != http::verb::post) {
    co_await responder.Send(ErrorResponse(
        Refusal(result_code::kMethodNotAllowed, "the method must be POST"),
        {}));
  } else if ((chat || service) && shared_.refuses_requests) {
    metrics().CountRefusal(result_code::kLeaving);
    co_await responder.Send(ErrorResponse(
        Refusal(result_code::kLeaving, "this gateway is shutting down"), {}));
  } else if (chat) {
    co_await ServeChat(*this, request, responder);
  } else if (service) {
    co_await ServeService(*this, request, responder);
  } else if (path == "/v1/models") {
    co_await responder.Send(net::MakeJsonResponse(200, RenderModels()));
  } else if (path == "/healthz") {
    co_await responder.Send(PlainText(200, "ok\n"));
  } else if (path == "/readyz") {
    const bool ready = shared_.node.IsReady();
    co_await responder.Send(
        PlainText(ready ? 200 : 503, ready ? "ready\n" : "not ready\n"));
  } else if (path == "/metrics") {
    co_await responder.Send(PlainText(200, metrics().Render()));
  } else {
    metrics().CountRefusal(result_code::kUnknownPath);
    co_await responder.Send(ErrorResponse(
        Refusal(result_code::kUnknownPath,
                "there is nothing at \"" + std::string(path) + "\""),
        {}));
  }
}

}  // namespace valeledge::gateway
