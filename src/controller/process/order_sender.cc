// SPDX-License-Identifier: MIT
#include "controller/process/order_sender.h"

#include <utility>

#include "base/json.h"
#include "net/attempt_field.h"
#include "node/engine_report_reader.h"

namespace valeledge::controller {

namespace {

namespace asio = boost::asio;

constexpr auto kQueryTimeout = std::chrono::milliseconds(500);

constexpr unsigned kHttpOk = 200;
constexpr unsigned kHttpFenced = 409;
constexpr unsigned kHttpNoRoom = 507;

std::string Encode(const decisions::order& order) {
  boost::json::object object;
  object["order_id"] = order.id;
  object["kind"] =
      order.kind == decisions::order_kind::kLoad ? "load" : "unload";
  object["artifact"] = order.artifact;
  object["memory_mb"] = order.memory_mb;
  object["fence"] = order.fence;
  return boost::json::serialize(object);
}

}  // namespace

order_sender::order_sender(base::duty& orders,
                           std::chrono::microseconds timeout,
                           order_sink sink)
    : orders_(orders),
      timeout_(timeout),
      sink_(std::move(sink)),
      http_(orders.context(), nullptr, net::kAttemptField) {}

void order_sender::Send(std::string server,
                        base::endpoint address,
                        decisions::order order) {
  asio::co_spawn(
      orders_.context(),
      SendOrder(std::move(server), std::move(address), std::move(order)),
      asio::detached);
}

asio::awaitable<std::optional<decisions::engine_report>>
order_sender::QueryReport(base::endpoint address) {
  const auto response = co_await http_.Fetch(
      std::move(address),
      net::MakeRequest(boost::beast::http::verb::get, "/load"), kQueryTimeout);
  const auto object =
      response ? base::ParseJsonObject(response->body()) : std::nullopt;
  if (!object || response->result_int() != kHttpOk)
    co_return std::nullopt;
  co_return node::ReadEngineReport(*object);
}

asio::awaitable<void> order_sender::SendOrder(std::string server,
                                              base::endpoint address,
                                              decisions::order order) {
  order_end end;
  end.server = std::move(server);
  end.order_id = order.id;
  const auto response =
      co_await http_.Fetch(address,
                           net::MakeRequest(boost::beast::http::verb::post,
                                            "/orders", Encode(order)),
                           timeout_, net::connection_use::kFresh);
  const bool not_sent =
      !response && response.error().what_ran == base::outcome::kNotRun;
  if (not_sent)
    end.response = decisions::order_response::kRefused;
  if (response) {
    const unsigned status = response->result_int();
    if (status == kHttpOk)
      end.response = decisions::order_response::kDone;
    if (status == kHttpFenced || status == kHttpNoRoom)
      end.response = decisions::order_response::kRefused;
    if (const auto object = base::ParseJsonObject(response->body())) {
      end.incarnation = base::StringField(*object, "incarnation");
      end.version = base::IntegerField(*object, "version");
    }
  }
  sink_(std::move(end));
}

}  // namespace valeledge::controller
