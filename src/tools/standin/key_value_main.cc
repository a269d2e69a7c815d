// SPDX-License-Identifier: MIT
// valeledge-standin-kv: stands in for the platform's key-value service and
// host list. POST /fault {"mode":"ok"|"down"|"slow"|"lose_answers",
// "delay":"500ms"}; POST /save and /restore; GET /calls; POST /hosts sets what
// GET /hosts answers.
#include <algorithm>
#include <map>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "base/duration.h"
#include "base/json.h"
#include "store/base64.h"
#include "tools/standin/key_value_store.h"
#include "tools/standin/standin_server.h"

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using valeledge::base::ArrayField;
using valeledge::base::IntegerField;
using valeledge::base::ObjectField;
using valeledge::base::StringField;
using valeledge::net::http_request;
using valeledge::net::http_responder;
using valeledge::standin::key_value_store;
using valeledge::standin::Reply;
using valeledge::standin::Wait;

constexpr auto kWatchLook = std::chrono::milliseconds(2);
constexpr auto kExpireInterval = std::chrono::milliseconds(20);

struct fault_state {
  std::string mode = "ok";
  std::chrono::microseconds delay{0};
};

std::string ChangeMessage(std::int64_t revision) {
  json::object result;
  result["header"] = {{"revision", std::to_string(revision)}};
  result["events"] = json::array{json::object()};
  return json::serialize(json::object{{"result", std::move(result)}}) + "\n";
}

class service {
 public:
  asio::awaitable<void> Handle(http_request& request,
                               http_responder& responder);
  asio::awaitable<void> ExpireLoop();

 private:
  asio::awaitable<void> Serve(const std::string& path,
                              const json::object& body,
                              http_responder& responder);
  asio::awaitable<void> Watch(const json::object& create,
                              http_responder& responder);
  asio::awaitable<void> Control(const std::string& path,
                                const json::object& body,
                                http_responder& responder);
  json::object Answer(const std::string& path, const json::object& body);
  void Count(const std::string& path, const json::object& body);

  key_value_store store_;
  fault_state fault_;
  std::map<std::string, std::int64_t> calls_;
  // Most calls in any one second.
  std::int64_t second_ = 0;
  std::int64_t in_second_ = 0;
  std::int64_t peak_ = 0;
  std::string hosts_ = R"({"hosts":[]})";
};

void service::Count(const std::string& path, const json::object& body) {
  const auto* success = ArrayField(body, "success");
  const bool reads = path == "/v3/kv/txn" && success != nullptr &&
                     std::ranges::all_of(*success, [](const json::value& each) {
                       return each.get_object().contains("request_range");
                     });
  ++calls_[reads ? "read" : path];
  const auto now = std::chrono::duration_cast<std::chrono::seconds>(
                       std::chrono::steady_clock::now().time_since_epoch())
                       .count();
  in_second_ = now == second_ ? in_second_ + 1 : 1;
  second_ = now;
  peak_ = std::max(peak_, in_second_);
}

json::object service::Answer(const std::string& path,
                             const json::object& body) {
  const auto now = std::chrono::steady_clock::now();
  if (path == "/v3/kv/txn") {
    auto response = store_.RunTransaction(body);
    return response ? std::move(*response)
                    : json::object{{"error", "duplicate key given"}};
  }
  if (path == "/v3/lease/grant") {
    const std::chrono::seconds length(IntegerField(body, "TTL"));
    return {{"ID", std::to_string(store_.GrantLease(length, now))}};
  }
  const std::int64_t lease = IntegerField(body, "ID");
  if (path == "/v3/lease/keepalive") {
    const std::int64_t left = store_.KeepLease(lease, now);
    return {{"result", {{"TTL", std::to_string(left)}}}};
  }
  store_.RevokeLease(lease);
  return {};
}

