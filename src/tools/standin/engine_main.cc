// SPDX-License-Identifier: MIT
// valeledge-standin-engine: stands in for a model engine. Beside the calls
// that engines take it has POST /fault with any of
//   {"cut_after":N}      cut the next answer after N tokens
//   {"wrong_id":N}, {"skip":N}, {"repeat":N}, {"no_end":true}  damage it
//   {"stall_after":N}    send nothing more after N tokens
//   {"refuse":true}      answer 503 to requests
//   {"hold_orders":true} keep orders until {"release_orders":true}
//   {"lose_order_answers":true}  carry out, then cut the connection
//   {"double_orders":true}       carry out every order twice
//   {"lag":"2s"}         report what was true so long ago
#include <algorithm>
#include <deque>
#include <map>

#include "base/duration.h"
#include "base/identifier.h"
#include "base/json.h"
#include "tools/standin/engine_memory.h"
#include "tools/standin/engine_model.h"
#include "tools/standin/standin_server.h"

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using valeledge::base::ArrayField;
using valeledge::base::BoolField;
using valeledge::base::IntegerField;
using valeledge::base::StringField;
using valeledge::net::http_request;
using valeledge::net::http_responder;
using valeledge::standin::Reply;
using valeledge::standin::Wait;

constexpr auto kHoldLook = std::chrono::milliseconds(5);
constexpr std::int64_t kDefaultTokens = 16;
constexpr std::size_t kPrefixBytes = 512;

// Faults to come, as set by POST /fault; -1 for none.
struct engine_faults {
  std::int64_t cut_after = -1;
  std::int64_t wrong_id = -1;
  std::int64_t skip = -1;
  std::int64_t repeat = -1;
  std::int64_t stall_after = -1;
  bool no_end = false;
  bool refuse = false;
  bool hold_orders = false;
  bool lose_order_answers = false;
  bool double_orders = false;
  std::chrono::microseconds lag{0};
};

struct engine_options {
  valeledge::standin::engine_kind kind;
  valeledge::standin::engine_pace pace;
  std::chrono::microseconds load_time = std::chrono::milliseconds(50);
  bool per_host = false;
};

struct completion {
  std::string id;
  std::string model;
  std::string prompt;
  std::int64_t tokens = 0;
  std::int64_t from = 0;
};

class engine {
 public:
  explicit engine(const engine_options& options)
      : options_(options), cache_(options.pace.cached_prefixes) {}

  asio::awaitable<void> Handle(http_request& request,
                               http_responder& responder);
  void Drain() { draining_ = true; }

 private:
  asio::awaitable<void> Complete(const std::string& host,
                                 const json::object& body,
                                 http_responder& responder);
  asio::awaitable<void> Stream(completion wanted, http_responder& responder);
  asio::awaitable<void> TakeOrder(const std::string& host,
                                  const json::object& body,
                                  http_responder& responder);
  asio::awaitable<bool> CarryOut(const std::string& host,
                                 const json::object& body);
  asio::awaitable<void> ReportLoad(const std::string& host,
                                   http_responder& responder);
  void SetFaults(const json::object& body);
  std::string RenderChunk(const completion& wanted,
                          std::int64_t index,
                          bool wrong_id,
                          bool last) const;
  json::object Load(const std::string& host);
  bool Serves(const std::string& host, const std::string& model);
  valeledge::standin::engine_memory& Memory(const std::string& host);

  engine_options options_;
  // One for each address that the engine is called by, if it stands for many
  // backend servers; otherwise one.
  std::map<std::string, valeledge::standin::engine_memory> memories_;
  valeledge::standin::prefix_cache cache_;
  engine_faults faults_;
  std::string incarnation_ = valeledge::base::NewIdentifier();
  std::int64_t active_ = 0;
  std::int64_t queued_ = 0;
  std::int64_t peak_active_ = 0;
  std::int64_t requests_ = 0;
  std::int64_t completed_ = 0;
  std::int64_t cancelled_ = 0;
  std::int64_t tokens_ = 0;
  std::int64_t cache_hits_ = 0;
  bool draining_ = false;
  std::deque<std::pair<std::chrono::steady_clock::time_point, json::object>>
      history_;
};

valeledge::standin::engine_memory& engine::Memory(const std::string& host) {
  const std::string key = options_.per_host ? host : std::string();
  return memories_.try_emplace(key, options_.kind).first->second;
}

bool engine::Serves(const std::string& host, const std::string& model) {
  return Memory(host).IsLoadedInAnyVersion("model/" + model) ||
         Memory(host).IsLoadedInAnyVersion("adapter/" + model);
}

json::object engine::Load(const std::string& host) {
  const auto& memory = Memory(host);
  json::object loaded;
  for (const auto& [artifact, copies] : memory.loaded())
    loaded[artifact] = copies;
  json::array done;
  for (const std::string& id : memory.orders_done())
    done.emplace_back(id);
  return {{"incarnation", incarnation_},    {"version", memory.version()},
          {"in_flight", active_ + queued_}, {"draining", draining_},
          {"loaded", std::move(loaded)},    {"orders_done", std::move(done)}};
}

