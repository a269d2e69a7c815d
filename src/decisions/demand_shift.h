// SPDX-License-Identifier: MIT
// Predicts how demand shifts along the operators' list of models: learns from
// earlier shifts by how many positions it moves, and derives the demand that
// each model should expect next.
#ifndef VALELEDGE_DECISIONS_DEMAND_SHIFT_H_
#define VALELEDGE_DECISIONS_DEMAND_SHIFT_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "base/duration.h"

namespace valeledge::decisions {

namespace detail {

// The demand for each model of the list at one point in time.
struct demand_sample {
  base::time_point time;
  std::vector<double> demand;
};

}  // namespace detail

// Recent demand samples, oldest first, and the step learned from them.
struct demand_shift {
  std::deque<detail::demand_sample> samples;
  // Positions by which demand moved in the last shift; unset before the first.
  std::optional<std::size_t> step;
};

// Records the demand for each model, in the order of the list. Any unit will do
// as long as it is the same in all calls.
void RecordDemand(demand_shift& shift,
                  base::time_point now,
                  const std::vector<double>& demand);

// Returns the expected demand for each model after the next shift, in the same
// unit: the present demand for the model `step` positions before it. Before the
// first shift, the maximum over the likely steps.
std::vector<double> DemandAfterShift(const demand_shift& shift,
                                     const std::vector<double>& demand);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_DEMAND_SHIFT_H_