asio::awaitable<void> service::Watch(const json::object& create,
                                     http_responder& responder) {
  using valeledge::store::DecodeBase64;
  const std::string key = DecodeBase64(StringField(create, "key")).value_or("");
  const std::string end =
      DecodeBase64(StringField(create, "range_end")).value_or("");
  std::int64_t from = IntegerField(create, "start_revision", 1);
  valeledge::net::http_response_header header;
  header.result(boost::beast::http::status::ok);
  bool alive = co_await responder.Start(header);
  alive =
      alive && co_await responder.Write("{\"result\":{\"created\":true}}\n");
  while (alive && !responder.caller_gone()) {
    if (fault_.mode == "down") {
      responder.Break();
      co_return;
    }
    const auto change = store_.FirstChange(key, end, from);
    if (change) {
      alive = co_await responder.Write(ChangeMessage(store_.revision()));
      from = store_.revision() + 1;
    }
    co_await Wait(kWatchLook);
  }
}

asio::awaitable<void> service::Serve(const std::string& path,
                                     const json::object& body,
                                     http_responder& responder) {
  Count(path, body);
  if (fault_.mode == "slow")
    co_await Wait(fault_.delay);
  if (fault_.mode == "down") {
    responder.Break();
    co_return;
  }
  if (path == "/v3/watch") {
    if (const auto* create = ObjectField(body, "create_request"))
      co_await Watch(*create, responder);
    co_return;
  }
  const json::object answer = Answer(path, body);
  const auto* success = ArrayField(body, "success");
  const bool writes =
      success != nullptr &&
      std::ranges::any_of(*success, [](const json::value& each) {
        return !each.get_object().contains("request_range");
      });
  if (fault_.mode == "lose_answers" && writes) {
    responder.Break();
    co_return;
  }
  co_await Reply(responder, answer.contains("error") ? 400 : 200, answer);
}

asio::awaitable<void> service::Control(const std::string& path,
                                       const json::object& body,
                                       http_responder& responder) {
  if (path == "/fault") {
    fault_.mode = StringField(body, "mode", "ok");
    fault_.delay =
        valeledge::base::ParseDuration(StringField(body, "delay", "0s"))
            .value_or(std::chrono::microseconds(0));
  } else if (path == "/save") {
    store_.Save();
  } else if (path == "/restore") {
    store_.Restore();
  } else if (path == "/calls") {
    json::object answer;
    for (const auto& [kind, count] : calls_)
      answer[kind] = count;
    answer["peak_per_second"] = peak_;
    co_await Reply(responder, 200, answer);
    co_return;
  }
  co_await Reply(responder, 200, json::object());
}

asio::awaitable<void> service::Handle(http_request& request,
                                      http_responder& responder) {
  const std::string path = valeledge::standin::PathOf(request);
  const bool sets_hosts = path == "/hosts" && !request.body().empty();
  if (sets_hosts)
    hosts_ = request.body();
  if (path == "/hosts") {
    co_await responder.Send(valeledge::net::MakeJsonResponse(200, hosts_));
    co_return;
  }
  const auto parsed = valeledge::base::ParseJsonObject(request.body());
  const json::object body = parsed ? *parsed : json::object();
  if (path.starts_with("/v3/"))
    co_await Serve(path, body, responder);
  else
    co_await Control(path, body, responder);
}

asio::awaitable<void> service::ExpireLoop() {
  while (true) {
    // A service that is down does not let leases lapse either.
    if (fault_.mode != "down")
      store_.Expire(std::chrono::steady_clock::now());
    co_await Wait(kExpireInterval);
  }
}

}  // namespace

int main(int argc, char** argv) {
  service kept;
  valeledge::standin::standin_program program;
  program.name = "valeledge-standin-kv";
  program.summary = "Stands in for the platform's key-value service.";
  program.start = [&](asio::io_context& context) {
    asio::co_spawn(context, kept.ExpireLoop(), asio::detached);
  };
  program.handler = [&](http_request& request, http_responder& responder) {
    return kept.Handle(request, responder);
  };
  return valeledge::standin::RunStandin(argc, argv, program);
}
