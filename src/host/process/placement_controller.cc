// SPDX-License-Identifier: MIT
#include "host/process/placement_controller.h"

#include <algorithm>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/logging.h"
#include "decisions/engine_discovery.h"
#include "host/constants.h"
#include "wire/codec.h"

namespace valeledge::host {

namespace {

namespace asio = boost::asio;
using base::result_code;
using phase = engine_model::phase;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// How often the holder plans: well under the second within which a rise of
// demand shows.
constexpr std::chrono::milliseconds kPlanInterval{100};

// What is asked of models is logged so often, for those that are asked for at
// least this many times a second.
constexpr std::chrono::milliseconds kDemandLogInterval{2000};
constexpr double kLoggedRate = 1.0;
constexpr std::string_view kCategory = "placement";

// Orders that a process of this host sent before it ended arrive within this.
constexpr std::chrono::milliseconds kOwnOrdersEnd{500};

// News is told again after so long, for hosts that missed it: of as many
// engines as a datagram holds, of all in turn. Servers' own entries tell the
// same a little later.
constexpr std::chrono::milliseconds kNewsInterval{1000};

// A fact that is younger than this is not contradicted by news that may have
// been written before it.
constexpr std::chrono::milliseconds kNewsAge{300};

// Room that was made for a model is kept for it so long: an unload waits for
// the streams that run.
constexpr std::chrono::milliseconds kPlannedFor{6000};

// Adapters that are loaded ahead on one engine in one plan: an order and its
// answer take some milliseconds, and all are to be out before the next plan.
constexpr std::int64_t kAdaptersAtOnce = 4;

// What the others are told of a load that is under way.
wire::coming_model ComingOf(const std::string& name,
                            const engine_model& model,
                            base::time_point now) {
  wire::coming_model out;
  out.model = KeyOf(name);
  const auto left =
      std::chrono::ceil<std::chrono::milliseconds>(model.due - now);
  out.due_ms =
      static_cast<std::int32_t>(std::max<std::int64_t>(left.count(), 0));
  return out;
}

// What others are told of an engine.
wire::placed_engine PlacedOf(const engine_record& engine,
                             base::time_point now) {
  wire::placed_engine placed;
  placed.server = engine.server->key;
  for (const auto& [name, model] : engine.models) {
    if (model.now == phase::kHeld) {
      placed.held.push_back(KeyOf(name));
      for (const auto& [adapter, used] : model.adapters)
        placed.held.push_back(KeyOf(AdapterUnit(name, adapter)));
      continue;
    }
    placed.withdrawn.push_back(KeyOf(name));
    if (model.now == phase::kLoading)
      placed.coming.push_back(ComingOf(name, model, now));
  }
  std::ranges::sort(placed.held);
  return placed;
}

// What all hosts know of an engine by its entry.
wire::placed_engine EntryOf(const catalog::backend_server& entry) {
  wire::placed_engine placed;
  placed.server = KeyOf(entry.instance);
  for (const catalog::held_model& each : entry.models) {
    placed.held.push_back(KeyOf(each.name));
    for (const std::string& adapter : each.adapters)
      placed.held.push_back(KeyOf(AdapterUnit(each.name, adapter)));
  }
  std::ranges::sort(placed.held);
  return placed;
}

// Whether what is known of an engine differs from what was told; that a load
// comes nearer to its end is none.
bool IsNews(const wire::placed_engine& placed,
            const wire::placed_engine& told) {
  return placed.server != told.server || placed.held != told.held ||
         placed.withdrawn != told.withdrawn;
}

bool Holds(const wire::placed_engine& engine, unit_key unit) {
  return std::ranges::find(engine.held, unit) != engine.held.end();
}

}  // namespace

placement_controller::placement_controller(host_core& core,
                                           store::lease_keeper& lease,
                                           peer_link& peers)
    : core_(core),
      lease_(lease),
      peers_(peers),
      forecast_(core.demand),
      dispatcher_(core, [this] { return OrderTerm(); }) {}

void placement_controller::Start() {
  asio::co_spawn(core_.context, Loop(), asio::detached);
}

std::int64_t placement_controller::OrderTerm() const {
  const std::int64_t term = lease_.CertainTerm();
  const auto now = std::chrono::steady_clock::now();
  // The last holder's orders have ended by then.
  const bool waited =
      now - lease_.taken_at() >=
      (lease_.follows_itself() ? kOwnOrdersEnd : core_.settings.handover_pause);
  return waited || lease_.is_first_holder() ? term : 0;
}

// What engines hold when they are first known stands for demand, as long as
// nobody has asked for anything.
void placement_controller::CountFirstReplicas() {
  if (!forecast_.quiet() && settled_)
    return;
  for (const auto& [instance, engine] : dispatcher_.engines()) {
    if (!engine->accepted || !counted_.insert(instance).second)
      continue;
    for (const auto& [name, model] : engine->models)
      forecast_.AddFirstReplica(name);
  }
}

// Engines enter themselves one after the other. A plan for half of them would
// load what the others hold.
bool placement_controller::IsSettled() {
  if (settled_)
    return true;
  const auto now = std::chrono::steady_clock::now();
  const bool known = std::ranges::all_of(
      dispatcher_.engines(),
      [](const auto& each) { return each.second->accepted.has_value(); });
  if (dispatcher_.engines().size() != known_engines_ || !known) {
    known_engines_ = dispatcher_.engines().size();
    known_since_ = now;
  }
  const auto since = [now](base::time_point then) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - then);
  };
  const decisions::discovery_state view{since(core_.started),
                                        since(term_since_), since(known_since_),
                                        core_.settings.server_heartbeat};
  if (known_engines_ == 0 || !decisions::IsDiscoveryComplete(view))
    return false;
  settled_ = true;
  return true;
}

