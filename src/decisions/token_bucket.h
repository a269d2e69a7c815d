// SPDX-License-Identifier: MIT
// A rate limit as a plain value.
#ifndef VALELEDGE_DECISIONS_TOKEN_BUCKET_H_
#define VALELEDGE_DECISIONS_TOKEN_BUCKET_H_

#include <chrono>

#include "base/duration.h"

namespace valeledge::decisions {

// Allows `rate` units a second and at most `burst` at once.
struct token_bucket {
  double rate = 0;
  double burst = 0;
  double level = 0;
  base::time_point last_refill;
};

// Fills the bucket up to `now`. A changed rate or burst counts from now on.
void Refill(token_bucket& bucket, base::time_point now);

// Takes `amount` if the bucket holds it; a bucket whose burst is smaller than
// `amount` gives it when full, and goes below zero. False if it does not.
bool TryTake(token_bucket& bucket, double amount, base::time_point now);

// How long until TryTake would give `amount`; the bucket was refilled.
std::chrono::microseconds TimeUntilAvailable(const token_bucket& bucket,
                                             double amount);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_TOKEN_BUCKET_H_
