// SPDX-License-Identifier: MIT
// Weight copies in the model plan: loads from the weight store ahead of demand,
// so that later loads can come from the disks of engines.
#ifndef VALELEDGE_DECISIONS_WEIGHT_COPIES_H_
#define VALELEDGE_DECISIONS_WEIGHT_COPIES_H_

#include "decisions/model_plan_state.h"

namespace valeledge::decisions::detail {

// Plans loads that bring weight copies to engines.
void PlanWeightCopies(plan_state& state);

}  // namespace valeledge::decisions::detail

#endif  // VALELEDGE_DECISIONS_WEIGHT_COPIES_H_
