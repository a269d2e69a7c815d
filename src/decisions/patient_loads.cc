// SPDX-License-Identifier: MIT
#include "decisions/patient_loads.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <optional>
#include <queue>
#include <tuple>
#include <utility>

#include "decisions/engine_choice.h"
#include "decisions/replica_wait.h"

namespace valeledge::decisions {

namespace {

using detail::Contains;
using detail::kEvictionCost;
using detail::kRunningCost;
using detail::LoadTime;
using detail::SourceAt;
using std::chrono::milliseconds;

// Requests per second below which a model counts as one without demand: with
// the window of the long-term rate, 8 s, a single request counts as demand for
// about 7 s.
constexpr double kMinDemandRate = 0.05;

// Time in which a model that has been loaded serves the requests that waited
// for it: their prompts are read together, and a response takes about a second.
constexpr milliseconds kRunTime{2000};

// Cost in the choice of an engine, in requests per second, beside those of
// engine_choice: for each second until the model is ready.
constexpr double kSecondCost = 0.05;

// Maximum number of engines that are evaluated for one model, apart from those
// with a weight copy, and the same including engines that cannot take it: with
// 4,000 engines and 336 waiting models a scan of all would take longer than the
// interval between two plans.
constexpr std::size_t kMaxScanned = 128;
constexpr std::size_t kMaxVisited = 8 * kMaxScanned;

// A replica on an engine, and when it may be evicted if its model allows that.
struct replica {
  std::size_t model = 0;
  milliseconds evictable_at{0};
  // Loaded by an earlier step of this schedule.
  bool had_turn = false;
};

// An engine during the schedule.
struct engine_state {
  milliseconds idle_at{0};
  std::int64_t free_mb = 0;
  std::vector<replica> replicas;
  // Models that it is loading now.
  std::vector<std::size_t> loading;
  std::int64_t running = 0;

