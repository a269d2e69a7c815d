// SPDX-License-Identifier: MIT
// How demand moves along the operators' list of models: by how many places,
// learned from earlier moves, and what each model is therefore expected to be
// asked for soon.
#ifndef VALELEDGE_DECISIONS_DEMAND_SHIFT_H_
#define VALELEDGE_DECISIONS_DEMAND_SHIFT_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "base/duration.h"

namespace valeledge::decisions {

namespace detail {

// The demand for each model of the list at one moment.
struct demand_sample {
  base::time_point time;
  std::vector<double> demand;
};

}  // namespace detail

// What is remembered of demand, the oldest sample first.
struct demand_shift {
  std::deque<detail::demand_sample> samples;
  // Places by which demand moved last; unknown before the first move.
  std::optional<std::size_t> step;
};

// Takes in the demand for each model in the order of the list, in any unit
// that stays the same.
void RecordDemand(demand_shift& shift,
                  base::time_point now,
                  const std::vector<double>& demand);

// What each model will be asked for after the next move, in the same unit:
// what the model `step` places before it is asked for now. Before the first
// move the largest of what each likely step would bring.
std::vector<double> DemandAfterShift(const demand_shift& shift,
                                     const std::vector<double>& demand);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_DEMAND_SHIFT_H_
