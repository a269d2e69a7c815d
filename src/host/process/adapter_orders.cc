// SPDX-License-Identifier: MIT
#include "host/process/adapter_orders.h"

#include <chrono>
#include <optional>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/identifier.h"
#include "host/process/order_replies.h"

namespace valeledge::host {

namespace {

namespace asio = boost::asio;
using base::result_code;
using std::chrono::milliseconds;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// Approximate time to load an adapter.
constexpr milliseconds kAdapterLoadTime{25};

asio::awaitable<void> Pause(milliseconds length) {
  asio::steady_timer timer(co_await asio::this_coro::executor, length);
  co_await timer.async_wait(kAwait);
}

bool IsOfSoftware(const known_server& server,
                  const std::optional<std::string>& software) {
  return !software || server.entry.software == *software;
}

}  // namespace

adapter_orders::adapter_orders(host_core& core,
                               const engine_map& engines,
                               order_sender send,
                               std::function<void()> on_change)
    : core_(core),
      engines_(engines),
      send_(std::move(send)),
      on_change_(std::move(on_change)) {}

adapter_orders::engine_ptr adapter_orders::ChooseForAdapter(
    const std::string& service,
    const std::string& model,
    const std::string& adapter,
    const std::optional<std::string>& software,
    std::int64_t slots) {
  engine_ptr best;
  std::pair<std::int64_t, std::uint64_t> best_rank;
  const std::string unit = AdapterUnit(model, adapter);
  for (const auto& [instance, engine] : engines_) {
    const known_server& server = *engine->server;
    const bool usable =
        server.entry.service == service && IsOfSoftware(server, software) &&
        server.TakesRequests() && IsHeld(*engine, model) && IsIdle(*engine);
    if (!usable)
      continue;
    // Prefers engines with free adapter slots and no rate limit or backoff.
    // Among equals picks the same engine each time, since it reloads an adapter
    // that it held before faster.
    const std::int64_t crowded = AdaptersHeld(*engine) >= slots ||
                                         server.IsLimited() ||
                                         server.IsBackingOff()
                                     ? 1
                                     : 0;
    const std::pair rank(crowded,
                         ~base::RendezvousWeight(unit, server.entry.instance));
    if (best == nullptr || rank < best_rank) {
      best = engine;
      best_rank = rank;
    }
  }
  return best;
}

asio::awaitable<bool> adapter_orders::MakeAdapterRoom(engine_ptr engine,
                                                      std::int64_t slots) {
  if (AdaptersHeld(*engine) < slots)
    co_return true;
  std::string victim_model;
  std::string victim;
  base::time_point oldest = base::time_point::max();
  for (const auto& [name, held] : engine->models) {
    for (const auto& [adapter, used] : held.adapters) {
      if (used < oldest) {
        oldest = used;
        victim_model = name;
        victim = adapter;
      }
    }
  }
  const order_reply reply =
      co_await send_(engine, order_verb::kUnload, victim_model, victim);
  const auto model = engine->models.find(victim_model);
  const bool unloaded =
      reply == order_reply::kAccepted || reply == order_reply::kAlreadyInEffect;
  if (unloaded && model != engine->models.end())
    model->second.adapters.erase(victim);
  co_return unloaded&& AdaptersHeld(*engine) < slots;
}

asio::awaitable<order_reply> adapter_orders::SendAdapter(engine_ptr engine,
                                                         std::string model,
                                                         std::string adapter) {
  engine->models[model].adapters[adapter] =
      std::chrono::steady_clock::now() + kAdapterLoadTime;
  const order_reply reply =
      co_await send_(engine, order_verb::kLoad, model, adapter);
  const bool accepted =
      reply == order_reply::kAccepted || reply == order_reply::kAlreadyInEffect;
  const auto after = engine->models.find(model);
  if (!accepted && after != engine->models.end())
    after->second.adapters.erase(adapter);
  if (accepted)
    on_change_();
  co_return reply;
}

void adapter_orders::Load(engine_ptr engine,
                          std::string model,
                          std::vector<std::string> adapters,
                          std::int64_t slots) {
  asio::co_spawn(
      core_.context,
      RunLoads(std::move(engine), std::move(model), std::move(adapters), slots),
      asio::detached);
}

asio::awaitable<void> adapter_orders::RunLoads(
    engine_ptr engine,
    std::string model,
    std::vector<std::string> adapters,
    std::int64_t slots) {
  for (const std::string& adapter : adapters) {
    const bool can_load = IsIdle(*engine) && IsHeld(*engine, model) &&
                          AdaptersHeld(*engine) < slots;
    if (!can_load)
      co_return;
    const order_reply reply = co_await SendAdapter(engine, model, adapter);
    if (reply != order_reply::kAccepted &&
        reply != order_reply::kAlreadyInEffect)
      co_return;
  }
}

adapter_orders::engine_ptr adapter_orders::FindAdapter(
    const std::string& model,
    const std::string& adapter,
    const std::optional<std::string>& software) {
  for (const auto& [instance, engine] : engines_) {
    const bool usable = IsHeld(*engine, model) &&
                        engine->server->TakesRequests() &&
                        IsOfSoftware(*engine->server, software);
    if (usable && engine->models.find(model)->second.adapters.contains(adapter))
      return engine;
  }
  return nullptr;
}

asio::awaitable<base::result<std::string>> adapter_orders::AwaitAdapter(
    engine_ptr engine,
    std::string model,
    std::string adapter) {
  const auto now = std::chrono::steady_clock::now();
  base::time_point& ready = engine->models[model].adapters[adapter];
  if (ready <= now) {
    ready = now;
    co_return engine->server->entry.instance;
  }
  // The adapter may be loading for another request. Meanwhile the engine may
  // leave, and others may join.
  co_await Pause(std::chrono::ceil<milliseconds>(ready - now));
  if (!engine->server->TakesRequests()) {
    co_return base::NotRun(result_code::kNoBackendServer,
                           "the engine left while it was loading the adapter");
  }
  co_return engine->server->entry.instance;
}

asio::awaitable<base::result<std::string>> adapter_orders::Ensure(
    std::string service,
    std::string model,
    std::string adapter,
    std::optional<std::string> software) {
  const engine_ptr holder = FindAdapter(model, adapter, software);
  if (holder != nullptr) {
    auto held = co_await AwaitAdapter(holder, model, adapter);
    co_return held;
  }
  const catalog::service* kind = core_.configuration->FindService(service);
  if (kind == nullptr) {
    co_return base::NotRun(result_code::kNoBackendServer,
                           "the lease holder does not know the service");
  }
  const std::int64_t slots = kind->engines.adapter_slots;
  const engine_ptr engine =
      ChooseForAdapter(service, model, adapter, software, slots);
  if (engine == nullptr) {
    co_return base::NotRun(result_code::kNoBackendServer,
                           "no engine is available to load the adapter");
  }
  const bool room = co_await MakeAdapterRoom(engine, slots);
  if (!room) {
    co_return base::NotRun(result_code::kNoRoom,
                           "no adapter could be unloaded to make room");
  }
  if (!engine->models.contains(model)) {
    co_return base::NotRun(result_code::kNoBackendServer,
                           "the engine unloaded the model meanwhile");
  }
  const order_reply reply = co_await SendAdapter(engine, model, adapter);
  const bool accepted =
      reply == order_reply::kAccepted || reply == order_reply::kAlreadyInEffect;
  if (!accepted) {
    co_return base::NotRun(
        result_code::kNoBackendServer,
        "the engine did not accept the adapter: " + NameOf(reply));
  }
  if (reply == order_reply::kAccepted)
    co_await Pause(kAdapterLoadTime);
  co_return engine->server->entry.instance;
}

}  // namespace valeledge::host
