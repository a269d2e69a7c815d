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
#include "host/process/lease_succession.h"
#include "wire/codec.h"

namespace valeledge::host {

namespace {

namespace asio = boost::asio;
using base::result_code;
using phase = engine_model::phase;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// Interval between plans of the lease holder: well under the second within
// which a rise of demand shows.
constexpr std::chrono::milliseconds kPlanInterval{100};

// Demand is logged at this interval, for models with at least this many
// requests per second.
constexpr std::chrono::milliseconds kDemandLogInterval{2000};
constexpr double kMinLoggedRate = 1.0;
constexpr std::string_view kCategory = "placement";

// Orders sent by an earlier process of this host arrive within this time after
// its exit.
constexpr std::chrono::milliseconds kOwnOrdersDelivery{500};

// Interval at which engine states are republished for hosts that missed an
// update: as many engines as fit into a datagram, all in turn. Servers' own
// entries show the same a little later.
constexpr std::chrono::milliseconds kRepublishInterval{1000};

// A residency override that is younger than this is not cleared by an update,
// which may have been written before it.
constexpr std::chrono::milliseconds kMaxUpdateDelay{300};

// Maximum number of adapters preloaded on one engine per plan: an order and its
// response take some milliseconds, and all orders should be sent before the
// next plan.
constexpr std::int64_t kMaxAdaptersPerPlan = 4;

// A load in progress, as published to other hosts.
wire::coming_model PendingLoadOf(const std::string& name,
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

// The state of an engine, as published to other hosts.
wire::placed_engine PlacementOf(const engine_record& engine,
                                base::time_point now) {
  wire::placed_engine placed;
  placed.server = engine.server->key;
  for (const auto& [name, model] : engine.models) {
    if (model.state == phase::kHeld) {
      placed.held.push_back(KeyOf(name));
      for (const auto& [adapter, used] : model.adapters)
        placed.held.push_back(KeyOf(AdapterUnit(name, adapter)));
      continue;
    }
    placed.withdrawn.push_back(KeyOf(name));
    if (model.state == phase::kLoading)
      placed.coming.push_back(PendingLoadOf(name, model, now));
  }
  std::ranges::sort(placed.held);
  return placed;
}

// The state of an engine that all hosts know from its entry.
wire::placed_engine PlacementInEntry(const catalog::backend_server& entry) {
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

// Whether the state of an engine differs from the published one. The remaining
// time of a load is not compared.
bool IsChanged(const wire::placed_engine& placed,
               const wire::placed_engine& published) {
  return placed.server != published.server || placed.held != published.held ||
         placed.withdrawn != published.withdrawn;
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
      dispatcher_(core, [this] { return OrderTerm(); }),
      patient_(core, dispatcher_, forecast_) {
  dispatcher_.SetOnFenced([this](std::int64_t term) {
    if (MayHolderBeSucceeded(core_))
      lease_.NoteLost(term);
  });
}

void placement_controller::Start() {
  asio::co_spawn(core_.context, Loop(), asio::detached);
}

std::int64_t placement_controller::OrderTerm() const {
  const std::int64_t term = lease_.CertainTerm();
  const auto now = std::chrono::steady_clock::now();
  // No orders of the previous lease holder are in flight after this time.
  const bool waited = now - lease_.taken_at() >=
                      (lease_.follows_itself() ? kOwnOrdersDelivery
                                               : core_.settings.handover_pause);
  const bool may_send = term != 0 && (!may_send_orders_ || may_send_orders_());
  return may_send && (waited || lease_.is_first_holder()) ? term : 0;
}

// Engines register one after the other. A plan for only some of them would load
// models that the others already hold.
bool placement_controller::AreEnginesDiscovered() {
  if (engines_discovered_)
    return true;
  const auto now = std::chrono::steady_clock::now();
  const bool known = std::ranges::all_of(
      dispatcher_.engines(),
      [](const auto& each) { return each.second->accepted.has_value(); });
  if (dispatcher_.engines().size() != engine_count_ || !known) {
    engine_count_ = dispatcher_.engines().size();
    engine_count_since_ = now;
  }
  const auto since = [now](base::time_point then) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - then);
  };
  const decisions::discovery_state view{
      since(core_.started), since(term_since_), since(engine_count_since_),
      core_.settings.server_heartbeat};
  if (engine_count_ == 0 || !decisions::IsDiscoveryComplete(view))
    return false;
  engines_discovered_ = true;
  return true;
}

void placement_controller::LogDemand(
    const catalog::service& service,
    const std::vector<decisions::plan_model>& models,
    const std::vector<decisions::plan_engine>& engines) {
  const auto now = std::chrono::steady_clock::now();
  if (now - demand_logged_at_ < kDemandLogInterval)
    return;
  demand_logged_at_ = now;
  for (std::size_t i = 0; i < models.size(); ++i) {
    if (models[i].arrival_rate < kMinLoggedRate)
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
    dispatcher_.StartPlannedLoad(engine, kind, patient_.HasOrdered(*engine),
                                 now);
    engines.push_back(ViewOf(*engine, index, now));
    records.push_back(engine);
    const bool waits_for_room = engine->planned.has_value();
    if (waits_for_room && engines.back().loads_from_store)
      ++store_loads_planned;
  }
  ExcludeLimitedEngines(records, now, engines);
  decisions::plan_limits limits;
  limits.slots = kind.slots;
  limits.store_loads =
      dispatcher_.StoreLoadsLeft(kind.loads_per_second) - store_loads_planned;
  auto models = forecast_.Models(service);
  const auto min_replicas = ReplicasForAdapters(records, index);
  for (std::size_t i = 0; i < models.size(); ++i)
    models[i].min_replicas = min_replicas[i];
  limits.no_demand = forecast_.HasNoDemandYet();
  LogDemand(service, models, engines);
  const service_plan plan{service, index, models, records, now};
  patient_.AdjustViews(plan, engines);
  const auto steps = decisions::PlanModels(models, engines, limits);
  for (const decisions::plan_step& step : steps) {
    const catalog::model& model = kind.models[step.model];
    if (step.load)
      dispatcher_.Load(records[step.engine], model, step.source);
    else
      dispatcher_.Unload(records[step.engine], model.name,
                         {kind.models[step.successor].name, step.source, now});
  }
  patient_.Plan(plan, steps, std::move(engines));
  PreloadAdapters(models, records, index);
}

void placement_controller::PreloadAdapters(
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
    if (!server.TakesRequests() || server.IsLimited() || server.IsBackingOff())
      continue;
    engines.push_back(AdapterViewOf(*engine, index));
    serving.push_back(engine);
  }
  std::map<std::pair<std::size_t, std::size_t>, std::vector<std::string>>
      adapters_to_load;
  for (const decisions::adapter_step& step :
       decisions::PlanAdapters(wanted, engines, kMaxAdaptersPerPlan)) {
    adapters_to_load[{step.engine, step.unit.model}].push_back(
        AdapterName(step.unit.adapter));
  }
  for (auto& [target, adapters] : adapters_to_load) {
    dispatcher_.LoadAdapters(serving[target.first],
                             kind.models[target.second].name,
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
      engines_discovered_ = false;
      dispatcher_.BeginTerm(lease_.is_first_holder());
      published_engines_.clear();
      patient_.BeginTerm();
    }
    if (term == 0 || core_.configuration == nullptr)
      continue;
    dispatcher_.Refresh();
    if (OrderTerm() != 0 && AreEnginesDiscovered()) {
      const auto configuration = core_.configuration;
      for (const catalog::service& each : configuration->services) {
        if (each.HasModels())
          Plan(each);
      }
    }
    const auto now = std::chrono::steady_clock::now();
    const bool republish = now - republished_at_ >= kRepublishInterval;
    if (republish)
      republished_at_ = now;
    if (dispatcher_.TakeChanged() || republish || patient_.HasUpdates(now))
      PublishUpdates(republish);
  }
}

wire::placement_news placement_controller::MakeUpdate(
    std::span<const wire::placed_engine> engines) const {
  wire::placement_news update;
  update.term = term_;
  update.engines.assign(engines.begin(), engines.end());
  update.__set_holder(base::ToString(core_.settings.peer_listen));
  return update;
}

void placement_controller::PublishUpdates(bool republish) {
  std::vector<wire::placed_engine> changed;
  std::vector<wire::placed_engine> all;
  const auto now = std::chrono::steady_clock::now();
  patient_.NotePublished(now);
  for (const auto& [instance, engine] : dispatcher_.engines()) {
    if (!engine->accepted)
      continue;
    wire::placed_engine placed = PlacementOf(*engine, now);
    patient_.AddPlanned(*engine, now, placed);
    const auto published =
        published_engines_
            .try_emplace(placed.server, PlacementInEntry(engine->server->entry))
            .first;
    const bool plan_changed = patient_.TakeChanged(instance);
    if (IsChanged(placed, published->second) || plan_changed) {
      published->second = placed;
      changed.push_back(placed);
    }
    all.push_back(std::move(placed));
  }
  ApplyUpdate(MakeUpdate(all), core_.settings.peer_listen);
  if (!changed.empty() || republish)
    PublishChanges(changed);
  if (republish)
    Republish(all);
}

// Without changed engines, it sends one update that announces the lease holder.
void placement_controller::PublishChanges(
    const std::vector<wire::placed_engine>& engines) {
  const std::string key(kPlacementRecord);
  std::size_t begin = 0;
  do {
    const std::size_t count =
        std::min(kMaxEnginesPerUpdate, engines.size() - begin);
    wire::placement_news update =
        MakeUpdate(std::span(engines).subspan(begin, count));
    begin += count;
    peers_.Broadcast(key, [&update](bool hand_on) {
      update.hand_on = hand_on;
      update.__isset.hand_on = hand_on;
      return wire::Encode(update);
    });
  } while (begin < engines.size());
}

void placement_controller::Republish(
    const std::vector<wire::placed_engine>& engines) {
  std::vector<wire::placed_engine> some;
  const std::size_t count = std::min(kMaxEnginesPerUpdate, engines.size());
  for (std::size_t i = 0; i < count; ++i)
    some.push_back(engines[next_republished_++ % engines.size()]);
  peers_.Send(std::string(kPlacementRecord), wire::Encode(MakeUpdate(some)),
              {kMaxReportRecipients, {}, std::nullopt});
}

void placement_controller::Forward(wire::placement_news update) {
  update.__isset.hand_on = false;
  peers_.BroadcastInZone(std::string(kPlacementRecord), wire::Encode(update));
}

void placement_controller::RecordHolder(std::int64_t term) {
  const auto now = std::chrono::steady_clock::now();
  core_.holder.heard_at = now;
  // The first update of this process need not be the first one of its term.
  const bool is_new = update_term_ != 0 && term != update_term_;
  if (!is_new)
    return;
  core_.holder.orders_from = now + core_.settings.handover_pause;
  // The former holder's plans are not carried out any more.
  for (const auto& [instance, server] : core_.servers.servers())
    server->planned_loads_due.clear();
}

void placement_controller::ApplyUpdate(const wire::placement_news& update,
                                       const base::endpoint& sender) {
  if (update.term < update_term_)
    return;
  RecordHolder(update.term);
  update_term_ = update.term;
  // Another host has taken the lease over.
  if (MayHolderBeSucceeded(core_) && update.term > lease_.term())
    lease_.NoteLost(lease_.term());
  const auto holder =
      update.__isset.holder ? base::ParseEndpoint(update.holder) : std::nullopt;
  holder_ = holder.value_or(sender);
  if (update.__isset.hand_on && update.hand_on)
    Forward(update);
  const auto now = std::chrono::steady_clock::now();
  for (const wire::placed_engine& each : update.engines) {
    const auto server = core_.servers.FindKey(each.server);
    if (server == nullptr)
      continue;
    ApplyComingLoads(each, now, core_, *server);
    for (auto& [unit, current] : server->residency_overrides) {
      const bool contradicted = current.holds && !Holds(each, unit) &&
                                now - current.updated_at >= kMaxUpdateDelay;
      if (contradicted)
        current = {false, now};
    }
    for (const unit_key unit : each.held)
      server->residency_overrides[unit] = {true, now};
    for (const unit_key unit : each.withdrawn)
      server->residency_overrides[unit] = {false, now};
  }
}

asio::awaitable<wire::adapter_reply> placement_controller::HandleAdapterRequest(
    wire::adapter_request wanted) {
  wire::adapter_reply reply;
  if (OrderTerm() == 0 || core_.configuration == nullptr) {
    reply.code = static_cast<std::int32_t>(result_code::kLeaseLost);
    co_return reply;
  }
  std::optional<std::string> software;
  if (wanted.__isset.software)
    software = wanted.software;
  const auto holder = co_await dispatcher_.EnsureAdapter(
      wanted.service_name, wanted.model, wanted.adapter, software);
  if (holder)
    reply.instance = *holder;
  else
    reply.code = static_cast<std::int32_t>(holder.error().code);
  co_return reply;
}

asio::awaitable<base::result<std::string>> placement_controller::RequestAdapter(
    std::string service,
    std::string model,
    std::string adapter,
    std::optional<std::string> software,
    std::chrono::milliseconds timeout) {
  if (OrderTerm() != 0) {
    auto here =
        co_await dispatcher_.EnsureAdapter(service, model, adapter, software);
    co_return here;
  }
  if (update_term_ == 0) {
    co_return base::NotRun(result_code::kPeerUnreachable,
                           "no lease holder is known");
  }
  wire::adapter_request wanted;
  wanted.service_name = std::move(service);
  wanted.model = std::move(model);
  wanted.adapter = std::move(adapter);
  if (software)
    wanted.__set_software(*software);
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