void placement_controller::LogDemand(
    const catalog::service& service,
    const std::vector<decisions::plan_model>& models,
    const std::vector<decisions::plan_engine>& engines) {
  const auto now = std::chrono::steady_clock::now();
  if (now - logged_ < kDemandLogInterval)
    return;
  logged_ = now;
  for (std::size_t i = 0; i < models.size(); ++i) {
    if (models[i].arrival_rate < kLoggedRate)
      continue;
    const auto count = [&](const auto list) {
      return std::ranges::count_if(engines, [&](const auto& engine) {
        return std::ranges::find(engine.*list, i) != (engine.*list).end();
      });
    };
    base::Log(
        kCategory, base::log_event::kDemandSeen,
        {{"model", service.engines.models[i].name},
         {"position", static_cast<std::int64_t>(i)},
         {"a_minute", static_cast<std::int64_t>(models[i].arrival_rate * 60)},
         {"work_ms", static_cast<std::int64_t>(models[i].work)},
         {"running", models[i].running},
         {"held", count(&decisions::plan_engine::loaded)},
         {"loading", count(&decisions::plan_engine::loading)},
         {"on_disk", count(&decisions::plan_engine::on_disk)},
         {"in_memory", count(&decisions::plan_engine::in_memory)}});
  }
}

void placement_controller::LoadNext(
    const std::shared_ptr<engine_record>& engine,
    const catalog::engine& kind,
    base::time_point now) {
  if (!engine->next)
    return;
  const catalog::model* model = kind.Find(engine->next->model);
  const bool late = now - engine->next->planned_at > kPlannedFor;
  if (model == nullptr || late || !engine->server->TakesRequests()) {
    engine->next.reset();
    return;
  }
  if (!IsFree(*engine))
    return;
  const bool fits =
      model->weights_mb <= kind.weights_mb - UsedMemory(*engine, kind);
  const bool from_store =
      engine->next->source == decisions::weight_source::kStore;
  const bool allowed =
      !from_store || dispatcher_.StoreLoadsLeft(kind.loads_per_second) > 0;
  const bool held = engine->models.contains(model->name);
  if (fits && allowed && !held)
    dispatcher_.Load(engine, *model, engine->next->source);
  engine->next.reset();
}

