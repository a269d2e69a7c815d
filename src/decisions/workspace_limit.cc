// SPDX-License-Identifier: MIT
#include "decisions/workspace_limit.h"

#include <algorithm>

#include "base/decay.h"

namespace valeledge::decisions {

namespace {

using seconds = std::chrono::duration<double>;

// A new owner grants nothing for this time: the previous owner may not know yet
// that it was replaced, and hosts that start together do not know each other
// yet.
constexpr std::chrono::milliseconds kOwnerStartDelay{350};

// The initial level of an owner whose process has just started, as a fraction
// of the burst.
constexpr double kInitialLevel = 0.1;

constexpr std::chrono::seconds kMaxRetryAfter{30};

// Time constant of smoothed rates.
constexpr seconds kRateTimeConstant{2};

// Without an owner, a host grants by itself what its rate yields in
// kOwnerlessDuration, and at most what the rate yields in kOwnerlessBurst at
// once.
constexpr seconds kOwnerlessDuration{2};
constexpr seconds kOwnerlessBurst{0.3};

// A host that sends requests at least this regularly is soon detected as
// unresponsive: after kUnresponsiveIntervals of its request interval, but not
// before kMinUnresponsiveTime.
constexpr seconds kMaxRegularInterval{0.2};
constexpr std::int64_t kMinRegularCount = 8;
constexpr double kUnresponsiveIntervals = 6;
constexpr seconds kMinUnresponsiveTime{0.3};

// Until it is detected, such a host uses its rate although the owner grants
// that part to others. The owner makes up for it within this time.
constexpr seconds kCompensationTime{2};

// The owner reserves nothing for irregular hosts. These report this fraction of
// their rate while the limit is exhausted.
constexpr double kIrregularFraction = 0.25;

// Time after which members agree on the visible hosts.
constexpr seconds kMembershipConvergenceTime{4};

// Hosts that become visible again are not counted for this time: until they
// have noticed that this owner is back, another one grants them tokens.
constexpr seconds kReturnDelay{4};

// Time for which the rate of an unresponsive host stays reserved: all members
// have noticed by then that it is gone.
constexpr seconds kReservedDuration{8};

// Before membership has converged, a new owner grants at least this fraction of
// its clients' even share.
constexpr double kUnconvergedFraction = 0.5;

// A limit counts as exhausted for this time after a request beyond it was
// refused.
constexpr seconds kExhaustedDuration{8};

constexpr std::chrono::milliseconds kClientUpdateInterval{50};

double Decayed(double rate, seconds passed) {
  return rate * base::DecayFactor(passed, kRateTimeConstant);
}

void Decay(limit_allowance& allowance, base::time_point now) {
  allowance.rate = Decayed(allowance.rate, now - allowance.updated);
  allowance.updated = now;
}

void NoteInterval(request_interval& requests, base::time_point now) {
  constexpr double kWeight = 0.1;
  const seconds passed = now - requests.last;
  if (requests.count == 1)
    requests.interval = passed;
  else if (requests.count > 1)
    requests.interval += kWeight * (passed - requests.interval);
  ++requests.count;
  requests.last = now;
}

bool IsRegular(const request_interval& requests) {
  return requests.count >= kMinRegularCount &&
         requests.interval <= kMaxRegularInterval;
}

// Time without requests after which a regular host counts as unresponsive.
seconds UnresponsiveAfter(const request_interval& requests) {
  return std::max(kMinUnresponsiveTime,
                  requests.interval * kUnresponsiveIntervals);
}

// The part of its rate that is reserved for a host: none while it sends
// requests.
double ReservedPart(const request_interval& requests, base::time_point now) {
  const seconds unresponsive_after = UnresponsiveAfter(requests);
  const seconds passed = now - requests.last;
  if (!IsRegular(requests) || passed <= unresponsive_after)
    return 0;
  const bool compensates = passed < unresponsive_after + kCompensationTime;
  return compensates
             ? 1 + (unresponsive_after + kOwnerlessBurst) / kCompensationTime
             : 1;
}

// Whether a host may continue at its full rate without its previous owner: the
// granted rate is reserved for it, or the workspace is well below its limit.
bool KeepsFullRate(const limit_allowance& allowance, base::time_point now) {
  const bool is_exhausted = allowance.last_exceeded &&
                            now - *allowance.last_exceeded < kExhaustedDuration;
  return !is_exhausted || IsRegular(allowance.requests);
}

void NoteClientGrant(limiter_state& limiter,
                     const limit_request& request,
                     base::time_point now) {
  limiter_client& client = limiter.clients[request.host];
  client.rate = Decayed(client.rate, now - client.updated) +
                request.cost / kRateTimeConstant.count();
  client.updated = now;
}

void UpdateClients(limiter_state& limiter, base::time_point now) {
  if (now - limiter.clients_updated_at < kClientUpdateInterval)
    return;
  limiter.clients_updated_at = now;
  limiter.reserved = 0;
  limiter.granted_rate = 0;
  std::erase_if(limiter.clients, [now](const auto& each) {
    return now - each.second.requests.last > kReservedDuration;
  });
  for (const auto& [host, client] : limiter.clients) {
    const double rate =
        Decayed(client.rate, client.requests.last - client.updated);
    limiter.granted_rate += rate;
    limiter.reserved += rate * ReservedPart(client.requests, now);
  }
}

void UpdateVisibleFraction(limiter_state& limiter,
                           const limit_members& members,
                           base::time_point now) {
  const double visible = std::clamp(members.visible_fraction, 0.0, 1.0);
  if (visible > limiter.visible_fraction && now < limiter.visible_until)
    return;
  limiter.visible_fraction = visible;
  limiter.visible_until =
      now +
      std::chrono::duration_cast<base::time_point::duration>(kReturnDelay);
}

bool HasConverged(const limiter_state& limiter,
                  const limit_members& members,
                  base::time_point now) {
  return members.is_newly_started || members.is_complete ||
         now - limiter.owned_since >= kMembershipConvergenceTime;
}

// Tokens per second that an owner may grant.
double GrantableRate(const limiter_state& limiter,
                     const catalog::workspace_limit& limit,
                     const limit_members& members,
                     base::time_point now) {
  const double visible_fraction = limiter.visible_fraction;
  if (HasConverged(limiter, members, now)) {
    // Unresponsive hosts soon become invisible, so that the two are not added.
    const double missing =
        std::max(limit.rate * (1 - visible_fraction), limiter.reserved);
    return std::max(limit.rate - missing, 0.0);
  }
  const double client_fraction =
      static_cast<double>(limiter.clients.size()) /
      static_cast<double>(std::max<std::int64_t>(members.known, 1));
  const double max_rate = std::max(
      limiter.granted_rate - limiter.reserved,
      limit.rate * kUnconvergedFraction * std::min(client_fraction, 1.0));
  return std::min(limit.rate * visible_fraction, max_rate);
}

}  // namespace

double RequestCost(const catalog::workspace_limit& limit,
                   std::optional<std::int64_t> tokens) {
  if (limit.unit == catalog::limit_unit::kRequests)
    return 1;
  return static_cast<double>(
      std::max<std::int64_t>(tokens.value_or(limit.plain_tokens), 0));
}

limiter_state MakeLimiter(const catalog::workspace_limit& limit,
                          bool is_newly_started,
                          base::time_point now) {
  limiter_state limiter;
  // The previous owner may still grant its remaining tokens.
  limiter.bucket.level = is_newly_started ? kInitialLevel * limit.burst : 0;
  limiter.bucket.last_refill = now;
  limiter.owned_since = now;
  return limiter;
}

void NoteClientRequest(limiter_state& limiter,
                       const limit_request& request,
                       base::time_point now) {
  const auto [found, is_new] = limiter.clients.try_emplace(request.host);
  limiter_client& client = found->second;
  if (is_new) {
    client.rate = request.typical_rate;
    client.updated = now;
  }
  NoteInterval(client.requests, now);
}

void Refill(limiter_state& limiter,
            const catalog::workspace_limit& limit,
            const limit_members& members,
            base::time_point now) {
  UpdateClients(limiter, now);
  UpdateVisibleFraction(limiter, members, now);
  token_bucket& bucket = limiter.bucket;
  bucket.rate = GrantableRate(limiter, limit, members, now);
  limiter.expected_rate = HasConverged(limiter, members, now)
                              ? bucket.rate
                              : limit.rate * limiter.visible_fraction;
  bucket.burst = limit.burst;
  Refill(bucket, now);
  // A lowered burst applies immediately.
  bucket.level = std::min(bucket.level, bucket.burst);
}

base::time_point GrantsFrom(const limiter_state& limiter) {
  return limiter.owned_since + kOwnerStartDelay;
}

bool TryGrant(limiter_state& limiter,
              const limit_request& request,
              double reserve,
              base::time_point now) {
  token_bucket& bucket = limiter.bucket;
  if (bucket.level < std::min(request.cost + reserve, bucket.burst) ||
      !TryTake(bucket, request.cost, now))
    return false;
  limiter.granted += request.cost;
  NoteClientGrant(limiter, request, now);
  return true;
}

std::chrono::milliseconds SpreadRetry(const limiter_state& limiter,
                                      const limit_members& members,
                                      double cost,
                                      double rate,
                                      base::time_point::duration available_in,
                                      base::time_point& next_retry,
                                      base::time_point now) {
  base::time_point::duration wait = kMaxRetryAfter;
  if (rate > 0) {
    const auto spacing = std::chrono::duration_cast<base::time_point::duration>(
        std::min(seconds(cost / rate), seconds(kMaxRetryAfter)));
    next_retry = std::max(next_retry, now + available_in) + spacing;
    next_retry = std::min(next_retry, now + kMaxRetryAfter);
    wait = next_retry - now;
  }
  // The rate rises once membership has converged; retries stay spread.
  if (!HasConverged(limiter, members, now)) {
    const auto converges_in =
        limiter.owned_since + kMembershipConvergenceTime - now;
    constexpr int kSpread = 8;
    wait = std::min(
        wait,
        std::chrono::duration_cast<base::time_point::duration>(converges_in) +
            wait / kSpread);
  }
  return std::chrono::ceil<std::chrono::milliseconds>(wait);
}

limit_decision TryAcquire(limiter_state& limiter,
                          const catalog::workspace_limit& limit,
                          const limit_members& members,
                          const limit_request& request,
                          base::time_point now) {
  NoteClientRequest(limiter, request, now);
  Refill(limiter, limit, members, now);
  if (now < GrantsFrom(limiter))
    return {limit_verdict::kNotOwned};
  limiter.requested += request.cost;
  if (TryGrant(limiter, request, 0, now))
    return {limit_verdict::kGranted};
  const token_bucket& bucket = limiter.bucket;
  const auto available_in = bucket.rate > 0
                                ? TimeUntilAvailable(bucket, request.cost)
                                : std::chrono::microseconds(0);
  return {limit_verdict::kExceeded,
          SpreadRetry(limiter, members, request.cost, bucket.rate, available_in,
                      limiter.next_retry, now)};
}

void Release(limiter_state& limiter, double cost) {
  limiter.bucket.level = std::min(limiter.bucket.level + std::max(cost, 0.0),
                                  limiter.bucket.burst);
}

void NoteRequest(limit_allowance& allowance, base::time_point now) {
  NoteInterval(allowance.requests, now);
}

void NoteExceeded(limit_allowance& allowance, base::time_point now) {
  allowance.last_exceeded = now;
}

double TypicalRate(const limit_allowance& allowance, base::time_point now) {
  const double rate =
      Decayed(allowance.rate, now - allowance.updated - kOwnerlessDuration);
  return KeepsFullRate(allowance, now) ? rate : rate * kIrregularFraction;
}

void NoteGranted(limit_allowance& allowance,
                 double cost,
                 base::time_point now) {
  Decay(allowance, now);
  allowance.rate += cost / kRateTimeConstant.count();
  allowance.remaining.reset();
}

bool TryAcquireWithoutOwner(limit_allowance& allowance,
                            double cost,
                            double chance,
                            base::time_point now) {
  if (!allowance.remaining) {
    Decay(allowance, now);
    allowance.remaining = allowance.rate * kOwnerlessBurst.count();
    allowance.refilled = now;
    const seconds refill_time = KeepsFullRate(allowance, now)
                                    ? kOwnerlessDuration - kOwnerlessBurst
                                    : seconds(0);
    allowance.refill_until =
        now +
        std::chrono::duration_cast<base::time_point::duration>(refill_time);
  }
  double& remaining = *allowance.remaining;
  const seconds refilled =
      std::min(now, allowance.refill_until) - allowance.refilled;
  if (refilled.count() > 0) {
    remaining = std::min(remaining + allowance.rate * refilled.count(),
                         allowance.rate * kOwnerlessBurst.count());
    allowance.refilled = now;
  }
  if (remaining >= cost) {
    remaining -= cost;
    return true;
  }
  const bool will_refill = now < allowance.refill_until &&
                           cost <= allowance.rate * kOwnerlessBurst.count();
  if (will_refill)
    return false;
  const bool taken = chance * cost < remaining;
  remaining = 0;
  return taken;
}

}  // namespace valeledge::decisions
