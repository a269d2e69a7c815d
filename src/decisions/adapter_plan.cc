// SPDX-License-Identifier: MIT
#include "decisions/adapter_plan.h"

#include <algorithm>
#include <map>
#include <optional>

namespace valeledge::decisions {

namespace {

// Slots of each engine that stay free for adapters loaded on request.
constexpr std::int64_t kReservedSlots = 2;

// Adapters are loaded ahead only for models with at least this many requests
// per second.
constexpr double kMinRate = 0.5;

// Minimum value of loading an adapter on one more engine, in requests per
// second. Without a bound every slot of every engine would be filled,
// regardless of the number of engines.
constexpr double kMinValue = 0.005;

using unit_count = std::map<adapter_unit, std::int64_t>;

// Returns the adapter with the highest value for an engine, if any reaches the
// minimum.
std::optional<adapter_unit> NextAdapter(
    const std::vector<adapter_model>& models,
    const adapter_engine& engine,
    const unit_count& holders) {
  std::optional<adapter_unit> best;
  double best_value = 0;
  for (const std::size_t model : engine.models) {
    const adapter_model& model_info = models[model];
    if (model_info.arrival_rate < kMinRate)
      continue;
    for (std::int64_t i = 0; i < model_info.adapters; ++i) {
      const adapter_unit unit{model, i};
      if (std::ranges::find(engine.loaded, unit) != engine.loaded.end())
        continue;
      const auto found = holders.find(unit);
      const auto holder_count =
          static_cast<double>(found == holders.end() ? 0 : found->second);
      const double rate_per_adapter =
          model_info.arrival_rate / static_cast<double>(model_info.adapters);
      const double value =
          rate_per_adapter / ((1 + holder_count) * (1 + holder_count));
      if (value < kMinValue)
        continue;
      if (!best || value > best_value) {
        best = unit;
        best_value = value;
      }
    }
  }
  return best;
}

}  // namespace

std::vector<adapter_step> PlanAdapters(
    const std::vector<adapter_model>& models,
    const std::vector<adapter_engine>& engines,
    std::int64_t max_per_engine) {
  unit_count holders;
  for (const adapter_engine& engine : engines) {
    for (const adapter_unit& unit : engine.loaded)
      ++holders[unit];
  }
  std::vector<adapter_step> steps;
  for (std::size_t i = 0; i < engines.size(); ++i) {
    adapter_engine engine = engines[i];
    if (!engine.accepts_orders)
      continue;
    const std::int64_t usable_slots =
        std::min(engine.free_slots - kReservedSlots, max_per_engine);
    for (std::int64_t planned = 0; planned < usable_slots; ++planned) {
      const auto unit = NextAdapter(models, engine, holders);
      if (!unit)
        break;
      engine.loaded.push_back(*unit);
      ++holders[*unit];
      steps.push_back({i, *unit});
    }
  }
  return steps;
}

}  // namespace valeledge::decisions
