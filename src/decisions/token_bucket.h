// SPDX-License-Identifier: MIT
// Token bucket for rate limits, as a plain value.
#ifndef VALELEDGE_DECISIONS_TOKEN_BUCKET_H_
#define VALELEDGE_DECISIONS_TOKEN_BUCKET_H_

#include <chrono>

#include "base/duration.h"

namespace valeledge::decisions {

// Allows `rate` units per second and at most `burst` units at once.
struct token_bucket {
  double rate = 0;
  double burst = 0;
  double level = 0;
  base::time_point last_refill;
};

// Refills the bucket up to `now`. A rate or burst that is changed afterwards
// applies from `now` on.
void Refill(token_bucket& bucket, base::time_point now);

// Takes `amount` if it is available. An `amount` above the burst is granted
// when the bucket is full and makes the level negative. Returns false if it is
// not available.
bool TryTake(token_bucket& bucket, double amount, base::time_point now);

// Time until TryTake grants `amount`. The bucket must have been refilled.
std::chrono::microseconds TimeUntilAvailable(const token_bucket& bucket,
                                             double amount);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_TOKEN_BUCKET_H_
