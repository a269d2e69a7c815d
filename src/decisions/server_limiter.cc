// SPDX-License-Identifier: MIT
#include "decisions/server_limiter.h"

#include <algorithm>

namespace valeledge::decisions {

namespace {

using std::chrono::milliseconds;

// The burst is one request plus what the rate yields in this time.
constexpr double kBurstSeconds = 0.25;

// One request in ten seconds finds out whether a limit of 0 still applies.
constexpr double kMinRate = 0.1;

// Higher rates have no limiting effect; the bound keeps intervals above zero.
constexpr double kMaxRate = 1e6;

// Retries are scheduled at this multiple of the permit rate, since some hosts
// have no request left by the time of their retry.
constexpr double kRetriesPerPermit = 2;

constexpr milliseconds kMaxRetryAfter{5000};

// Maximum lateness of a retry after its scheduled time.
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
