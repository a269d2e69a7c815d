// SPDX-License-Identifier: MIT
// Converts the lease holder's engine records to the input of the planners,
// which identify models by their positions in the configured list.
#ifndef VALELEDGE_HOST_PROCESS_PLAN_VIEW_H_
#define VALELEDGE_HOST_PROCESS_PLAN_VIEW_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/duration.h"
#include "catalog/configuration.h"
#include "decisions/adapter_plan.h"
#include "decisions/model_plan.h"
#include "host/process/engine_registry.h"

namespace valeledge::host {

// Positions of a service's models by name. Refers to the configuration it was
// made from, which must outlive it.
struct model_index {
  const catalog::engine& kind;
  std::unordered_map<std::string_view, std::size_t> positions;
};

model_index IndexOf(const catalog::engine& kind);

// Planner input for one engine. Models that are not in the configuration are
// left out, but the memory that they use is counted.
decisions::plan_engine ViewOf(const engine_record& engine,
                              const model_index& index,
                              base::time_point now);

// Input of the adapter planner for one engine.
decisions::adapter_engine AdapterViewOf(const engine_record& engine,
                                        const model_index& index);

// Marks engines whose advertised rate limit is below their demand as not
// serving, so that the plan adds capacity elsewhere. Does nothing if this
// applies to all engines. `views` are those of `engines`, in the same order.
void ExcludeLimitedEngines(
    const std::vector<std::shared_ptr<engine_record>>& engines,
    base::time_point now,
    std::vector<decisions::plan_engine>& views);

// Name of an adapter by its number from 0: a1, a2 and so on.
std::string AdapterName(std::int64_t number);

// Minimum number of replicas of each model that its adapters need: adapters use
// slots on the engines that hold the model, and once all slots are in use
// another replica is needed.
std::vector<std::int64_t> ReplicasForAdapters(
    const std::vector<std::shared_ptr<engine_record>>& engines,
    const model_index& index);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_PLAN_VIEW_H_
