// SPDX-License-Identifier: MIT
#include "host/process/order_dispatcher.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/logging.h"
#include "host/constants.h"
#include "host/process/order_replies.h"
#include "host/process/response_updates.h"

namespace valeledge::host {

namespace {

namespace asio = boost::asio;
using base::log_event;
using base::result_code;
using phase = engine_model::phase;
using std::chrono::milliseconds;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view kCategory = "orders";

// How long room is reserved for a planned load: an unload waits for the running
// streams to end.
constexpr std::chrono::milliseconds kPlannedLoadLifetime{6000};

// An order without a response within this time may still be executed.
constexpr milliseconds kOrderTimeout{800};

// An engine's reported state is a few hundred milliseconds old: after an order
// it is not queried before this time.
constexpr milliseconds kStateLag{350};

// An engine that still reports fewer orders than it had accepted this long ago
// has lost them.
constexpr milliseconds kOrderLossTimeout{2000};

// Interval between queries of an engine that executes an order.
constexpr milliseconds kBusyQueryInterval{400};

// Delay between withdrawing and unloading a model, in which other hosts receive
// the update and requests in flight arrive.
constexpr milliseconds kWithdrawalDelay{100};

// Opens a connection for the next order, which cannot use that of another one.
asio::awaitable<void> OpenConnection(net::http_client& http,
                                     base::endpoint where) {
  // Without it the order opens one itself.
  co_await http.Preconnect(std::move(where), kOrderTimeout);
}

}  // namespace

order_dispatcher::order_dispatcher(host_core& core,
                                   std::function<std::int64_t()> term)
    : core_(core),
      term_(std::move(term)),
      adapters_(
          core,
          engines_,
          [this](engine_ptr engine,
                 order_verb verb,
                 std::string model,
                 std::string adapter) {
            return Send(std::move(engine), verb, std::move(model),
                        std::move(adapter));
          },
          [this] { changed_ = true; }) {}

void order_dispatcher::BeginTerm(bool is_first_holder) {
  engines_.clear();
  store_loads_.clear();
  if (!is_first_holder) {
    no_store_loads_until_ =
        std::chrono::steady_clock::now() + core_.settings.load_window;
  }
  changed_ = true;
}

bool order_dispatcher::TakeChanged() {
  return std::exchange(changed_, false);
}

void order_dispatcher::QueryLater(engine_record& engine, milliseconds after) {
  const auto at = std::chrono::steady_clock::now() + after;
  if (!engine.query_at || at > *engine.query_at)
    engine.query_at = at;
}

void order_dispatcher::Refresh() {
  const auto now = std::chrono::steady_clock::now();
  for (const auto& [instance, server] : core_.servers.servers()) {
    const catalog::service* service =
        core_.configuration->FindService(server->entry.service);
    if (service == nullptr || !service->HasModels())
      continue;
    auto& engine = engines_[instance];
    // An engine that has started again under its id holds nothing of before.
    if (engine == nullptr || engine->server != server) {
      engine = std::make_shared<engine_record>();
      engine->server = server;
      engine->query_at = now;
    }
  }
  std::erase_if(engines_, [&](const auto& each) {
    return core_.servers.Find(each.first) == nullptr;
  });
  for (const auto& [instance, engine] : engines_) {
    if (!engine->querying && ApplyEntry(*engine)) {
      engine->query_at.reset();
      changed_ = true;
    }
    const bool due = engine->query_at && now >= *engine->query_at;
    if (due && !engine->querying && !engine->sending) {
      engine->querying = true;
      asio::co_spawn(core_.context, QueryState(engine), asio::detached);
    }
  }
}

asio::awaitable<void> order_dispatcher::QueryState(engine_ptr engine) {
  engine->query_at.reset();
  const auto& entry = engine->server->entry;
  auto request = core_.protocol.make_state_request(entry.instance);
  const auto sent = std::chrono::steady_clock::now();
  const auto response = co_await core_.http.Fetch(
      entry.address, std::move(request), kOrderTimeout);
  engine->querying = false;
  if (response)
    ApplyControlResponse(core_, *engine->server, response->base(), sent);
  const bool responded = response && response->result_int() == 200;
  const auto state = responded
                         ? core_.protocol.decode_state(response->body())
                         : base::result<catalog::engine_state>(base::NotRun(
                               result_code::kPeerUnreachable, "no state"));
  // The response may be older than the last accepted order.
  const auto now = std::chrono::steady_clock::now();
  const bool older = state && engine->accepted &&
                     state->orders_accepted < *engine->accepted &&
                     now - engine->accepted_at < kOrderLossTimeout;
  if (!state || older || engine->sending) {
    if (!engine->query_at)
      QueryLater(*engine, kStateLag);
    co_return;
  }
  ApplyState(*engine, *state, now);
  if (state->busy)
    QueryLater(*engine, kBusyQueryInterval);
  changed_ = true;
}

std::int64_t order_dispatcher::StoreLoadsLeft(double per_second) {
  const auto now = std::chrono::steady_clock::now();
  if (now < no_store_loads_until_)
    return 0;
  const std::chrono::duration<double> window = core_.settings.load_window;
  const auto max_loads =
      static_cast<std::int64_t>(std::floor(per_second * window.count()));
  while (!store_loads_.empty() &&
         now - store_loads_.front() >= core_.settings.load_window) {
    store_loads_.pop_front();
  }
  return max_loads - static_cast<std::int64_t>(store_loads_.size());
}

milliseconds order_dispatcher::StoreLoadDelay(double per_second,
                                              std::int64_t reserved) {
  const auto now = std::chrono::steady_clock::now();
  if (now < no_store_loads_until_)
    return std::chrono::ceil<milliseconds>(no_store_loads_until_ - now);
  const std::int64_t excess = reserved + 1 - StoreLoadsLeft(per_second);
  if (excess <= 0)
    return milliseconds(0);
  if (excess > static_cast<std::int64_t>(store_loads_.size()))
    return core_.settings.load_window;
  const auto free_at = store_loads_[static_cast<std::size_t>(excess) - 1] +
                       core_.settings.load_window;
  return std::chrono::ceil<milliseconds>(free_at - now);
}

void order_dispatcher::StartPlannedLoad(const engine_ptr& engine,
                                        const catalog::engine& kind,
                                        bool waits_for_store,
                                        base::time_point now) {
  if (!engine->planned)
    return;
  const catalog::model* model = kind.Find(engine->planned->model);
  const bool late = now - engine->planned->planned_at > kPlannedLoadLifetime;
  if (model == nullptr || late || !engine->server->TakesRequests()) {
    engine->planned.reset();
    return;
  }
  if (!IsIdle(*engine))
    return;
  const bool fits =
      model->weights_mb <= kind.weights_mb - UsedMemory(*engine, kind);
  const bool from_store =
      engine->planned->source == decisions::weight_source::kStore;
  const bool allowed = !from_store || StoreLoadsLeft(kind.loads_per_second) > 0;
  const bool held = engine->models.contains(model->name);
  if (fits && !held && !allowed && waits_for_store)
    return;
  if (fits && allowed && !held)
    Load(engine, *model, engine->planned->source);
  engine->planned.reset();
}

asio::awaitable<order_reply> order_dispatcher::Send(engine_ptr engine,
                                                    order_verb verb,
                                                    std::string model,
                                                    std::string adapter) {
  engine_order order;
  order.verb = verb;
  order.instance = engine->server->entry.instance;
  order.model = model;
  order.adapter = adapter;
  order.expected = engine->accepted.value_or(0);
  order.holder = core_.settings.name;
  order.term = term_();
  if (order.term == 0)
    co_return order_reply::kFenced;
  engine->sending = true;
  // Orders for adapters come in series.
  if (!adapter.empty()) {
    asio::co_spawn(core_.context,
                   OpenConnection(core_.http, engine->server->entry.address),
                   asio::detached);
  }
  auto request = core_.protocol.make_order(order);
  const auto sent = std::chrono::steady_clock::now();
  const auto response = co_await core_.http.Fetch(
      engine->server->entry.address, std::move(request), kOrderTimeout);
  engine->sending = false;
  if (response)
    ApplyControlResponse(core_, *engine->server, response->base(), sent);
  order_reply reply = order_reply::kUnknown;
  if (response)
    reply = core_.protocol.read_order_reply(
        static_cast<int>(response->result_int()));
  // For an adapter without requests, the unload is complete at once
  // (kAlreadyInEffect) and still counts as an accepted order.
  const bool counted = reply == order_reply::kAccepted ||
                       (reply == order_reply::kAlreadyInEffect &&
                        !adapter.empty() && verb == order_verb::kUnload);
  if (counted) {
    engine->accepted = order.expected + 1;
    engine->accepted_at = std::chrono::steady_clock::now();
  } else {
    QueryLater(*engine, kStateLag);
  }
  base::Log(kCategory,
            reply == order_reply::kUnknown ? log_event::kOrderUnsettled
                                           : log_event::kOrderSent,
            {{"server", order.instance},
             {"verb", verb == order_verb::kLoad ? "load" : "unload"},
             {"unit", AdapterUnit(model, adapter)},
             {"expected", order.expected},
             {"term", order.term},
             {"reply", NameOf(reply)}});
  core_.metrics.Counter("valeledge_orders_total", NameOf(reply)).Add();
  if (reply == order_reply::kFenced && on_fenced_)
    on_fenced_(order.term);
  co_return reply;
}

void order_dispatcher::Load(engine_ptr engine,
                            const catalog::model& model,
                            decisions::weight_source source) {
  milliseconds expected = model.load_from_store;
  if (source == decisions::weight_source::kMemory)
    expected = model.load_from_memory;
  if (source == decisions::weight_source::kDisk)
    expected = model.load_from_disk;
  const bool from_store = source == decisions::weight_source::kStore;
  if (from_store)
    store_loads_.push_back(std::chrono::steady_clock::now());
  engine->changing = true;
  asio::co_spawn(core_.context,
                 RunLoad(std::move(engine), model.name, expected, from_store),
                 asio::detached);
}

asio::awaitable<void> order_dispatcher::RunLoad(engine_ptr engine,
                                                std::string model,
                                                milliseconds expected,
                                                bool from_store) {
  const auto now = std::chrono::steady_clock::now();
  engine_model loading;
  loading.state = phase::kLoading;
  loading.since = now;
  loading.due = now + expected;
  loading.from_store = from_store;
  loading.listed_before = IsListed(*engine, model);
  engine->models[model] = loading;
  const order_reply reply = co_await Send(engine, order_verb::kLoad, model, {});
  if (reply == order_reply::kAlreadyInEffect) {
    engine->models[model].state = phase::kHeld;
    engine->changing = false;
    changed_ = true;
    co_return;
  }
  if (reply == order_reply::kAccepted) {
    engine->models[model].acknowledged = true;
    // From then on the reported state should show that the load has ended.
    QueryLater(*engine, expected + kStateLag);
    co_return;
  }
  // The order may still be executed, but not after the next one is accepted.
  // The state that the engine reports to the next query decides.
  engine->models.erase(model);
}

void order_dispatcher::Unload(engine_ptr engine,
                              const std::string& model,
                              planned_load planned) {
  engine->changing = true;
  engine->planned = std::move(planned);
  const auto found = engine->models.find(model);
  if (found != engine->models.end())
    found->second.state = phase::kWithdrawn;
  changed_ = true;
  asio::co_spawn(core_.context, RunUnload(std::move(engine), model),
                 asio::detached);
}

asio::awaitable<void> order_dispatcher::RunUnload(engine_ptr engine,
                                                  std::string model) {
  asio::steady_timer timer(core_.context, kWithdrawalDelay);
  co_await timer.async_wait(kAwait);
  const order_reply reply =
      co_await Send(engine, order_verb::kUnload, model, {});
  const auto found = engine->models.find(model);
  if (reply == order_reply::kAlreadyInEffect) {
    engine->models.erase(model);
    engine->changing = false;
    changed_ = true;
    co_return;
  }
  if (found == engine->models.end())
    co_return;
  if (reply == order_reply::kAccepted) {
    found->second.state = phase::kUnloading;
    found->second.listed_before = IsListed(*engine, model);
    QueryLater(*engine, kStateLag);
  }
}

}  // namespace valeledge::host
