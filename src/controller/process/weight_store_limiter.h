// SPDX-License-Identifier: MIT
// Limits the load on the weight store, also across a change of the lease
// holder.
#ifndef VALELEDGE_CONTROLLER_PROCESS_WEIGHT_STORE_LIMITER_H_
#define VALELEDGE_CONTROLLER_PROCESS_WEIGHT_STORE_LIMITER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/duration.h"
#include "controller/process/controller_settings.h"
#include "decisions/token_bucket.h"

namespace valeledge::controller {

// Limits the number of concurrent loads and the rate at which loads start. A
// new lease holder does not know which loads its predecessor started, so it
// begins with an empty bucket and counts the unresolved loads it finds as
// running for controller_settings::inherited_load.
class weight_store_limiter {
 public:
  explicit weight_store_limiter(const controller_settings& settings)
      : settings_(settings) {}

  // Call when this process has acquired the lease.
  void BeginTerm(base::time_point now);
  // Counts an unresolved load of a previous holder, which may be running.
  void AddInheritedLoad(base::time_point now);

  // Returns whether another load may start while `own_loads` loads of this
  // process are running. If so, takes one token from the rate limit.
  bool TryStartLoad(std::int64_t own_loads, base::time_point now);

 private:
  const controller_settings& settings_;
  decisions::token_bucket rate_;
  // Time after which each inherited load no longer counts.
  std::vector<base::time_point> inherited_load_expiries_;
};

}  // namespace valeledge::controller

#endif  // VALELEDGE_CONTROLLER_PROCESS_WEIGHT_STORE_LIMITER_H_
