// SPDX-License-Identifier: MIT
#include "decisions/patient_loads.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

#include "decisions/engine_choice.h"
#include "decisions/patient_context.h"
#include "decisions/patient_place.h"
#include "decisions/replica_wait.h"

namespace valeledge::decisions {

namespace {

using detail::load_starts;
using detail::patient_context;
using detail::patient_engine;
using detail::patient_place;
using detail::patient_replica;
using detail::patient_schedule;
using detail::SourceAt;
using std::chrono::milliseconds;

// Adds the order of a place to the plan if it can be sent now.
void AddStep(const patient_context& context,
             const patient_place& chosen,
             std::size_t model,
             patient_schedule& state) {
  if (!context.input.engines[chosen.engine].accepts_orders ||
      chosen.begin_at > milliseconds(0))
    return;
  const bool evicts = !chosen.evictions.models.empty();
  // Without an eviction, the load has to wait for the weight store. With one,
  // the room is made while it waits, but no earlier than needed.
  const milliseconds work = kEvictionTime * chosen.evictions.models.size();
  if (chosen.load_at > work)
    return;
  const std::size_t unit = evicts ? chosen.evictions.models.front() : model;
  state.plan.steps.push_back(
      {chosen.engine, !evicts, unit, chosen.source, model});
}

void Apply(const patient_context& context,
           const patient_place& chosen,
           const waiting_model& wanted,
           patient_schedule& state) {
  AddStep(context, chosen, wanted.model, state);
  state.plan.loads.push_back({wanted.model, chosen.engine, chosen.source,
                              chosen.ready_at, chosen.in_time});
  state.requests_in_time += chosen.in_time ? wanted.requests : 0;
  state.store_loads += chosen.source == weight_source::kStore ? 1 : 0;
  state.starts.pop();
  state.starts.push(chosen.ready_at);
  patient_engine& engine = state.engines[chosen.engine];
  for (const std::size_t model : chosen.evictions.models) {
    const auto found =
        std::ranges::find(engine.replicas, model, &patient_replica::model);
    if (!found->had_turn) {
      --state.ready[model];
      const plan_engine& evicted_from = context.input.engines[chosen.engine];
      if (SourceAt(evicted_from, model) == weight_source::kStore)
        --state.weight_copies[model];
    }
    engine.free_mb += context.input.models[model].weights_mb;
    engine.replicas.erase(found);
  }
  engine.free_mb -= context.input.models[wanted.model].weights_mb;
  engine.idle_at = chosen.ready_at;
  engine.replicas.push_back({wanted.model, chosen.ready_at + kMinTurn, true});
}

// The loads that may run at the same time, those in progress included.
load_starts LoadStarts(const patient_context& context) {
  const auto share =
      kMaxLoadingShare * static_cast<double>(context.order.size());
  const auto most = std::max(static_cast<std::size_t>(share), std::size_t{1});
  std::vector<milliseconds> busy;
  for (const std::size_t position : context.order) {
    if (!context.engines[position].loading.empty())
      busy.push_back(context.engines[position].idle_at);
  }
  // If more are in progress than may be, the next one starts once so many have
  // ended that it is within the bound: the earliest of the last `most` ends.
  std::ranges::sort(busy, std::greater<>());
  load_starts starts;
  for (std::size_t i = 0; i < most; ++i)
    starts.push(i < busy.size() ? busy[i] : milliseconds(0));
  return starts;
}

patient_schedule MakeSchedule(const patient_context& context,
                              const std::vector<waiting_model>& waiting) {
  patient_schedule state;
  state.engines = context.engines;
  state.ready = context.ready;
  state.weight_copies = context.weight_copies;
  state.starts = LoadStarts(context);
  for (const waiting_model& each : waiting) {
    const auto best = detail::FindPlace(context, state, each);
    if (best)
      Apply(context, *best, each, state);
  }
  return state;
}

// Whether the first request of a model is late wherever it is loaded. Others
// that wait for it may still be on time.
bool IsLate(const patient_context& context, const waiting_model& each) {
  const plan_model& model = context.input.models[each.model];
  milliseconds load = model.load_from_store;
  if (!context.with_copy[each.model].empty())
    load = std::min({load, model.load_from_disk, model.load_from_memory});
  return kLoadOverhead + load + kFirstEventDelay > each.time_left;
}

}  // namespace

patient_plan PlanPatientLoads(const patient_plan_input& input) {
  if (input.waiting.empty())
    return {};
  patient_context context = detail::MakeContext(input);
  std::vector<waiting_model> waiting = detail::AbsentModels(context);
  if (waiting.empty() || context.order.empty())
    return {};
  detail::SortEngines(context, waiting);
  std::ranges::sort(waiting, {}, [&](const waiting_model& each) {
    return std::tuple(IsLate(context, each), each.time_left, each.model);
  });
  patient_schedule by_deadline = MakeSchedule(context, waiting);
  const bool all_in_time =
      std::ranges::all_of(by_deadline.plan.loads, &expected_load::in_time);
  if (all_in_time && by_deadline.plan.loads.size() == waiting.size())
    return std::move(by_deadline.plan);
  std::ranges::stable_sort(waiting, {}, [&](const waiting_model& each) {
    return std::pair(IsLate(context, each), -each.requests);
  });
  patient_schedule by_number = MakeSchedule(context, waiting);
  const bool more = by_number.requests_in_time > by_deadline.requests_in_time;
  return std::move(more ? by_number.plan : by_deadline.plan);
}

}  // namespace valeledge::decisions