  bool Has(std::size_t model) const {
    return Contains(loading, model) ||
           std::ranges::find(replicas, model, &replica::model) !=
               replicas.end();
  }
};

// What does not change during a schedule.
struct plan_context {
  const patient_plan_input& input;
  // Replicas of each model that must stay.
  std::vector<std::int64_t> needed;
  // Engines that have the weights of each model loaded, in memory or on disk.
  std::vector<std::int64_t> weight_copies;
  std::vector<std::int64_t> ready;
  // Loss by the eviction of one replica.
  std::vector<double> losses;
  // Engines in the order in which they are evaluated, and those with a weight
  // copy of each model.
  std::vector<std::size_t> order;
  std::vector<std::vector<std::size_t>> with_copy;
  std::vector<engine_state> engines;
};

using times = std::
    priority_queue<milliseconds, std::vector<milliseconds>, std::greater<>>;

// One attempt at an order of loads.
struct schedule {
  std::vector<engine_state> engines;
  // As in the context, less what has been evicted.
  std::vector<std::int64_t> ready;
  std::vector<std::int64_t> weight_copies;
  // When each of the loads that may run at the same time can start.
  times starts;
  std::int64_t store_loads = 0;
  patient_plan plan;
  std::int64_t requests_in_time = 0;
};

bool HasDemand(const plan_model& model) {
  const double now =
      std::max(model.arrival_rate, std::min(model.steady_rate, 1.0));
  return model.running > 0 || now >= kMinDemandRate ||
         std::max(model.future_rate, model.later_rate) >= kMinDemandRate;
}

// Returns the number of a model's replicas that its demand needs.
std::int64_t NeededReplicas(const patient_plan_input& input,
                            std::size_t model) {
  const plan_model& each = input.models[model];
  if (!HasDemand(each))
    return 0;
  // Its requests can wait for another turn, but those that run cannot.
  if (input.patient_only[model])
    return each.running > 0 ? 1 : 0;
  plan_limits limits;
  limits.slots = input.limits.slots;
  plan_model expected = each;
  // A short lull is no surplus, nor are replicas that were loaded for the next
  // shift of demand: the model plan would load them again.
  if (each.arrival_rate > 0 && each.steady_rate > each.arrival_rate)
    expected.work *= each.steady_rate / each.arrival_rate;
  expected.work = std::max(expected.work, each.future_work);
  return static_cast<std::int64_t>(
      std::ceil(RequiredReplicas(expected, limits)));
}

// Records the weight copies in the memory and on the disk of an engine.
void AddCopies(const plan_engine& engine,
               std::size_t position,
               plan_context& context) {
  for (const auto* list : {&engine.in_memory, &engine.on_disk}) {
    for (const std::size_t model : *list) {
      auto& known = context.with_copy[model];
      if (!known.empty() && known.back() == position)
        continue;
      known.push_back(position);
      ++context.weight_copies[model];
    }
  }
}

plan_context MakeContext(const patient_plan_input& input) {
  const std::size_t count = input.models.size();
  plan_context context{input, {}, {}, {}, {}, {}, {}, {}};
  context.weight_copies.resize(count);
  context.ready.resize(count);
  context.with_copy.resize(count);
  for (std::size_t i = 0; i < input.engines.size(); ++i) {
    const plan_engine& engine = input.engines[i];
    engine_state state;
    state.idle_at = engine.accepts_orders
                        ? milliseconds(0)
                        : std::max(input.idle_in[i], milliseconds(1));
    state.free_mb = engine.free_mb;
    state.loading = engine.loading;
    state.running = engine.running;
    for (const std::size_t model : engine.loaded) {
      const bool recent = Contains(engine.recently_loaded, model);
      state.replicas.push_back({model, recent ? kMinTurn : milliseconds(0)});
    }
    context.engines.push_back(std::move(state));
    if (!engine.serving)
      continue;
    context.order.push_back(i);
    for (const std::size_t model : engine.loaded) {
      ++context.ready[model];
      if (SourceAt(engine, model) == weight_source::kStore)
        ++context.weight_copies[model];
    }
    AddCopies(engine, i, context);
  }
  plan_limits limits;
  limits.slots = input.limits.slots;
  for (std::size_t model = 0; model < count; ++model) {
    context.needed.push_back(NeededReplicas(input, model));
    const std::int64_t ready = std::max<std::int64_t>(context.ready[model], 1);
    const plan_model& each = input.models[model];
    context.losses.push_back(ReplicaValue(each, limits, ready, true) -
                             ReplicaValue(each, limits, ready - 1, true));
  }
  for (const waiting_model& each : input.waiting) {
    std::int64_t& needed = context.needed[each.model];
    needed = std::max<std::int64_t>(needed, 1);
  }
  return context;
}

// Returns when a replica may be evicted; nothing if it must stay.
std::optional<milliseconds> EvictableAt(const plan_context& context,
                                        const schedule& state,
                                        std::size_t position,
                                        const replica& each) {
  if (each.had_turn)
    return each.evictable_at;
  const std::int64_t left = state.ready[each.model] - 1;
  if (left < context.needed[each.model]) {
    // It will have served its requests by then; the order itself is not sent
    // before it has.
    const bool turn_ends = context.input.patient_only[each.model];
    return turn_ends ? std::optional(each.evictable_at + kRunTime)
                     : std::nullopt;
  }
  // Urgent requests would be rejected for the time of a load from the weight
  // store if no engine had the weights; patient ones can wait for it.
  const plan_engine& engine = context.input.engines[position];
  const bool copy_remains =
      left > 0 || state.weight_copies[each.model] > 1 ||
      context.input.patient_only[each.model] ||
      SourceAt(engine, each.model) != weight_source::kStore;
  return copy_remains ? std::optional(each.evictable_at) : std::nullopt;
}

// Replicas to evict so that a model fits.
struct eviction {
  std::vector<std::size_t> models;
  double loss = 0;
  // When all of them may be evicted.
  milliseconds at{0};
};

// Returns nothing if the model cannot fit.
std::optional<eviction> FindEviction(const plan_context& context,
                                     const schedule& state,
                                     std::size_t position,
                                     std::int64_t missing) {
  eviction out;
  if (missing <= 0)
    return out;
  struct candidate {
    double loss = 0;
    milliseconds at{0};
    std::size_t model = 0;
    std::int64_t weights_mb = 0;
  };
  std::vector<candidate> candidates;
  for (const replica& each : state.engines[position].replicas) {
    const auto at = EvictableAt(context, state, position, each);
    if (!at)
      continue;
    const double seconds = std::chrono::duration<double>(*at).count();
    candidates.push_back({context.losses[each.model] + kSecondCost * seconds,
                          *at, each.model,
                          context.input.models[each.model].weights_mb});
  }
  std::ranges::sort(candidates, {}, [](const candidate& each) {
    return std::tuple(each.loss, each.model);
  });
  // One replica that is large enough is preferred to several, because each
  // eviction takes an order of its own.
  const auto single = std::ranges::find_if(
      candidates,
      [missing](const candidate& each) { return each.weights_mb >= missing; });
  if (single != candidates.end())
    return eviction{{single->model}, single->loss, single->at};
  for (const candidate& each : candidates) {
    if (missing <= 0)
      break;
    out.models.push_back(each.model);
    out.loss += each.loss;
    out.at = std::max(out.at, each.at);
    missing -= each.weights_mb;
  }
  return missing > 0 ? std::nullopt : std::optional(std::move(out));
}

// When the next load from the weight store may start.
milliseconds StoreLoadAt(const plan_context& context, const schedule& state) {
  const patient_limits& limits = context.input.limits;
  const std::int64_t beyond = state.store_loads - limits.store_loads;
  if (beyond < 0)
    return milliseconds(0);
  const double rate = limits.store_loads_per_second;
  return limits.next_store_load +
         milliseconds(static_cast<std::int64_t>(
             1000 * static_cast<double>(beyond) / rate));
}

// A place for a model.
struct place {
  std::size_t engine = 0;
  eviction evictions;
  weight_source source = weight_source::kStore;
  // When the first order for it is sent, when the load starts, and when the
  // model accepts requests.
  milliseconds begin_at{0};
  milliseconds load_at{0};
  milliseconds ready_at{0};
  bool in_time = false;
  double cost = 0;
};

bool IsBetter(const place& one, const place& other) {
  if (one.in_time != other.in_time)
    return one.in_time;
  return one.in_time ? one.cost < other.cost : one.ready_at < other.ready_at;
}

// Evaluates one engine. Returns false if it cannot take the model.
bool ScanEngine(const plan_context& context,
                const schedule& state,
                const waiting_model& wanted,
                std::size_t position,
                std::optional<place>& best) {
  const engine_state& engine = state.engines[position];
  if (engine.Has(wanted.model))
    return false;
  const plan_model& model = context.input.models[wanted.model];
  const std::int64_t missing = model.weights_mb - engine.free_mb;
  place each;
  each.engine = position;
  each.source = SourceAt(context.input.engines[position], wanted.model);
  const bool has_store = context.input.limits.store_loads_per_second > 0;
  if (each.source == weight_source::kStore && !has_store)
    return false;
  auto evictions = FindEviction(context, state, position, missing);
  if (!evictions)
    return false;
  each.begin_at = std::max({engine.idle_at, state.starts.top(), evictions->at});
  each.load_at = each.begin_at + kEvictionTime * evictions->models.size();
  if (each.source == weight_source::kStore)
    each.load_at = std::max(each.load_at, StoreLoadAt(context, state));
  each.ready_at = each.load_at + kLoadOverhead + LoadTime(model, each.source);
  each.in_time = each.ready_at + kFirstEventDelay <= wanted.time_left;
  const double seconds = std::chrono::duration<double>(each.ready_at).count();
  each.cost = evictions->loss +
              kEvictionCost * static_cast<double>(evictions->models.size()) +
              kRunningCost * static_cast<double>(engine.running) +
              kSecondCost * seconds;
  each.evictions = std::move(*evictions);
  if (!best || IsBetter(each, *best))
    best = std::move(each);
  return true;
}

void ScanEngines(const plan_context& context,
                 const schedule& state,
                 const waiting_model& wanted,
                 const std::vector<std::size_t>& engines,
                 std::optional<place>& best) {
  std::size_t scanned = 0;
  const std::size_t visited = std::min(engines.size(), kMaxVisited);
  for (std::size_t i = 0; i < visited && scanned < kMaxScanned; ++i)
    scanned += ScanEngine(context, state, wanted, engines[i], best) ? 1 : 0;
}

// Adds the order of a place to the plan if it can be sent now.
void AddStep(const plan_context& context,
             const place& chosen,
             std::size_t model,
             schedule& state) {
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

void Apply(const plan_context& context,
           const place& chosen,
           const waiting_model& wanted,
           schedule& state) {
  AddStep(context, chosen, wanted.model, state);
  state.plan.loads.push_back({wanted.model, chosen.engine, chosen.source,
                              chosen.ready_at, chosen.in_time});
  state.requests_in_time += chosen.in_time ? wanted.requests : 0;
  state.store_loads += chosen.source == weight_source::kStore ? 1 : 0;
  state.starts.pop();
  state.starts.push(chosen.ready_at);
  engine_state& engine = state.engines[chosen.engine];
  for (const std::size_t model : chosen.evictions.models) {
    const auto found =
        std::ranges::find(engine.replicas, model, &replica::model);
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
times LoadStarts(const plan_context& context) {
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
  times starts;
  for (std::size_t i = 0; i < most; ++i)
    starts.push(i < busy.size() ? busy[i] : milliseconds(0));
  return starts;
}

schedule MakeSchedule(const plan_context& context,
                      const std::vector<waiting_model>& waiting) {
  schedule state;
  state.engines = context.engines;
  state.ready = context.ready;
  state.weight_copies = context.weight_copies;
  state.starts = LoadStarts(context);
  for (const waiting_model& each : waiting) {
    std::optional<place> best;
    ScanEngines(context, state, each, context.with_copy[each.model], best);
    ScanEngines(context, state, each, context.order, best);
    if (best)
      Apply(context, *best, each, state);
  }
  return state;
}

// Returns the waiting models that no engine has loaded or is loading.
std::vector<waiting_model> AbsentModels(const plan_context& context) {
  std::vector<bool> present(context.input.models.size());
  for (const std::size_t position : context.order) {
    const plan_engine& engine = context.input.engines[position];
    for (const auto* list : {&engine.loaded, &engine.loading}) {
      for (const std::size_t model : *list)
        present[model] = true;
    }
  }
  std::vector<waiting_model> out;
  for (const waiting_model& each : context.input.waiting) {
    if (each.requests > 0 && !present[each.model])
      out.push_back(each);
  }
  return out;
}

// Whether the first request of a model is late wherever it is loaded. Others
// that wait for it may still be on time.
bool IsLate(const plan_context& context, const waiting_model& each) {
  const plan_model& model = context.input.models[each.model];
  milliseconds load = model.load_from_store;
  if (!context.with_copy[each.model].empty())
    load = std::min({load, model.load_from_disk, model.load_from_memory});
  return kLoadOverhead + load + kFirstEventDelay > each.time_left;
}

// Engines that accept orders now come first, those with room before those
// whose replicas have to be evicted.
void SortEngines(plan_context& context,
                 const std::vector<waiting_model>& waiting) {
  std::int64_t smallest = std::numeric_limits<std::int64_t>::max();
  for (const waiting_model& each : waiting)
    smallest = std::min(smallest, context.input.models[each.model].weights_mb);
  std::vector<double> cheapest(context.engines.size());
  for (const std::size_t position : context.order) {
    const engine_state& engine = context.engines[position];
    double least = std::numeric_limits<double>::max();
    if (engine.free_mb >= smallest)
      least = 0;
    for (const replica& each : engine.replicas) {
      const bool stays =
          context.ready[each.model] - 1 < context.needed[each.model];
      if (!stays)
        least = std::min(least, context.losses[each.model]);
    }
    cheapest[position] = least;
  }
  std::ranges::sort(context.order, {}, [&](std::size_t position) {
    const engine_state& engine = context.engines[position];
    return std::tuple(engine.idle_at, cheapest[position], engine.running,
                      -engine.free_mb, position);
  });
}

}  // namespace

patient_plan PlanPatientLoads(const patient_plan_input& input) {
  if (input.waiting.empty())
    return {};
  plan_context context = MakeContext(input);
  std::vector<waiting_model> waiting = AbsentModels(context);
  if (waiting.empty() || context.order.empty())
    return {};
  SortEngines(context, waiting);
  std::ranges::sort(waiting, {}, [&](const waiting_model& each) {
    return std::tuple(IsLate(context, each), each.time_left, each.model);
  });
  schedule by_deadline = MakeSchedule(context, waiting);
  const bool all_in_time =
      std::ranges::all_of(by_deadline.plan.loads, &expected_load::in_time);
  if (all_in_time && by_deadline.plan.loads.size() == waiting.size())
    return std::move(by_deadline.plan);
  std::ranges::stable_sort(waiting, {}, [&](const waiting_model& each) {
    return std::pair(IsLate(context, each), -each.requests);
  });
  schedule by_number = MakeSchedule(context, waiting);
  const bool more = by_number.requests_in_time > by_deadline.requests_in_time;
  return std::move(more ? by_number.plan : by_deadline.plan);
}

}  // namespace valeledge::decisions