void placement_controller::Plan(const catalog::service& service) {
  const catalog::engine& kind = service.engines;
  const model_index index = IndexOf(kind);
  const auto now = std::chrono::steady_clock::now();
  std::vector<decisions::plan_engine> engines;
  std::vector<std::shared_ptr<engine_record>> records;
  std::int64_t store_loads_planned = 0;
  for (const auto& [instance, engine] : dispatcher_.engines()) {
    if (engine->server->entry.service != service.name)
      continue;
    LoadNext(engine, kind, now);
    engines.push_back(ViewOf(*engine, index, now));
    records.push_back(engine);
    const bool waits_for_room = engine->next.has_value();
    if (waits_for_room && engines.back().loads_from_store)
      ++store_loads_planned;
  }
  LeaveOutBound(records, now, engines);
  decisions::plan_limits limits;
  limits.slots = kind.slots;
  limits.store_loads =
      dispatcher_.StoreLoadsLeft(kind.loads_per_second) - store_loads_planned;
  auto models = forecast_.Models(service);
  const auto least = ReplicasForAdapters(records, index);
  for (std::size_t i = 0; i < models.size(); ++i)
    models[i].min_replicas = least[i];
  limits.no_demand = forecast_.quiet();
  LogDemand(service, models, engines);
  const auto steps = decisions::PlanModels(models, engines, limits);
  for (const decisions::plan_step& step : steps) {
    const catalog::model& model = kind.models[step.model];
    if (step.load)
      dispatcher_.Load(records[step.engine], model, step.source);
    else
      dispatcher_.Unload(records[step.engine], model.name,
                         {kind.models[step.successor].name, step.source, now});
  }
  PlanAdaptersAhead(models, records, index);
}

void placement_controller::PlanAdaptersAhead(
    const std::vector<decisions::plan_model>& models,
    const std::vector<std::shared_ptr<engine_record>>& records,
    const model_index& index) {
  const catalog::engine& kind = index.kind;
  std::vector<decisions::adapter_model> wanted;
  for (std::size_t i = 0; i < kind.models.size(); ++i)
    wanted.push_back({kind.models[i].adapters, models[i].arrival_rate});
  std::vector<decisions::adapter_engine> engines;
  std::vector<std::shared_ptr<engine_record>> serving;
  for (const auto& engine : records) {
    const known_server& server = *engine->server;
    if (!server.TakesRequests() || server.IsLimited())
      continue;
    engines.push_back(AdapterViewOf(*engine, index));
    serving.push_back(engine);
  }
  std::map<std::pair<std::size_t, std::size_t>, std::vector<std::string>> lists;
  for (const decisions::adapter_step& step :
       decisions::PlanAdapters(wanted, engines, kAdaptersAtOnce)) {
    lists[{step.engine, step.unit.model}].push_back(
        AdapterName(step.unit.adapter));
  }
  for (auto& [place, adapters] : lists) {
    dispatcher_.LoadAdapters(serving[place.first],
                             kind.models[place.second].name,
                             std::move(adapters), kind.adapter_slots);
  }
}

asio::awaitable<void> placement_controller::Loop() {
  asio::steady_timer timer(core_.context);
  while (true) {
    timer.expires_after(kPlanInterval);
    co_await timer.async_wait(kAwait);
    const std::int64_t term = lease_.CertainTerm();
    if (term != term_) {
      term_ = term;
      term_since_ = std::chrono::steady_clock::now();
      settled_ = false;
      counted_.clear();
      forecast_.ForgetFirstReplicas();
      dispatcher_.Begin(lease_.is_first_holder());
      told_engines_.clear();
    }
    if (term == 0 || core_.configuration == nullptr)
      continue;
    dispatcher_.Refresh();
    CountFirstReplicas();
    if (OrderTerm() != 0 && IsSettled()) {
      const auto configuration = core_.configuration;
      for (const catalog::service& each : configuration->services) {
        if (each.HasModels())
          Plan(each);
      }
    }
    const auto now = std::chrono::steady_clock::now();
    const bool again = now - told_ >= kNewsInterval;
    if (again)
      told_ = now;
    if (dispatcher_.TakeChanged() || again)
      PublishNews(again);
  }
}

wire::placement_news placement_controller::NewsOf(
    std::span<const wire::placed_engine> engines) const {
  wire::placement_news news;
  news.term = term_;
  news.engines.assign(engines.begin(), engines.end());
  news.__set_holder(base::ToString(core_.settings.peer_listen));
  return news;
}

void placement_controller::PublishNews(bool again) {
  std::vector<wire::placed_engine> changed;
  std::vector<wire::placed_engine> all;
  const auto now = std::chrono::steady_clock::now();
  for (const auto& [instance, engine] : dispatcher_.engines()) {
    if (!engine->accepted)
      continue;
    wire::placed_engine placed = PlacedOf(*engine, now);
    const auto told =
        told_engines_.try_emplace(placed.server, EntryOf(engine->server->entry))
            .first;
    if (IsNews(placed, told->second)) {
      told->second = placed;
      changed.push_back(placed);
    }
    all.push_back(std::move(placed));
  }
  TakeNews(NewsOf(all), core_.settings.peer_listen);
  if (!changed.empty() || again)
    PublishChanges(changed);
  if (again)
    Republish(all);
}

