// SPDX-License-Identifier: MIT
#include "decisions/limit_queue.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <tuple>

#include "base/decay.h"

namespace valeledge::decisions {

namespace {

using seconds = std::chrono::duration<double>;
using std::chrono::milliseconds;

// Routes use a handful of priorities; a larger one is an error of the sender.
constexpr std::int64_t kMaxPriority = 1000;

// Maximum time for which a request waits for tokens, and maximum retry-after
// delay.
constexpr milliseconds kMaxPatience{30'000};

// Part of the time left for which a request waits. The rest is for a load of
// its model, its place at an engine, and the prompt. A longer queue would not
// let more requests through, only later.
constexpr double kWaitFraction = 0.5;

// Time constant of the smoothed demand. Shorter ones follow single requests of
// a small workspace, longer ones notice a change too late for requests that
// wait for a few seconds.
constexpr seconds kDemandTimeConstant{2};

// Tokens that are kept for more urgent requests: their demand in this time, and
// at most this part of the burst. Callers of an urgent route arrive in bursts,
// and urgent requests cannot wait until the tokens have been refilled.
constexpr milliseconds kReserveTime{250};
constexpr double kMaxReserve = 0.5;

// Requests that can wait for less count as urgent: what is kept for others is
// refilled in this time, and they do not outlast it.
constexpr milliseconds kMinPatience = 2 * kReserveTime;

// The demand of others changes while a request waits.
constexpr milliseconds kReviewInterval{100};

constexpr seconds kNever{std::numeric_limits<double>::infinity()};

// Standard deviations by which the demand of more urgent requests is assumed to
// exceed its estimate when a request is added behind others, and to fall below
// it when a waiting request is dropped. Both the estimate and the demand while
// the request waits deviate.
constexpr double kEnqueueDeviations = 4;
constexpr double kDropDeviations = -1;

double DecayUntil(const class_demand& demand, base::time_point now) {
  return base::DecayFactor(now - demand.updated, kDemandTimeConstant);
}

// Callers state costs freely, and no request takes more than the burst at once:
// a single huge cost would otherwise be seen as demand that exceeds the limit.
void Record(class_demand& demand,
            const catalog::workspace_limit& limit,
            double stated_cost,
            base::time_point now) {
  const double cost = std::min(stated_cost, limit.burst);
  const double decay = DecayUntil(demand, now);
  const double time_constant = kDemandTimeConstant.count();
  demand.rate = demand.rate * decay + cost / time_constant;
  demand.squares = demand.squares * decay + cost * cost / time_constant;
  demand.updated = now;
}

// Demand that goes before a request, in tokens per second.
struct demand_estimate {
  double rate = 0;
  // Standard deviation of the rate if requests arrive independently of each
  // other.
  double deviation = 0;
};

demand_estimate DemandBefore(const limit_queue& queue,
                             const charge_class& kind,
                             base::time_point now) {
  double rate = 0;
  double squares = 0;
  const auto add = [&](const class_demand& demand) {
    const double decay = DecayUntil(demand, now);
    rate += demand.rate * decay;
    squares += demand.squares * decay;
  };
  add(queue.direct);
  for (const auto& [other, demand] : queue.demand) {
    if (other < kind)
      add(demand);
  }
  return {rate, std::sqrt(squares / (2 * kDemandTimeConstant.count()))};
}

// Returns the tokens per second that are left for a request. `deviations`: of
// the estimated demand before it.
double RateFor(const limit_queue& queue,
               const limiter_state& limiter,
               const waiting_charge& charge,
               double deviations,
               base::time_point now) {
  const demand_estimate before = DemandBefore(queue, charge.kind, now);
  const double demand =
      std::max(before.rate + deviations * before.deviation, 0.0);
  return std::max(limiter.expected_rate - demand, 0.0);
}

// Returns the tokens that a request leaves for more urgent ones.
double ReserveFor(const limit_queue& queue,
                  const limiter_state& limiter,
                  const charge_class& kind,
                  base::time_point now) {
  return std::min(
      DemandBefore(queue, kind, now).rate * seconds(kReserveTime).count(),
      limiter.bucket.burst * kMaxReserve);
}

// Returns the time until a request behind others, which cost `ahead`, can be
// granted.
seconds ExpectedWait(const limit_queue& queue,
                     const limiter_state& limiter,
                     const waiting_charge& charge,
                     double ahead,
                     double deviations,
                     base::time_point now) {
  const double needed = std::min(
      charge.request.cost + ReserveFor(queue, limiter, charge.kind, now),
      limiter.bucket.burst);
  const double missing = ahead + needed - limiter.bucket.level;
  const seconds until_start =
      std::max(seconds(GrantsFrom(limiter) - now), seconds(0));
  if (missing <= 0)
    return until_start;
  const double rate = RateFor(queue, limiter, charge, deviations, now);
  return rate > 0 ? std::max(until_start, seconds(missing / rate)) : kNever;
}

bool GoesBefore(const waiting_charge& a, const waiting_charge& b) {
  return std::tie(a.kind.priority, a.deadline, a.number) <
         std::tie(b.kind.priority, b.deadline, b.number);
}

double CostOf(std::vector<waiting_charge>::const_iterator begin,
              std::vector<waiting_charge>::const_iterator end) {
  double cost = 0;
  for (; begin != end; ++begin)
    cost += begin->request.cost;
  return cost;
}

// Whether a request that is inserted at `place`, behind others that cost
// `ahead`, makes a waiting request of the same priority late.
bool DelaysOthers(const limit_queue& queue,
                  const limiter_state& limiter,
                  const waiting_charge& charge,
                  std::vector<waiting_charge>::const_iterator place,
                  double ahead,
                  base::time_point now) {
  const double rate = limiter.expected_rate;
  for (; place != queue.waiting.end() &&
         place->kind.priority == charge.kind.priority;
       ++place) {
    ahead += place->request.cost;
    const double left = seconds(place->deadline - now).count() * rate;
    const double missing = ahead - limiter.bucket.level;
    if (missing <= left && missing + charge.request.cost > left)
      return true;
  }
  return false;
}

// Refuses a request, with the time at which there will be tokens for it behind
// those that wait and those that were refused before it.
limit_decision Refuse(limit_queue& queue,
                      const limiter_state& limiter,
                      const limit_members& members,
                      const waiting_charge& charge,
                      base::time_point now) {
  const auto end =
      std::ranges::find_if(queue.waiting, [&](const waiting_charge& each) {
        return each.kind.priority > charge.kind.priority;
      });
  const seconds wait =
      std::min(ExpectedWait(queue, limiter, charge,
                            CostOf(queue.waiting.begin(), end), 0, now),
               seconds(kMaxPatience));
  const auto retry_after =
      SpreadRetry(limiter, members, charge.request.cost,
                  RateFor(queue, limiter, charge, 0, now),
                  std::chrono::duration_cast<base::time_point::duration>(wait),
                  queue.demand[charge.kind].next_retry, now);
  return {limit_verdict::kExceeded, retry_after};
}

// Whether a waiting request cannot be granted in time any more. Its estimate is
// the most favourable one, so that the request is not dropped because of a few
// requests that have just arrived.
bool IsLate(const limit_queue& queue,
            const limiter_state& limiter,
            const waiting_charge& charge,
            double ahead,
            base::time_point now) {
  return ExpectedWait(queue, limiter, charge, ahead, kDropDeviations, now) >
         seconds(charge.deadline - now);
}

}  // namespace

bool IsValidCost(double cost) {
  return std::isfinite(cost) && std::abs(cost) <= kMaxRequestCost;
}

std::optional<token_wait> ReadTokenWait(
    std::optional<std::int64_t> priority,
    std::optional<std::int64_t> patience_ms) {
  const bool is_valid =
      priority && *priority >= 0 && *priority <= kMaxPriority && patience_ms &&
      *patience_ms >= 0 && *patience_ms <= kMaxPatience.count();
  if (!is_valid)
    return std::nullopt;
  return token_wait{*priority, milliseconds(*patience_ms)};
}

milliseconds MaxTokenWait(milliseconds left) {
  const auto wait =
      std::chrono::duration_cast<milliseconds>(left * kWaitFraction);
  return std::clamp(wait, milliseconds(0), kMaxPatience);
}

tl::expected<std::int64_t, limit_decision> Enqueue(
    limit_queue& queue,
    limiter_state& limiter,
    const catalog::workspace_limit& limit,
    const limit_members& members,
    const limit_request& request,
    const token_wait& wait,
    base::time_point now) {
  NoteClientRequest(limiter, request, now);
  Refill(limiter, limit, members, now);
  waiting_charge charge;
  charge.number = queue.last_number + 1;
  charge.request = request;
  charge.kind = {wait.priority, wait.patience >= kMinPatience};
  charge.deadline = now + wait.patience;
  if (charge.deadline < GrantsFrom(limiter))
    return tl::make_unexpected(limit_decision{limit_verdict::kNotOwned});
  limiter.requested += request.cost;
  Record(queue.demand[charge.kind], limit, request.cost, now);
  const auto place =
      std::ranges::upper_bound(queue.waiting, charge, GoesBefore);
  const double ahead = CostOf(queue.waiting.begin(), place);
  // The first one in line takes no tokens from others if it waits in vain.
  const double deviations = ahead > 0 ? kEnqueueDeviations : 0;
  const bool is_in_time = ExpectedWait(queue, limiter, charge, ahead,
                                       deviations, now) <= wait.patience;
  if (!is_in_time || DelaysOthers(queue, limiter, charge, place, ahead, now))
    return tl::make_unexpected(Refuse(queue, limiter, members, charge, now));
  queue.last_number = charge.number;
  queue.waiting.insert(place, std::move(charge));
  return queue.last_number;
}

void RecordDirectDemand(limit_queue& queue,
                        const catalog::workspace_limit& limit,
                        double cost,
                        base::time_point now) {
  Record(queue.direct, limit, cost, now);
}

std::vector<charge_outcome> ServeQueue(limit_queue& queue,
                                       limiter_state& limiter,
                                       const catalog::workspace_limit& limit,
                                       const limit_members& members,
                                       base::time_point now) {
  std::vector<charge_outcome> out;
  if (queue.waiting.empty())
    return out;
  Refill(limiter, limit, members, now);
  // Those that have become late are refused before anything is granted: after
  // a suspension of this host, the hosts that asked wait no longer.
  const auto overdue = std::ranges::stable_partition(
      queue.waiting,
      [now](const waiting_charge& each) { return each.deadline >= now; });
  std::vector<waiting_charge> late(overdue.begin(), overdue.end());
  queue.waiting.erase(overdue.begin(), overdue.end());
  const bool grants = now >= GrantsFrom(limiter);
  auto next = queue.waiting.begin();
  while (grants && next != queue.waiting.end()) {
    const double reserve = ReserveFor(queue, limiter, next->kind, now);
    if (!TryGrant(limiter, next->request, reserve, now))
      break;
    out.push_back({next->number, {limit_verdict::kGranted}});
    ++next;
  }
  queue.waiting.erase(queue.waiting.begin(), next);
  double ahead = 0;
  std::vector<waiting_charge> kept;
  for (waiting_charge& each : queue.waiting) {
    if (IsLate(queue, limiter, each, ahead, now)) {
      late.push_back(std::move(each));
      continue;
    }
    ahead += each.request.cost;
    kept.push_back(std::move(each));
  }
  queue.waiting = std::move(kept);
  for (const waiting_charge& each : late)
    out.push_back({each.number, Refuse(queue, limiter, members, each, now)});
  return out;
}

std::optional<base::time_point> NextServing(const limit_queue& queue,
                                            const limiter_state& limiter,
                                            base::time_point now) {
  if (queue.waiting.empty())
    return std::nullopt;
  const waiting_charge& first = queue.waiting.front();
  const token_bucket& bucket = limiter.bucket;
  const double reserve = ReserveFor(queue, limiter, first.kind, now);
  const double missing =
      std::min(first.request.cost + reserve, bucket.burst) - bucket.level;
  seconds wait = kReviewInterval;
  if (missing <= 0)
    wait = std::min(wait, seconds(GrantsFrom(limiter) - now));
  else if (bucket.rate > 0)
    wait = std::min(wait, seconds(missing / bucket.rate));
  for (const waiting_charge& each : queue.waiting)
    wait = std::min(wait, seconds(each.deadline - now));
  return now + std::max(std::chrono::ceil<milliseconds>(wait), milliseconds(1));
}

double UrgentDemand(const limit_queue& queue, base::time_point now) {
  double demand = 0;
  for (const auto& [kind, each] : queue.demand)
    demand += kind.is_patient ? 0 : each.rate * DecayUntil(each, now);
  return demand;
}

}  // namespace valeledge::decisions
