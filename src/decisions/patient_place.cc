// SPDX-License-Identifier: MIT
#include "decisions/patient_place.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "decisions/replica_wait.h"

namespace valeledge::decisions::detail {

namespace {

using std::chrono::milliseconds;

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

// Returns when a replica may be evicted; nothing if it must stay.
std::optional<milliseconds> EvictableAt(const patient_context& context,
                                        const patient_schedule& state,
                                        std::size_t position,
                                        const patient_replica& each) {
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

// Returns nothing if the model cannot fit.
std::optional<patient_eviction> FindEviction(const patient_context& context,
                                             const patient_schedule& state,
                                             std::size_t position,
                                             std::int64_t missing) {
  patient_eviction out;
  if (missing <= 0)
    return out;
  struct candidate {
    double loss = 0;
    milliseconds at{0};
    std::size_t model = 0;
    std::int64_t weights_mb = 0;
  };
  std::vector<candidate> candidates;
  for (const patient_replica& each : state.engines[position].replicas) {
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
    return patient_eviction{{single->model}, single->loss, single->at};
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
milliseconds StoreLoadAt(const patient_context& context,
                         const patient_schedule& state) {
  const patient_limits& limits = context.input.limits;
  const std::int64_t beyond = state.store_loads - limits.store_loads;
  if (beyond < 0)
    return milliseconds(0);
  const double rate = limits.store_loads_per_second;
  return limits.next_store_load +
         milliseconds(static_cast<std::int64_t>(
             1000 * static_cast<double>(beyond) / rate));
}

bool IsBetter(const patient_place& one, const patient_place& other) {
  if (one.in_time != other.in_time)
    return one.in_time;
  return one.in_time ? one.cost < other.cost : one.ready_at < other.ready_at;
}

// Evaluates one engine. Returns false if it cannot take the model.
bool ScanEngine(const patient_context& context,
                const patient_schedule& state,
                const waiting_model& wanted,
                std::size_t position,
                std::optional<patient_place>& best) {
  const patient_engine& engine = state.engines[position];
  if (engine.Has(wanted.model))
    return false;
  const plan_model& model = context.input.models[wanted.model];
  const std::int64_t missing = model.weights_mb - engine.free_mb;
  patient_place each;
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

void ScanEngines(const patient_context& context,
                 const patient_schedule& state,
                 const waiting_model& wanted,
                 const std::vector<std::size_t>& engines,
                 std::optional<patient_place>& best) {
  std::size_t scanned = 0;
  const std::size_t visited = std::min(engines.size(), kMaxVisited);
  for (std::size_t i = 0; i < visited && scanned < kMaxScanned; ++i)
    scanned += ScanEngine(context, state, wanted, engines[i], best) ? 1 : 0;
}

}  // namespace

std::optional<patient_place> FindPlace(const patient_context& context,
                                       const patient_schedule& state,
                                       const waiting_model& wanted) {
  std::optional<patient_place> best;
  ScanEngines(context, state, wanted, context.with_copy[wanted.model], best);
  ScanEngines(context, state, wanted, context.order, best);
  return best;
}

}  // namespace valeledge::decisions::detail
