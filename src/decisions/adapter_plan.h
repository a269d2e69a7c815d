// SPDX-License-Identifier: MIT
// Plans which adapters to load before requests name them. An engine accepts no
// adapter while it loads or unloads a model, so a request for an adapter that
// is not loaded would then miss its objective.
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
  // Requests per second for the model, with any adapter or none.
  double arrival_rate = 0;
};

// One adapter of a model; the model is an index into the list of models.
struct adapter_unit {
  std::size_t model = 0;
  std::int64_t adapter = 0;

  auto operator<=>(const adapter_unit&) const = default;
};

// An engine that serves requests.
struct adapter_engine {
  // An order may be sent to it now.
  bool accepts_orders = true;
  std::int64_t free_slots = 0;
  std::vector<std::size_t> models;
  std::vector<adapter_unit> loaded;
};

struct adapter_step {
  std::size_t engine = 0;
  adapter_unit unit;
};

// Returns the adapters to load now, at most `max_per_engine` on each engine.
// Adapters with the highest expected request rate per engine that holds them
// come first. Some slots of each engine stay free for requests that name an
// adapter which was not loaded ahead.
std::vector<adapter_step> PlanAdapters(
    const std::vector<adapter_model>& models,
    const std::vector<adapter_engine>& engines,
    std::int64_t max_per_engine);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_ADAPTER_PLAN_H_
