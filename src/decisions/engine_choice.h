// SPDX-License-Identifier: MIT
// Choice of an engine for a model, in the model plan and for requests that
// wait: where the engine has the weights, and what a load there costs.
#ifndef VALELEDGE_DECISIONS_ENGINE_CHOICE_H_
#define VALELEDGE_DECISIONS_ENGINE_CHOICE_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <vector>

#include "decisions/model_plan.h"

namespace valeledge::decisions::detail {

// Costs in requests per second: for each request that runs on the engine, and
// for each eviction.
inline constexpr double kRunningCost = 0.02;
inline constexpr double kEvictionCost = 0.4;

// Whether a list of models contains one.
inline bool Contains(const std::vector<std::size_t>& set, std::size_t value) {
  return std::ranges::find(set, value) != set.end();
}

// Where the engine would load the weights of a model from.
weight_source SourceAt(const plan_engine& engine, std::size_t model);

std::chrono::milliseconds LoadTime(const plan_model& model,
                                   weight_source source);

}  // namespace valeledge::decisions::detail

#endif  // VALELEDGE_DECISIONS_ENGINE_CHOICE_H_
