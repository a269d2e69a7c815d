// SPDX-License-Identifier: MIT
#include "decisions/patient_context.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>
#include <utility>

#include "decisions/replica_value.h"

namespace valeledge::decisions::detail {

namespace {

using std::chrono::milliseconds;

// Requests per second below which a model counts as one without demand: with
// the window of the long-term rate, 8 s, a single request counts as demand for
// about 7 s.
constexpr double kMinDemandRate = 0.05;

bool HasDemand(const plan_model& model) {
  const double now =
      std::max(model.arrival_rate, std::min(model.steady_rate, 1.0));
  return model.running > 0 || now >= kMinDemandRate;
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
  // A short lull is no surplus: the model plan would load the replicas again.
  if (each.arrival_rate > 0 && each.steady_rate > each.arrival_rate)
    expected.work *= each.steady_rate / each.arrival_rate;
  return static_cast<std::int64_t>(
      std::ceil(RequiredReplicas(expected, limits)));
}

// Records the weight copies in the memory and on the disk of an engine.
void AddCopies(const plan_engine& engine,
               std::size_t position,
               patient_context& context) {
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

}  // namespace

patient_context MakeContext(const patient_plan_input& input) {
  const std::size_t count = input.models.size();
  patient_context context{input, {}, {}, {}, {}, {}, {}, {}};
  context.weight_copies.resize(count);
  context.ready.resize(count);
  context.with_copy.resize(count);
  for (std::size_t i = 0; i < input.engines.size(); ++i) {
    const plan_engine& engine = input.engines[i];
    patient_engine state;
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

std::vector<waiting_model> AbsentModels(const patient_context& context) {
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

void SortEngines(patient_context& context,
                 const std::vector<waiting_model>& waiting) {
  std::int64_t smallest = std::numeric_limits<std::int64_t>::max();
  for (const waiting_model& each : waiting)
    smallest = std::min(smallest, context.input.models[each.model].weights_mb);
  std::vector<double> cheapest(context.engines.size());
  for (const std::size_t position : context.order) {
    const patient_engine& engine = context.engines[position];
    double least = std::numeric_limits<double>::max();
    if (engine.free_mb >= smallest)
      least = 0;
    for (const patient_replica& each : engine.replicas) {
      const bool stays =
          context.ready[each.model] - 1 < context.needed[each.model];
      if (!stays)
        least = std::min(least, context.losses[each.model]);
    }
    cheapest[position] = least;
  }
  std::ranges::sort(context.order, {}, [&](std::size_t position) {
    const patient_engine& engine = context.engines[position];
    return std::tuple(engine.idle_at, cheapest[position], engine.running,
                      -engine.free_mb, position);
  });
}

}  // namespace valeledge::decisions::detail
