// SPDX-License-Identifier: MIT
#include "host/process/patient_placement.h"

#include <algorithm>
#include <cmath>

#include "base/logging.h"

namespace valeledge::host {

namespace {

using phase = engine_model::phase;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr std::string_view kCategory = "placement";

// Share of the limit on loads from the weight store that is left to the model
// plan, so that a rise of urgent demand does not find it used up.
constexpr double kReservedShare = 0.2;

// For how long waiting requests protect a replica from the model plan: those
// that it was loaded for are sent within this time, and urgent demand must not
// wait longer for the place.
constexpr milliseconds kMaxProtection{6000};

// An engine whose state is being queried accepts orders after about this time.
constexpr milliseconds kQueryTime{400};

// A planned time that has changed by less is not published again: requests
// allow for as much after the load.
constexpr milliseconds kMaxDrift{300};

// Minimum interval between updates that contain nothing but planned loads: each
// goes to all hosts.
constexpr milliseconds kMinPublishInterval{200};

constexpr milliseconds kLogInterval{2000};

// Longest time until a planned load ends that can be valid.
constexpr milliseconds kMaxDue{600'000};

milliseconds LoadTime(const catalog::model& model,
                      decisions::weight_source source) {
  switch (source) {
    case decisions::weight_source::kMemory:
      return model.load_from_memory;
    case decisions::weight_source::kDisk:
      return model.load_from_disk;
    case decisions::weight_source::kStore:
      break;
  }
  return model.load_from_store;
}

std::string NameOf(decisions::weight_source source) {
  switch (source) {
    case decisions::weight_source::kMemory:
      return "memory";
    case decisions::weight_source::kDisk:
      return "disk";
    case decisions::weight_source::kStore:
      break;
  }
  return "store";
}

bool IsLoading(const engine_record& engine, const std::string& model) {
  const auto found = engine.models.find(model);
  return found != engine.models.end() && found->second.state == phase::kLoading;
}

// When the load that waits for an eviction should end.
std::optional<base::time_point> PlannedEnd(const engine_record& engine,
                                           const catalog::engine& kind,
                                           base::time_point now) {
  if (!engine.planned)
    return std::nullopt;
  const catalog::model* model = kind.Find(engine.planned->model);
  if (model == nullptr)
    return std::nullopt;
  const auto begin =
      std::max(now, engine.planned->planned_at + decisions::kEvictionTime);
  return begin + decisions::kLoadOverhead +
         LoadTime(*model, engine.planned->source);
}

// Time until an engine accepts an order.
milliseconds IdleIn(const engine_record& engine,
                    const catalog::engine& kind,
                    base::time_point now) {
  if (IsIdle(engine) && !engine.planned)
    return milliseconds(0);
  milliseconds out = kQueryTime;
  for (const auto& [name, model] : engine.models) {
    if (model.state == phase::kLoading)
      out = std::max(out, duration_cast<milliseconds>(model.due - now));
    else if (model.state != phase::kHeld)
      out = std::max(out, decisions::kEvictionTime);
  }
  if (const auto end = PlannedEnd(engine, kind, now))
    out = std::max(out, duration_cast<milliseconds>(*end - now));
  return out;
}

// Applies orders that have been sent to the views of their engines.
void ApplySteps(const std::vector<decisions::plan_step>& steps,
                const catalog::engine& kind,
                std::vector<decisions::plan_engine>& views,
                std::vector<milliseconds>& idle_in) {
  for (const decisions::plan_step& each : steps) {
    decisions::plan_engine& view = views[each.engine];
    const std::size_t coming = each.load ? each.model : each.successor;
    const catalog::model& model = kind.models[coming];
    milliseconds busy = decisions::kLoadOverhead + LoadTime(model, each.source);
    if (!each.load) {
      busy += decisions::kEvictionTime;
      view.free_mb += kind.models[each.model].weights_mb;
      std::erase(view.loaded, each.model);
    }
    // The room for the successor is subtracted with that of all planned loads.
    if (each.load)
      view.free_mb -= model.weights_mb;
    view.accepts_orders = false;
    view.loading.push_back(coming);
    idle_in[each.engine] = std::max(idle_in[each.engine], busy);
  }
}

// Models on an engine that were loaded after `since`.
std::vector<std::size_t> ModelsLoadedAfter(const engine_record& engine,
                                           const decisions::plan_engine& view,
                                           const catalog::engine& kind,
                                           base::time_point since) {
  std::vector<std::size_t> out;
  for (const std::size_t each : view.loaded) {
    const auto found = engine.models.find(kind.models[each].name);
    if (found != engine.models.end() && found->second.since > since)
      out.push_back(each);
  }
  return out;
}

bool AreClose(const std::map<unit_key, base::time_point>& one,
              const std::map<unit_key, base::time_point>& other) {
  return std::ranges::equal(one, other, [](const auto& a, const auto& b) {
    return a.first == b.first && a.second - b.second <= kMaxDrift &&
           b.second - a.second <= kMaxDrift;
  });
}

}  // namespace

bool PlansPatientLoads(const host_core& core, const catalog::service& service) {
  return IsEnabled(core.settings.features.patient_loads, service);
}

void ApplyComingLoads(const wire::placed_engine& engine,
                      base::time_point now,
                      host_core& core,
                      known_server& server) {
  server.loads_due.clear();
  server.planned_loads_due.clear();
  for (const wire::coming_model& load : engine.coming) {
    const milliseconds due(load.due_ms);
    const bool planned = load.__isset.planned && load.planned;
    if (planned && (due < milliseconds(0) || due > kMaxDue)) {
      core.metrics.Counter("valeledge_invalid_planned_loads_total").Add();
      continue;
    }
    auto& loads = planned ? server.planned_loads_due : server.loads_due;
    loads[load.model] = now + due;
  }
}

void patient_placement::BeginTerm() {
  planned_.clear();
  published_.clear();
  patient_orders_.clear();
  // Also forgets services that are no longer configured.
  counts_.clear();
  SetGauges();
}

bool patient_placement::HasOrdered(const engine_record& engine) const {
  const auto order = patient_orders_.find(engine.server->entry.instance);
  return engine.planned && order != patient_orders_.end() &&
         order->second == engine.planned->model;
}

void patient_placement::AdjustViews(
    const service_plan& plan,
    std::vector<decisions::plan_engine>& views) {
  if (!PlansPatientLoads(core_, plan.service))
    return;
  const catalog::engine& kind = plan.service.engines;
  std::vector<bool> waited_for(kind.models.size());
  for (const auto& each : forecast_.Waiting(plan.service, plan.now))
    waited_for[each.model] = true;
  for (std::size_t i = 0; i < views.size(); ++i) {
    const engine_record& engine = *plan.records[i];
    const auto order = patient_orders_.find(engine.server->entry.instance);
    if (order != patient_orders_.end()) {
      const bool planned =
          engine.planned && engine.planned->model == order->second;
      if (planned || IsLoading(engine, order->second))
        views[i].loads_from_store = false;
      else if (IsIdle(engine))
        patient_orders_.erase(order);
    }
    auto& recent = views[i].recently_loaded;
    for (const std::size_t each :
         ModelsLoadedAfter(engine, views[i], kind, plan.now - kMaxProtection)) {
      const bool known = std::ranges::find(recent, each) != recent.end();
      if (waited_for[each] && !known)
        recent.push_back(each);
    }
  }
}

decisions::patient_limits patient_placement::LimitsOf(
    const service_plan& plan) {
  const catalog::engine& kind = plan.service.engines;
  const std::chrono::duration<double> window = core_.settings.load_window;
  // The window of a low limit may hold a single load.
  const double most = std::floor(kind.loads_per_second * window.count());
  auto reserved = static_cast<std::int64_t>(std::clamp(
      std::ceil(kReservedShare * most), 0.0, std::max(most - 1, 0.0)));
  for (const auto& engine : plan.records) {
    if (engine->planned &&
        engine->planned->source == decisions::weight_source::kStore)
      ++reserved;
  }
  decisions::patient_limits limits;
  limits.slots = kind.slots;
  limits.store_loads = std::max<std::int64_t>(
      dispatcher_.StoreLoadsLeft(kind.loads_per_second) - reserved, 0);
  limits.next_store_load =
      dispatcher_.StoreLoadDelay(kind.loads_per_second, reserved);
  limits.store_loads_per_second = (1 - kReservedShare) * kind.loads_per_second;
  return limits;
}

void patient_placement::Plan(const service_plan& plan,
                             const std::vector<decisions::plan_step>& steps,
                             std::vector<decisions::plan_engine> views) {
  if (!PlansPatientLoads(core_, plan.service)) {
    Drop(plan);
    if (counts_.erase(plan.service.name) > 0)
      SetGauges();
    return;
  }
  const catalog::engine& kind = plan.service.engines;
  decisions::patient_plan_input input{plan.models, views, {}, {}, {}, {}};
  input.waiting = forecast_.Waiting(plan.service, plan.now);
  if (!input.waiting.empty()) {
    for (std::size_t i = 0; i < views.size(); ++i) {
      input.idle_in.push_back(IdleIn(*plan.records[i], kind, plan.now));
      const auto& planned = plan.records[i]->planned;
      const catalog::model* coming =
          planned ? kind.Find(planned->model) : nullptr;
      if (coming != nullptr)
        views[i].free_mb -= coming->weights_mb;
      // What an engine holds is unknown until it has reported its state.
      views[i].serving = views[i].serving && plan.records[i]->accepted;
      views[i].recently_loaded = ModelsLoadedAfter(
          *plan.records[i], views[i], kind, plan.now - decisions::kMinTurn);
    }
    ApplySteps(steps, kind, views, input.idle_in);
    for (const catalog::model& each : kind.models)
      input.patient_only.push_back(forecast_.ToleratesStoreLoad(each));
    input.limits = LimitsOf(plan);
  }
  const auto decided = decisions::PlanPatientLoads(input);
  Send(plan, decided, input.waiting);
  Record(plan, decided);
  Count(plan, decided, input.waiting);
}

void patient_placement::Send(
    const service_plan& plan,
    const decisions::patient_plan& decided,
    const std::vector<decisions::waiting_model>& waiting) {
  const catalog::engine& kind = plan.service.engines;
  for (const decisions::plan_step& each : decided.steps) {
    const std::shared_ptr<engine_record>& engine = plan.records[each.engine];
    const std::string& instance = engine->server->entry.instance;
    const std::size_t coming = each.load ? each.model : each.successor;
    const catalog::model& model = kind.models[coming];
    const auto& wanted =
        *std::ranges::find(waiting, coming, &decisions::waiting_model::model);
    const auto& load = *std::ranges::find(decided.loads, coming,
                                          &decisions::expected_load::model);
    base::Log(
        kCategory, base::log_event::kPatientLoadPlanned,
        {{"model", model.name},
         {"server", instance},
         {"source", NameOf(each.source)},
         {"evicted", each.load ? std::string() : kind.models[each.model].name},
         {"waiting", wanted.requests},
         {"left_ms", std::int64_t{wanted.time_left.count()}},
         {"ready_ms", std::int64_t{load.ready_in.count()}}});
    core_.metrics
        .Counter("valeledge_patient_loads_total",
                 each.load ? "load" : "eviction")
        .Add();
    patient_orders_[instance] = model.name;
    if (each.load)
      dispatcher_.Load(engine, model, each.source);
    else
      dispatcher_.Unload(engine, kind.models[each.model].name,
                         {model.name, each.source, plan.now});
  }
}

void patient_placement::Record(const service_plan& plan,
                               const decisions::patient_plan& decided) {
  Drop(plan);
  const catalog::engine& kind = plan.service.engines;
  const auto is_gone = [this](const auto& each) {
    return !dispatcher_.engines().contains(each.first);
  };
  std::erase_if(planned_, is_gone);
  std::erase_if(published_, is_gone);
  std::erase_if(patient_orders_, is_gone);
  for (const auto& engine : plan.records) {
    if (const auto end = PlannedEnd(*engine, kind, plan.now))
      planned_[engine->server->entry.instance][KeyOf(engine->planned->model)] =
          *end;
  }
  for (const decisions::expected_load& each : decided.loads) {
    const std::string& instance =
        plan.records[each.engine]->server->entry.instance;
    planned_[instance][KeyOf(kind.models[each.model].name)] =
        plan.now + each.ready_in;
  }
}

void patient_placement::Count(
    const service_plan& plan,
    const decisions::patient_plan& decided,
    const std::vector<decisions::waiting_model>& waiting) {
  const auto in_time =
      std::ranges::count_if(decided.loads, &decisions::expected_load::in_time);
  const auto late = std::ssize(decided.loads) - in_time;
  counts_[plan.service.name] = {std::ssize(waiting), in_time, late};
  SetGauges();
  if (late == 0 || plan.now - logged_at_ < kLogInterval)
    return;
  logged_at_ = plan.now;
  base::Log(kCategory, base::log_event::kPatientLoadsLate,
            {{"service", plan.service.name},
             {"in_time", std::int64_t{in_time}},
             {"late", std::int64_t{late}}});
}

void patient_placement::SetGauges() {
  model_counts sum;
  for (const auto& [service, each] : counts_) {
    sum.waiting += each.waiting;
    sum.in_time += each.in_time;
    sum.late += each.late;
  }
  const auto gauge = [this](std::string_view state, std::int64_t count) {
    core_.metrics.Gauge("valeledge_patient_models", state).Set(count);
  };
  gauge("waiting", sum.waiting);
  gauge("in_time", sum.in_time);
  gauge("late", sum.late);
}

void patient_placement::Drop(const service_plan& plan) {
  for (const auto& engine : plan.records)
    planned_.erase(engine->server->entry.instance);
}

bool patient_placement::HasUpdates(base::time_point now) const {
  return now - published_at_ >= kMinPublishInterval &&
         !std::ranges::equal(planned_, published_,
                             [](const auto& one, const auto& other) {
                               return one.first == other.first &&
                                      AreClose(one.second, other.second);
                             });
}

bool patient_placement::TakeChanged(const std::string& instance) {
  const auto planned = planned_.find(instance);
  const auto published = published_.find(instance);
  if (planned == planned_.end()) {
    if (published == published_.end())
      return false;
    published_.erase(published);
    return true;
  }
  if (published != published_.end() &&
      AreClose(planned->second, published->second))
    return false;
  published_[instance] = planned->second;
  return true;
}

void patient_placement::AddPlanned(const engine_record& engine,
                                   base::time_point now,
                                   wire::placed_engine& placed) const {
  const auto found = planned_.find(engine.server->entry.instance);
  if (found == planned_.end())
    return;
  for (const auto& [model, due] : found->second) {
    const auto known =
        std::ranges::find(placed.coming, model, &wire::coming_model::model);
    if (known != placed.coming.end())
      continue;
    wire::coming_model coming;
    coming.model = model;
    const auto left = std::chrono::ceil<milliseconds>(due - now);
    coming.due_ms =
        static_cast<std::int32_t>(std::max<std::int64_t>(left.count(), 0));
    coming.__set_planned(true);
    placed.coming.push_back(coming);
  }
}

}  // namespace valeledge::host
