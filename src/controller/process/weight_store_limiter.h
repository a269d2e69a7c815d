// SPDX-License-Identifier: MIT
// Keeps loads within what the weight store bears, also across a change of the
// lease's holder.
#ifndef VALELEDGE_CONTROLLER_PROCESS_WEIGHT_STORE_LIMITER_H_
#define VALELEDGE_CONTROLLER_PROCESS_WEIGHT_STORE_LIMITER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/duration.h"
#include "controller/process/controller_settings.h"
#include "decisions/token_bucket.h"

namespace valeledge::controller {

// Counts the loads that run and the rate at which they start. A new holder
// does not know what the last one has started: it begins with an empty bucket
// and counts the unsettled loads it finds as running for a while.
class weight_store_limiter {
 public:
  explicit weight_store_limiter(const controller_settings& settings)
      : settings_(settings) {}

  // This process has accepted the lease.
  void BeginTerm(base::time_point now);
  // An unsettled load of an earlier holder may be running.
  void AddInheritedLoad(base::time_point now);

  // Whether one more load may start beside `own_loads` of this process; takes
  // from the rate if so.
  bool TryStartLoad(std::int64_t own_loads, base::time_point now);

 private:
  const controller_settings& settings_;
  decisions::token_bucket rate_;
  // Until when each inherited load counts.
  std::vector<base::time_point> inherited_load_expiries_;
};

}  // namespace valeledge::controller

#endif  // VALELEDGE_CONTROLLER_PROCESS_WEIGHT_STORE_LIMITER_H_