// Without anything that has changed it tells who holds the lease.
void placement_controller::PublishChanges(
    const std::vector<wire::placed_engine>& engines) {
  const std::string key(kPlacedRecord);
  std::size_t begin = 0;
  do {
    const std::size_t count = std::min(kEnginesInNews, engines.size() - begin);
    wire::placement_news news =
        NewsOf(std::span(engines).subspan(begin, count));
    begin += count;
    peers_.Broadcast(key, [&news](bool hand_on) {
      news.hand_on = hand_on;
      news.__isset.hand_on = hand_on;
      return wire::Encode(news);
    });
  } while (begin < engines.size());
}

void placement_controller::Republish(
    const std::vector<wire::placed_engine>& engines) {
  std::vector<wire::placed_engine> some;
  const std::size_t count = std::min(kEnginesInNews, engines.size());
  for (std::size_t i = 0; i < count; ++i)
    some.push_back(engines[next_told_++ % engines.size()]);
  peers_.Send(std::string(kPlacedRecord), wire::Encode(NewsOf(some)),
              {kMostTold, {}, std::nullopt});
}

void placement_controller::HandOn(wire::placement_news news) {
  news.__isset.hand_on = false;
  peers_.BroadcastInZone(std::string(kPlacedRecord), wire::Encode(news));
}

void placement_controller::TakeNews(const wire::placement_news& news,
                                    const base::endpoint& teller) {
  if (news.term < news_term_)
    return;
  news_term_ = news.term;
  const auto holder =
      news.__isset.holder ? base::ParseEndpoint(news.holder) : std::nullopt;
  holder_ = holder.value_or(teller);
  if (news.__isset.hand_on && news.hand_on)
    HandOn(news);
  const auto now = std::chrono::steady_clock::now();
  for (const wire::placed_engine& each : news.engines) {
    const auto server = core_.servers.FindKey(each.server);
    if (server == nullptr)
      continue;
    server->coming.clear();
    for (const wire::coming_model& load : each.coming)
      server->coming[load.model] = now + std::chrono::milliseconds(load.due_ms);
    for (auto& [unit, fact] : server->facts) {
      const bool contradicted =
          fact.holds && !Holds(each, unit) && now - fact.learned >= kNewsAge;
      if (contradicted)
        fact = {false, now};
    }
    for (const unit_key unit : each.held)
      server->facts[unit] = {true, now};
    for (const unit_key unit : each.withdrawn)
      server->facts[unit] = {false, now};
  }
}

asio::awaitable<wire::adapter_reply> placement_controller::AnswerAdapter(
    wire::adapter_request wanted) {
  wire::adapter_reply reply;
  if (OrderTerm() == 0 || core_.configuration == nullptr) {
    reply.code = static_cast<std::int32_t>(result_code::kLeaseLost);
    co_return reply;
  }
  const auto holder = co_await dispatcher_.EnsureAdapter(
      wanted.service_name, wanted.model, wanted.adapter);
  if (holder)
    reply.instance = *holder;
  else
    reply.code = static_cast<std::int32_t>(holder.error().code);
  co_return reply;
}

asio::awaitable<base::result<std::string>> placement_controller::WantAdapter(
    std::string service,
    std::string model,
    std::string adapter,
    std::chrono::milliseconds timeout) {
  if (OrderTerm() != 0) {
    auto here = co_await dispatcher_.EnsureAdapter(service, model, adapter);
    co_return here;
  }
  if (news_term_ == 0) {
    co_return base::NotRun(result_code::kPeerUnreachable,
                           "nobody is known to hold the lease");
  }
  wire::adapter_request wanted;
  wanted.service_name = std::move(service);
  wanted.model = std::move(model);
  wanted.adapter = std::move(adapter);
  wire::envelope call;
  call.__set_adapter_wanted(wanted);
  const auto reply = co_await peers_.Call(holder_, std::move(call), timeout);
  if (!reply)
    co_return tl::make_unexpected(reply.error());
  const bool placed = reply->__isset.adapter && reply->adapter.code == 0;
  if (!placed) {
    co_return base::NotRun(result_code::kNoBackendServer,
                           "the holder of the lease found no place for it");
  }
  co_return reply->adapter.instance;
}

}  // namespace valeledge::host