asio::awaitable<void> engine::ReportLoad(const std::string& host,
                                         http_responder& responder) {
  const auto now = std::chrono::steady_clock::now();
  history_.emplace_back(now, Load(host));
  while (history_.size() > 1 && history_[1].first <= now - faults_.lag)
    history_.pop_front();
  const json::object answer =
      faults_.lag.count() == 0 ? Load(host) : history_.front().second;
  co_await Reply(responder, 200, answer);
}

std::string engine::RenderChunk(const completion& wanted,
                                std::int64_t index,
                                bool wrong_id,
                                bool last) const {
  json::object choice;
  choice["index"] = 0;
  choice["delta"] = {
      {"content", valeledge::standin::TokenText(wanted.prompt, index)}};
  if (last)
    choice["finish_reason"] = "stop";
  else
    choice["finish_reason"] = nullptr;
  json::object chunk;
  chunk["id"] = wrong_id ? "someone-else" : wanted.id;
  chunk["object"] = "chat.completion.chunk";
  chunk["model"] = wanted.model;
  chunk["offset"] = index;
  chunk["tokens"] = 1;
  chunk["choices"] = json::array{std::move(choice)};
  return "data: " + json::serialize(chunk) + "\n\n";
}

asio::awaitable<void> engine::Stream(completion wanted,
                                     http_responder& responder) {
  const engine_faults faults = faults_;
  // A fault damages one answer.
  faults_.cut_after = faults_.wrong_id = faults_.skip = -1;
  faults_.repeat = faults_.stall_after = -1;
  faults_.no_end = false;
  const std::string prefix = wanted.prompt.substr(0, kPrefixBytes);
  const bool cached = cache_.Use(prefix);
  cache_hits_ += cached ? 1 : 0;
  const auto beyond = static_cast<std::int64_t>(wanted.prompt.size() -
                                                (cached ? prefix.size() : 0));
  co_await Wait(options_.pace.prefill_per_token * (beyond / 4));
  valeledge::net::http_response_header header;
  header.result(http::status::ok);
  header.set(http::field::content_type, "text/event-stream");
  bool alive = co_await responder.Start(header);
  for (std::int64_t i = wanted.from; alive && i < wanted.tokens; ++i) {
    co_await Wait(StepTime(options_.pace, active_));
    if (i == faults.cut_after) {
      responder.Break();
      co_return;
    }
    while (i == faults.stall_after && !responder.caller_gone())
      co_await Wait(kHoldLook);
    if (i == faults.skip)
      continue;
    const std::string chunk =
        RenderChunk(wanted, i, i == faults.wrong_id, i + 1 == wanted.tokens);
    alive = co_await responder.Write(chunk);
    if (alive && i == faults.repeat)
      alive = co_await responder.Write(chunk);
    ++tokens_;
  }
  if (alive && !faults.no_end)
    alive = co_await responder.Write("data: [DONE]\n\n");
  alive = alive && co_await responder.Finish();
  ++(alive ? completed_ : cancelled_);
}

asio::awaitable<void> engine::Complete(const std::string& host,
                                       const json::object& body,
                                       http_responder& responder) {
  completion wanted;
  wanted.model = StringField(body, "model");
  wanted.id = StringField(body, "request_id",
                          "direct-" + valeledge::base::NewIdentifier());
  wanted.tokens = IntegerField(body, "max_tokens", kDefaultTokens);
  wanted.from = IntegerField(body, "resume_from");
  if (const json::array* messages = ArrayField(body, "messages"))
    wanted.prompt = json::serialize(*messages);
  if (draining_ || faults_.refuse) {
    auto refusal = valeledge::net::MakeJsonResponse(503, "{}");
    if (draining_)
      refusal.set("Valeledge-Draining", "true");
    co_await responder.Send(std::move(refusal));
    co_return;
  }
  if (!Serves(host, wanted.model)) {
    const json::object answer = {{"error", "not loaded"}};
    co_await Reply(responder, 503, answer);
    co_return;
  }
  ++requests_;
  ++queued_;
  while (active_ >= options_.pace.slots && !responder.caller_gone())
    co_await Wait(kHoldLook);
  --queued_;
  ++active_;
  peak_active_ = std::max(peak_active_, active_);
  co_await Stream(std::move(wanted), responder);
  --active_;
}

asio::awaitable<bool> engine::CarryOut(const std::string& host,
                                       const json::object& body) {
  const std::string id = StringField(body, "order_id");
  const std::string artifact = StringField(body, "artifact");
  if (!Memory(host).TakeFence(IntegerField(body, "fence")))
    co_return false;
  if (StringField(body, "kind") == "unload") {
    Memory(host).Unload(artifact, id);
    co_return true;
  }
  Memory(host).BeginLoad(artifact, IntegerField(body, "memory_mb"));
  co_await Wait(options_.load_time);
  Memory(host).FinishLoad(artifact, id);
  co_return true;
}

