// SPDX-License-Identifier: MIT
// What a plan reads of the engines that the holder of the lease believes in:
// their models as positions in the operators' list.
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

// A service's models by name. Refers to the configuration that it was made
// from, which must outlive it.
struct model_index {
  const catalog::engine& kind;
  std::unordered_map<std::string_view, std::size_t> positions;
};

model_index IndexOf(const catalog::engine& kind);

// One engine as a plan sees it; models that the configuration does not name are
// left out, but for the room they take.
decisions::plan_engine ViewOf(const engine_record& engine,
                              const model_index& index,
                              base::time_point now);

// The same for a plan of adapters.
decisions::adapter_engine AdapterViewOf(const engine_record& engine,
                                        const model_index& index);

// Engines whose own rate limit is lower than what is asked of them do not serve
// for a plan, so that others serve the rest, unless all are like that. `views`:
// of the same engines in the same order.
void ExcludeLimitedEngines(
    const std::vector<std::shared_ptr<engine_record>>& engines,
    base::time_point now,
    std::vector<decisions::plan_engine>& views);

// The name of an adapter by its number from 0: a1, a2 and so on.
std::string AdapterName(std::int64_t number);

// Replicas of each model that its adapters ask for: they take places on the
// engines that hold it, and once all are taken another replica is wanted.
std::vector<std::int64_t> ReplicasForAdapters(
    const std::vector<std::shared_ptr<engine_record>>& engines,
    const model_index& index);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_PLAN_VIEW_H_
