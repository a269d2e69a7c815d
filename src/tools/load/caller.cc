// SPDX-License-Identifier: MIT
#include "tools/load/caller.h"

#include <algorithm>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

#include "base/duration.h"
#include "base/json.h"
#include "net/http_client.h"

namespace valeledge::load {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using clock = std::chrono::steady_clock;
using std::chrono::microseconds;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr int kBroken = -1;

microseconds Since(clock::time_point start) {
  return std::chrono::duration_cast<microseconds>(clock::now() - start);
}

struct run_state {
  run_state(asio::io_context& context, const load_plan& plan_in)
      : plan(plan_in), client(context) {}

  const load_plan& plan;
  net::http_client client;
  clock::time_point start;
  std::vector<sample> samples;
};

net::http_request MakeRequest(const load_plan& plan, const arrival& each) {
  const demand& kind = plan.demands[each.demand];
  net::http_request request;
  if (kind.service.empty()) {
    json::object message;
    message["role"] = "user";
    message["content"] = each.prompt;
    json::object body;
    body["model"] = each.model;
    body["stream"] = true;
    body["max_tokens"] = kind.tokens;
    body["messages"] = json::array{std::move(message)};
    request = net::MakeRequest(http::verb::post, "/v1/chat/completions",
                               json::serialize(body));
  } else {
    request = net::MakeRequest(http::verb::post,
                               "/services/" + kind.service + "/load", "{}");
    request.set("Idempotency-Key", "load-" + each.key);
  }
  request.set("Valeledge-Deadline", base::FormatDuration(plan.deadline));
  request.set("Valeledge-Priority", std::to_string(kind.priority));
  return request;
}

void ReadRefusal(const net::http_response_header& header, sample& out) {
  const auto reason = header.find("Valeledge-Reason");
  out.code = kBroken;
  if (reason != header.end())
    out.code = std::atoi(std::string(reason->value()).c_str());
  const auto outcome = header.find("Valeledge-Outcome");
  if (outcome != header.end())
    out.outcome = std::string(outcome->value());
  const auto wait = header.find(http::field::retry_after);
  if (wait != header.end()) {
    out.come_back =
        std::chrono::seconds(std::atoi(std::string(wait->value()).c_str()));
  }
}

// Counts events and the gaps between them.
asio::awaitable<void> ReadStream(net::http_exchange& exchange,
                                 const load_plan& plan,
                                 clock::time_point sent,
                                 sample& out) {
  clock::time_point last;
  std::string tail;
  bool ended = false;
  while (true) {
    const auto piece = co_await exchange.ReadSome(plan.deadline);
    if (!piece || piece->empty())
      break;
    tail.append(*piece);
    ended = ended || tail.find("data: [DONE]") != std::string::npos;
    std::size_t at = 0;
    while ((at = tail.find("\n\n")) != std::string::npos) {
      const bool chunk = tail.starts_with("data: {");
      tail.erase(0, at + 2);
      if (!chunk)
        continue;
      const auto now = clock::now();
      if (out.tokens == 0)
        out.first_token = Since(sent);
      else
        out.worst_gap =
            std::max(out.worst_gap,
                     std::chrono::duration_cast<microseconds>(now - last));
      last = now;
      ++out.tokens;
    }
  }
  out.whole = ended;
  out.code = ended ? 0 : kBroken;
  out.outcome = ended ? "completed" : "broken";
  if (out.tokens > 1)
    out.mean_gap = (Since(sent) - out.first_token) / (out.tokens - 1);
}

asio::awaitable<void> SendOne(run_state& state,
                              const arrival& each,
                              std::size_t index) {
  asio::steady_timer timer(co_await asio::this_coro::executor,
                           state.start + each.at);
  co_await timer.async_wait(kAwait);
  const auto sent = clock::now();
  sample& out = state.samples[index];
  out.demand = each.demand;
  out.at = each.at;
  const base::endpoint gateway =
      state.plan.gateways[index % state.plan.gateways.size()];
  const auto opened = co_await state.client.Open(
      gateway, MakeRequest(state.plan, each),
      net::open_limit{state.plan.deadline, state.plan.deadline});
  if (!opened) {
    out.code = kBroken;
    out.outcome = base::ToString(opened.error().what_ran);
  } else if ((*opened)->header().result_int() != 200) {
    ReadRefusal((*opened)->header(), out);
    while (true) {
      const auto piece = co_await (*opened)->ReadSome(state.plan.deadline);
      if (!piece || piece->empty())
        break;
    }
  } else if (state.plan.demands[each.demand].service.empty()) {
    co_await ReadStream(**opened, state.plan, sent, out);
  } else {
    const auto piece = co_await (*opened)->ReadSome(state.plan.deadline);
    out.whole = piece.has_value();
    out.outcome = out.whole ? "completed" : "broken";
    out.first_token = Since(sent);
  }
  out.took = Since(sent);
}

}  // namespace

bool MetTarget(const load_plan& plan, const sample& each) {
  return each.whole && each.first_token <= plan.first_token &&
         each.mean_gap <= plan.between_tokens;
}

std::vector<sample> SendAll(asio::io_context& context,
                            const load_plan& plan,
                            const std::vector<arrival>& arrivals) {
  run_state state(context, plan);
  state.samples.resize(arrivals.size());
  state.start = clock::now() + std::chrono::milliseconds(50);
  for (std::size_t i = 0; i < arrivals.size(); ++i) {
    asio::co_spawn(context, SendOne(state, arrivals[i], i), asio::detached);
  }
  context.run();
  context.restart();
  return std::move(state.samples);
}

std::int64_t CountMoves(asio::io_context& context, const load_plan& plan) {
  net::http_client client(context);
  std::int64_t moves = 0;
  auto ask = [&](base::endpoint where) -> asio::awaitable<void> {
    const auto answer = co_await client.Fetch(
        where, net::MakeRequest(http::verb::get, "/status"),
        std::chrono::seconds(2));
    const auto object =
        answer ? base::ParseJsonObject(answer->body()) : std::nullopt;
    if (object)
      moves += base::IntegerField(*object, "moves");
  };
  for (const base::endpoint& each : plan.controllers)
    asio::co_spawn(context, ask(each), asio::detached);
  context.run();
  context.restart();
  return moves;
}

}  // namespace valeledge::load
