// SPDX-License-Identifier: MIT
#include "controller/process/weight_store_limiter.h"

#include <algorithm>

namespace valeledge::controller {

void weight_store_limiter::BeginTerm(base::time_point now) {
  inherited_load_expiries_.clear();
  rate_ = {settings_.loads_per_second,
           std::max(1.0, settings_.loads_per_second), 0, now};
}

void weight_store_limiter::AddInheritedLoad(base::time_point now) {
  inherited_load_expiries_.push_back(now + settings_.inherited_load);
}

bool weight_store_limiter::TryStartLoad(std::int64_t own_loads,
                                        base::time_point now) {
  std::erase_if(inherited_load_expiries_,
                [now](base::time_point until) { return until <= now; });
  const auto running =
      own_loads + static_cast<std::int64_t>(inherited_load_expiries_.size());
  return running < settings_.loads_at_once && decisions::TryTake(rate_, 1, now);
}

}  // namespace valeledge::controller