asio::awaitable<void> engine::TakeOrder(const std::string& host,
                                        const json::object& body,
                                        http_responder& responder) {
  while (faults_.hold_orders)
    co_await Wait(kHoldLook);
  const bool lose = faults_.lose_order_answers;
  bool done = co_await CarryOut(host, body);
  if (done && faults_.double_orders)
    done = co_await CarryOut(host, body);
  if (lose) {
    responder.Break();
    co_return;
  }
  const json::object answer = {{"result", done ? "done" : "refused"},
                               {"incarnation", incarnation_},
                               {"version", Memory(host).version()}};
  co_await Reply(responder, done ? 200 : 409, answer);
}

void engine::SetFaults(const json::object& body) {
  faults_.cut_after = IntegerField(body, "cut_after", faults_.cut_after);
  faults_.wrong_id = IntegerField(body, "wrong_id", faults_.wrong_id);
  faults_.skip = IntegerField(body, "skip", faults_.skip);
  faults_.repeat = IntegerField(body, "repeat", faults_.repeat);
  faults_.stall_after = IntegerField(body, "stall_after", faults_.stall_after);
  faults_.no_end = BoolField(body, "no_end", faults_.no_end);
  faults_.refuse = BoolField(body, "refuse", faults_.refuse);
  faults_.hold_orders = BoolField(body, "hold_orders", faults_.hold_orders) &&
                        !BoolField(body, "release_orders");
  faults_.lose_order_answers =
      BoolField(body, "lose_order_answers", faults_.lose_order_answers);
  faults_.double_orders =
      BoolField(body, "double_orders", faults_.double_orders);
  if (body.contains("lag")) {
    faults_.lag = valeledge::base::ParseDuration(StringField(body, "lag"))
                      .value_or(std::chrono::microseconds(0));
  }
}

asio::awaitable<void> engine::Handle(http_request& request,
                                     http_responder& responder) {
  const std::string path = valeledge::standin::PathOf(request);
  const std::string host(request[http::field::host]);
  const auto parsed = valeledge::base::ParseJsonObject(request.body());
  const json::object body = parsed ? *parsed : json::object();
  if (path == "/v1/chat/completions") {
    co_await Complete(host, body, responder);
  } else if (path == "/load") {
    co_await ReportLoad(host, responder);
  } else if (path == "/orders") {
    co_await TakeOrder(host, body, responder);
  } else if (path == "/fault") {
    SetFaults(body);
    co_await Reply(responder, 200, json::object());
  } else if (path == "/drain") {
    Drain();
    co_await Reply(responder, 200, json::object());
  } else if (path == "/counts") {
    const json::object answer = {{"requests", requests_},
                                 {"completed", completed_},
                                 {"cancelled", cancelled_},
                                 {"tokens", tokens_},
                                 {"cache_hits", cache_hits_},
                                 {"peak_active", peak_active_},
                                 {"used_mb", Memory(host).used_mb()},
                                 {"peak_mb", Memory(host).peak_mb()},
                                 {"overcommits", Memory(host).overcommits()}};
    co_await Reply(responder, 200, answer);
  } else {
    co_await Reply(responder, 404, json::object());
  }
}

}  // namespace

int main(int argc, char** argv) {
  engine_options options;
  std::optional<engine> kept;
  valeledge::standin::standin_program program;
  program.name = "valeledge-standin-engine";
  program.summary = "Stands in for a model engine.";
  program.add_options = [](cxxopts::Options& add) {
    add.add_options()("capacity-mb", "Accelerator memory",
                      cxxopts::value<std::int64_t>()->default_value("1000"))(
        "slots", "Requests in one batch",
        cxxopts::value<std::int64_t>()->default_value("8"))(
        "token-step", "Time of a token",
        cxxopts::value<std::string>()->default_value("20ms"))(
        "load-time", "Time of a load",
        cxxopts::value<std::string>()->default_value("50ms"))(
        "prefill", "Prefill time of a token",
        cxxopts::value<std::string>()->default_value("100us"))(
        "fencing", "Refuse old fencing numbers")(
        "single-load", "A doubled load takes no memory twice")(
        "step-growth", "Part by which a step grows for each other request",
        cxxopts::value<double>()->default_value("0.02"))(
        "per-host", "Stand for one backend server for each address called by");
  };
  program.read_options = [&](const cxxopts::ParseResult& parsed) {
    const auto duration = [&](const char* name) {
      return valeledge::base::ParseDuration(parsed[name].as<std::string>())
          .value_or(std::chrono::milliseconds(20));
    };
    options.kind.capacity_mb = parsed["capacity-mb"].as<std::int64_t>();
    options.per_host = parsed.count("per-host") != 0;
    options.kind.fencing = parsed.count("fencing") != 0;
    options.kind.doubled_load = parsed.count("single-load") == 0;
    options.pace.step_growth = parsed["step-growth"].as<double>();
    options.pace.slots = parsed["slots"].as<std::int64_t>();
    options.pace.token_step = duration("token-step");
    options.pace.prefill_per_token = duration("prefill");
    options.load_time = duration("load-time");
    kept.emplace(options);
  };
  program.handler = [&](http_request& request, http_responder& responder) {
    return kept->Handle(request, responder);
  };
  program.drain = [&] { kept->Drain(); };
  return valeledge::standin::RunStandin(argc, argv, program);
}
