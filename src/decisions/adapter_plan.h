// SPDX-License-Identifier: MIT
// Which adapters to load before they are asked for. An engine takes none while
// it loads or gives up a model, so a request that names an absent adapter then
// has nowhere to go in time; adapters that are there already serve it.
#ifndef VALELEDGE_DECISIONS_ADAPTER_PLAN_H_
#define VALELEDGE_DECISIONS_ADAPTER_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace valeledge::decisions {

// A model with adapters, numbered from 0.
struct adapter_model {
  std::int64_t adapters = 0;
  // Requests a second for the model, with whatever adapter or none.
  double arrival_rate = 0;
};

// A model, by its position in the list of models, and one of its adapters.
struct adapter_unit {
  std::size_t model = 0;
  std::int64_t adapter = 0;

  auto operator<=>(const adapter_unit&) const = default;
};

// An engine that serves.
struct adapter_engine {
  // It may be given an order now.
  bool accepts_orders = true;
  std::int64_t free_slots = 0;
  std::vector<std::size_t> models;
  std::vector<adapter_unit> loaded;
};

struct adapter_step {
  std::size_t engine = 0;
  adapter_unit unit;
};

// Adapters to load now, at most `most` on each engine: those first that are
// probably asked for most by the fewest places that hold them. Some slots of
// each engine are left for what is asked for and not foreseen.
std::vector<adapter_step> PlanAdapters(
    const std::vector<adapter_model>& models,
    const std::vector<adapter_engine>& engines,
    std::int64_t max_per_engine);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_ADAPTER_PLAN_H_
