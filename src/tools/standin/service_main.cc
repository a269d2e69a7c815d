// SPDX-License-Identifier: MIT
// valeledge-standin-service: stands in for a plain service. Counts its runs by
// Idempotency-Key (GET /runs). POST /fault with any of {"cut_before":true}
// (cut the connection, not run), {"cut_after":true} (run, then cut),
// {"refuse":true} (503), {"delay":"100ms"} (before the run), {"status":0} (run,
// then respond with this status, which may be invalid, up to 999).
#include <map>

#include "base/duration.h"
#include "base/json.h"
#include "tools/standin/standin_server.h"

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using valeledge::base::BoolField;
using valeledge::base::IntegerField;
using valeledge::base::StringField;
using valeledge::net::http_request;
using valeledge::net::http_responder;
using valeledge::standin::Reply;
using valeledge::standin::Wait;

struct service_faults {
  bool cut_before = false;
  bool cut_after = false;
  bool refuse = false;
  unsigned status = 200;
  std::chrono::microseconds delay{0};
};

class service {
 public:
  asio::awaitable<void> Handle(http_request& request,
                               http_responder& responder);
  void Drain() { draining_ = true; }

 private:
  asio::awaitable<void> Run(http_request& request, http_responder& responder);
  void SetFaults(const json::object& body);

  service_faults faults_;
  std::map<std::string, std::int64_t> runs_;
  std::int64_t total_ = 0;
  bool draining_ = false;
};

void service::SetFaults(const json::object& body) {
  faults_.cut_before = BoolField(body, "cut_before", faults_.cut_before);
  faults_.cut_after = BoolField(body, "cut_after", faults_.cut_after);
  faults_.refuse = BoolField(body, "refuse", faults_.refuse);
  faults_.status =
      static_cast<unsigned>(IntegerField(body, "status", faults_.status));
  if (body.contains("delay")) {
    faults_.delay = valeledge::base::ParseDuration(StringField(body, "delay"))
                        .value_or(std::chrono::microseconds(0));
  }
}

asio::awaitable<void> service::Run(http_request& request,
                                   http_responder& responder) {
  const service_faults faults = faults_;
  if (faults.cut_before) {
    responder.Break();
    co_return;
  }
  if (faults.refuse || draining_) {
    co_await Reply(responder, 503, json::object());
    co_return;
  }
  co_await Wait(faults.delay);
  const std::string key(request["Idempotency-Key"]);
  const std::int64_t number = ++total_;
  ++runs_[key];
  if (faults.cut_after) {
    responder.Break();
    co_return;
  }
  const json::object answer = {{"confirmed", true},
                               {"key", key},
                               {"number", number},
                               {"path", valeledge::standin::PathOf(request)}};
  auto response =
      valeledge::net::MakeJsonResponse(200, json::serialize(answer));
  response.result(faults.status);
  co_await responder.Send(std::move(response));
}

asio::awaitable<void> service::Handle(http_request& request,
                                      http_responder& responder) {
  const std::string path = valeledge::standin::PathOf(request);
  const auto parsed = valeledge::base::ParseJsonObject(request.body());
  if (path == "/fault") {
    SetFaults(parsed ? *parsed : json::object());
    co_await Reply(responder, 200, json::object());
  } else if (path == "/drain") {
    Drain();
    co_await Reply(responder, 200, json::object());
  } else if (path == "/healthz") {
    co_await Reply(responder, draining_ ? 503 : 200, {});
  } else if (path == "/runs") {
    json::object runs;
    for (const auto& [key, count] : runs_)
      runs[key] = count;
    const json::object answer = {{"total", total_}, {"runs", runs}};
    co_await Reply(responder, 200, answer);
  } else {
    co_await Run(request, responder);
  }
}

}  // namespace

int main(int argc, char** argv) {
  service kept;
  valeledge::standin::standin_program program;
  program.name = "valeledge-standin-service";
  program.summary = "Stands in for a plain service.";
  program.handler = [&](http_request& request, http_responder& responder) {
    return kept.Handle(request, responder);
  };
  program.drain = [&] { kept.Drain(); };
  return valeledge::standin::RunStandin(argc, argv, program);
}
