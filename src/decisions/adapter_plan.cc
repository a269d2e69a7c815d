// SPDX-License-Identifier: MIT
#include "decisions/adapter_plan.h"

#include <algorithm>
#include <map>
#include <optional>

namespace valeledge::decisions {

namespace {

// Slots of an engine that are left for adapters which are asked for.
constexpr std::int64_t kSlotsLeft = 2;

// Models below this many requests a second get no adapters ahead.
constexpr double kLeastRate = 0.5;

// What one more engine with an adapter must be worth, in requests a second:
// without a bound every slot of every engine is filled, however many there are.
constexpr double kLeastWorth = 0.005;

using unit_count = std::map<adapter_unit, std::int64_t>;

// The adapter that an engine should have next; nothing if none.
std::optional<adapter_unit> Next(const std::vector<adapter_model>& models,
                                 const adapter_engine& engine,
                                 const unit_count& holders) {
  std::optional<adapter_unit> best;
  double most = 0;
  for (const std::size_t model : engine.models) {
    const adapter_model& kind = models[model];
    if (kind.arrival_rate < kLeastRate)
      continue;
    for (std::int64_t i = 0; i < kind.adapters; ++i) {
      const adapter_unit unit{model, i};
      if (std::ranges::find(engine.held, unit) != engine.held.end())
        continue;
      const auto found = holders.find(unit);
      const auto others =
          static_cast<double>(found == holders.end() ? 0 : found->second);
      const double asked =
          kind.arrival_rate / static_cast<double>(kind.adapters);
      const double worth = asked / ((1 + others) * (1 + others));
      if (worth < kLeastWorth)
        continue;
      if (!best || worth > most) {
        best = unit;
        most = worth;
      }
    }
  }
  return best;
}

}  // namespace

std::vector<adapter_step> PlanAdapters(
    const std::vector<adapter_model>& models,
    const std::vector<adapter_engine>& engines,
    std::int64_t most) {
  unit_count holders;
  for (const adapter_engine& engine : engines) {
    for (const adapter_unit& unit : engine.held)
      ++holders[unit];
  }
  std::vector<adapter_step> steps;
  for (std::size_t i = 0; i < engines.size(); ++i) {
    adapter_engine engine = engines[i];
    if (!engine.free)
      continue;
    const std::int64_t room = std::min(engine.slots_left - kSlotsLeft, most);
    for (std::int64_t given = 0; given < room; ++given) {
      const auto unit = Next(models, engine, holders);
      if (!unit)
        break;
      engine.held.push_back(*unit);
      ++holders[*unit];
      steps.push_back({i, *unit});
    }
  }
  return steps;
}

}  // namespace valeledge::decisions
