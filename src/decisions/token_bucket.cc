// SPDX-License-Identifier: MIT
#include "decisions/token_bucket.h"

#include <algorithm>

namespace valeledge::decisions {

void Refill(token_bucket& bucket, base::time_point now) {
  const std::chrono::duration<double> passed = now - bucket.last_refill;
  if (passed.count() > 0) {
    bucket.level =
        std::min(bucket.burst, bucket.level + bucket.rate * passed.count());
    bucket.last_refill = now;
  }
}

bool TryTake(token_bucket& bucket, double amount, base::time_point now) {
  Refill(bucket, now);
  if (bucket.level < std::min(amount, bucket.burst))
    return false;
  bucket.level -= amount;
  return true;
}

std::chrono::microseconds TimeUntilAvailable(const token_bucket& bucket,
                                             double amount) {
  const double missing = std::min(amount, bucket.burst) - bucket.level;
  if (missing <= 0)
    return std::chrono::microseconds(0);
  const std::chrono::duration<double> wait(missing / bucket.rate);
  return std::chrono::ceil<std::chrono::microseconds>(wait);
}

}  // namespace valeledge::decisions
