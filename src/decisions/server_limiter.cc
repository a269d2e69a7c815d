// SPDX-License-Identifier: MIT
#include "decisions/server_limiter.h"

#include <algorithm>

namespace valeledge::decisions {

namespace {

using std::chrono::milliseconds;

// The burst is one request and what the rate gives in this time.
constexpr double kBurstSeconds = 0.25;

// One request in ten seconds tells whether a limit of 0 still holds.
constexpr double kMinRate = 0.1;

// Rates beyond this do not bind; it keeps times above zero.
constexpr double kMaxRate = 1e6;

// Refused hosts return this many times as often as permits are granted, since
// some have no request by then.
constexpr double kRetriesPerPermit = 2;

constexpr milliseconds kMaxRetryAfter{5000};

// A refused request comes back so long after it was told to, at the most.
constexpr milliseconds kMaxRetryLateness{50};

void SetBucketRate(token_bucket& bucket, double rate) {
  bucket.rate = std::clamp(rate, kMinRate, kMaxRate);
  bucket.burst = 1 + kBurstSeconds * bucket.rate;
  bucket.level = std::min(bucket.level, bucket.burst);
}

base::time_point::duration ToDuration(double seconds) {
  return std::chrono::duration_cast<base::time_point::duration>(
      std::chrono::duration<double>(seconds));
}

bool IsReserved(const server_limiter& limiter,
                std::int64_t priority,
                base::time_point now) {
  constexpr double kReservedAndOwn = 2;
  return priority > limiter.urgent_priority && now < limiter.urgent_until &&
         limiter.bucket.level < kReservedAndOwn;
}

}  // namespace

server_limiter MakeServerLimiter(double rate, base::time_point now) {
  server_limiter limiter;
  SetBucketRate(limiter.bucket, rate);
  limiter.bucket.last_refill = now;
  limiter.next_retry = now;
  limiter.urgent_until = now;
  return limiter;
}

void SetRate(server_limiter& limiter, double rate, base::time_point now) {
  Refill(limiter.bucket, now);
  SetBucketRate(limiter.bucket, rate);
}

permit_verdict TryAcquirePermit(server_limiter& limiter,
                                std::int64_t priority,
                                base::time_point now) {
  token_bucket& bucket = limiter.bucket;
  Refill(bucket, now);
  if (!IsReserved(limiter, priority, now) && TryTake(bucket, 1, now)) {
    if (priority <= limiter.urgent_priority)
      limiter.urgent_until = now;
    return {true, {}};
  }
  const auto retry_interval = ToDuration(1 / (kRetriesPerPermit * bucket.rate));
  const base::time_point next = now + TimeUntilAvailable(bucket, 1);
  limiter.next_retry =
      std::min(std::max(limiter.next_retry, next) + retry_interval,
               now + kMaxRetryAfter);
  const bool is_urgent =
      now >= limiter.urgent_until || priority <= limiter.urgent_priority;
  if (is_urgent) {
    limiter.urgent_priority = priority;
    limiter.urgent_until =
        std::min(limiter.next_retry, next + ToDuration(1 / bucket.rate)) +
        kMaxRetryLateness;
  }
  return {false, std::chrono::ceil<milliseconds>(limiter.next_retry - now)};
}

}  // namespace valeledge::decisions
