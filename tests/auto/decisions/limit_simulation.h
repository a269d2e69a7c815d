// SPDX-License-Identifier: MIT
// Simulates strategies for a limit across many hosts: requests reach hosts at
// random, and a fault is injected.
#ifndef VALELEDGE_TESTS_AUTO_DECISIONS_LIMIT_SIMULATION_H_
#define VALELEDGE_TESTS_AUTO_DECISIONS_LIMIT_SIMULATION_H_

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include "decisions/workspace_limit.h"

namespace valeledge::test {

enum class limit_fault {
  kNone,
  // A third of the hosts can neither send to nor receive from any other host.
  kThirdPartitioned,
  // The owner is killed; the next one is found after two seconds.
  kOwnerKilled,
  // The owner does not respond for 7 s and then resumes; it is suspected after
  // 1.5 s.
  kOwnerFrozen,
  // All hosts restart without state; an owner is found after a second.
  kAllHostsRestarted,
};

// One workspace from 0 to 30 s, overloaded from 10 to 22 s; the fault occurs at
// 14 s.
struct limit_scenario {
  int hosts = 69;
  catalog::workspace_limit limit;
  // Fraction of the limit that the workspace typically requests, and the factor
  // by which this rises during the overload.
  double typical_load = 0.45;
  double overload = 7.5;
  double tokens = 1500;
  limit_fault fault = limit_fault::kNone;
  std::uint64_t seed = 35003;
};

struct limit_outcome {
  // Maximum tokens in 8 s, as a fraction of what operators allow: the limit
  // plus a tenth, plus 11,000 tokens.
  double worst_overrun = 0;
  // Fraction of the rate used in the last 4 s of the overload.
  double used_when_overloaded = 0;
  // Fraction refused of the requests that a single bucket for all hosts would
  // have granted, before the overload and from three seconds after it.
  double refused_below_limit = 0;
  // Messages between hosts per request.
  double messages = 0;
};

namespace detail {

inline constexpr double kStep = 0.002;
inline constexpr double kLength = 30;
inline constexpr double kOverloadBegin = 10;
inline constexpr double kOverloadEnd = 22;
inline constexpr double kFaultAt = 14;

inline base::time_point At(double seconds) {
  return base::time_point() +
         std::chrono::duration_cast<base::time_point::duration>(
             std::chrono::duration<double>(3600 + seconds));
}

// Evaluates what a strategy grants.
class limit_scorer {
 public:
  explicit limit_scorer(const limit_scenario& scenario) : scenario_(scenario) {
    exact_bucket_ = {scenario.limit.rate, scenario.limit.burst,
                     scenario.limit.burst, At(0)};
  }

  void Record(double now, bool granted) {
    if (now < 2)
      return;
    const bool is_overloaded = now >= kOverloadBegin && now < kOverloadEnd;
    const bool is_faulty =
        scenario_.fault != limit_fault::kNone && now >= kFaultAt;
    // Callers of the overload finish only some time after its end.
    const bool is_below_limit =
        !is_overloaded && !is_faulty && (now < kOverloadBegin || now > 25);
    decisions::Refill(exact_bucket_, At(now));
    const bool is_available = exact_bucket_.level >= scenario_.tokens;
    if (granted)
      exact_bucket_.level -= scenario_.tokens;
    if (is_below_limit && is_available) {
      ++below_limit_;
      refused_ += granted ? 0 : 1;
    }
    if (!granted)
      return;
    granted_.emplace_back(now, scenario_.tokens);
    granted_in_window_ += scenario_.tokens;
    while (granted_.front().first < now - 8) {
      granted_in_window_ -= granted_.front().second;
      granted_.pop_front();
    }
    const double allowed =
        (scenario_.limit.rate * 8 + scenario_.limit.burst) * 1.1 + 11'000;
    out_.worst_overrun =
        std::max(out_.worst_overrun, granted_in_window_ / allowed);
    if (now >= kOverloadEnd - 4 && now < kOverloadEnd)
      overload_granted_ += scenario_.tokens;
  }

  limit_outcome Finish(double messages, double requests) {
    out_.used_when_overloaded = overload_granted_ / (scenario_.limit.rate * 4);
    out_.refused_below_limit = below_limit_ > 0 ? refused_ / below_limit_ : 0;
    out_.messages = messages / std::max(requests, 1.0);
    return out_;
  }

 private:
  const limit_scenario& scenario_;
  limit_outcome out_;
  // The level of a single bucket for all hosts.
  decisions::token_bucket exact_bucket_;
  std::deque<std::pair<double, double>> granted_;
  double granted_in_window_ = 0;
  double below_limit_ = 0;
  double refused_ = 0;
  double overload_granted_ = 0;
};

// Calls `try_acquire` (host, time) for each request of a scenario; it returns
// true if the request is granted.
template <typename client, typename stepper>
limit_outcome SimulateScenario(const limit_scenario& scenario,
                               const client& try_acquire,
                               const stepper& step,
                               const double& messages) {
  std::mt19937_64 random(scenario.seed);
  limit_scorer scorer(scenario);
  double requests = 0;
  for (double now = 0; now < kLength; now += kStep) {
    step(now);
    const bool is_overloaded = now >= kOverloadBegin && now < kOverloadEnd;
    const double rate = scenario.limit.rate * scenario.typical_load *
                        (is_overloaded ? scenario.overload : 1) /
                        scenario.tokens;
    std::poisson_distribution<int> arrivals(rate * kStep);
    std::uniform_int_distribution<int> host(0, scenario.hosts - 1);
    for (int left = arrivals(random); left > 0; --left) {
      ++requests;
      scorer.Record(now, try_acquire(host(random), now));
    }
  }
  return scorer.Finish(messages, requests);
}

inline bool IsPartitioned(const limit_scenario& scenario,
                          int host,
                          double now) {
  return scenario.fault == limit_fault::kThirdPartitioned && host % 3 == 1 &&
         now >= kFaultAt;
}

}  // namespace detail

// One owner of the limit receives each request.
inline limit_outcome SimulateOwner(const limit_scenario& scenario) {
  using decisions::limit_allowance;
  using decisions::limit_verdict;
  using decisions::limiter_state;
  using detail::At;
  std::mt19937_64 random(scenario.seed + 1);
  std::uniform_real_distribution<double> uniform(0, 1);
  std::vector<limit_allowance> allowances(
      static_cast<std::size_t>(scenario.hosts));
  double messages = 0;
  // The owner before the fault, and the owner after it.
  limiter_state first = decisions::MakeLimiter(scenario.limit, true, At(0));
  std::optional<limiter_state> second;
  const double owner_found_after =
      scenario.fault == limit_fault::kOwnerFrozen         ? 1.5
      : scenario.fault == limit_fault::kAllHostsRestarted ? 1.0
                                                          : 2.0;
  const bool is_owner_lost = scenario.fault == limit_fault::kOwnerKilled ||
                             scenario.fault == limit_fault::kOwnerFrozen ||
                             scenario.fault == limit_fault::kAllHostsRestarted;
  const bool restarted = scenario.fault == limit_fault::kAllHostsRestarted;
  const auto step = [&](double now) {
    const bool restarts_now =
        scenario.fault == limit_fault::kAllHostsRestarted &&
        std::abs(now - detail::kFaultAt) < detail::kStep / 2;
    if (restarts_now)
      std::ranges::fill(allowances, limit_allowance());
    if (is_owner_lost && !second && now >= detail::kFaultAt + owner_found_after)
      second = decisions::MakeLimiter(scenario.limit, restarted, At(now));
  };
  const auto try_acquire = [&](int host, double now) {
    limit_allowance& allowance = allowances[static_cast<std::size_t>(host)];
    decisions::NoteRequest(allowance, At(now));
    limiter_state* owner = &first;
    const bool is_owner_gone = is_owner_lost && now >= detail::kFaultAt;
    // A tenth of the hosts still use the owner that was frozen, once it has
    // resumed.
    const bool is_old_owner_used =
        scenario.fault == limit_fault::kOwnerFrozen &&
        now >= detail::kFaultAt + 7 && now < detail::kFaultAt + 8 &&
        host % 10 == 0;
    if (is_owner_gone && !is_old_owner_used)
      owner = second ? &*second : nullptr;
    if (detail::IsPartitioned(scenario, host, now))
      owner = nullptr;
    auto verdict = limit_verdict::kNotOwned;
    if (owner != nullptr) {
      messages += 2;
      const decisions::limit_request request{
          std::to_string(host), scenario.tokens,
          decisions::TypicalRate(allowance, At(now))};
      const bool is_newly_started = now < 10 || (restarted && owner != &first);
      verdict = decisions::TryAcquire(*owner, scenario.limit,
                                      {1, scenario.hosts, is_newly_started},
                                      request, At(now))
                    .verdict;
    }
    if (verdict == limit_verdict::kGranted)
      decisions::NoteGranted(allowance, scenario.tokens, At(now));
    if (verdict != limit_verdict::kNotOwned)
      return verdict == limit_verdict::kGranted;
    return decisions::TryAcquireWithoutOwner(allowance, scenario.tokens,
                                             uniform(random), At(now));
  };
  return detail::SimulateScenario(scenario, try_acquire, step, messages);
}

// Each host has an equal share of the limit.
inline limit_outcome SimulateEqualShares(const limit_scenario& scenario) {
  const auto hosts = static_cast<double>(scenario.hosts);
  std::vector<decisions::token_bucket> buckets(
      static_cast<std::size_t>(scenario.hosts));
  for (auto& each : buckets) {
    each = {scenario.limit.rate / hosts, scenario.limit.burst / hosts,
            scenario.limit.burst / hosts, detail::At(0)};
  }
  const double messages = 0;
  return detail::SimulateScenario(
      scenario,
      [&](int host, double now) {
        return decisions::TryTake(buckets[static_cast<std::size_t>(host)],
                                  scenario.tokens, detail::At(now));
      },
      [](double) {}, messages);
}

// Every `exchange_interval` seconds, each host sends the tokens that it has
// granted to all others; each keeps a bucket for the whole limit from the
// counts it has received.
inline limit_outcome SimulateCountExchange(const limit_scenario& scenario,
                                           double exchange_interval) {
  struct host_view {
    double unsent = 0;
    decisions::token_bucket bucket;
  };
  std::vector<host_view> views(static_cast<std::size_t>(scenario.hosts));
  for (auto& each : views) {
    each.bucket = {scenario.limit.rate, scenario.limit.burst,
                   scenario.limit.burst, detail::At(0)};
  }
  double messages = 0;
  double last_exchange = 0;
  const auto step = [&](double now) {
    if (now - last_exchange < exchange_interval)
      return;
    last_exchange = now;
    messages += 16.0 * scenario.hosts;
    const auto is_received = [&](std::size_t from, std::size_t to) {
      return !detail::IsPartitioned(scenario, static_cast<int>(from), now) &&
             !detail::IsPartitioned(scenario, static_cast<int>(to), now);
    };
    for (std::size_t to = 0; to < views.size(); ++to) {
      decisions::Refill(views[to].bucket, detail::At(now));
      for (std::size_t from = 0; from < views.size(); ++from) {
        if (from != to && is_received(from, to))
          views[to].bucket.level -= views[from].unsent;
      }
    }
    for (auto& each : views)
      each.unsent = 0;
  };
  const auto try_acquire = [&](int host, double now) {
    host_view& view = views[static_cast<std::size_t>(host)];
    if (!decisions::TryTake(view.bucket, scenario.tokens, detail::At(now)))
      return false;
    view.unsent += scenario.tokens;
    return true;
  };
  return detail::SimulateScenario(scenario, try_acquire, step, messages);
}

}  // namespace valeledge::test

#endif  // VALELEDGE_TESTS_AUTO_DECISIONS_LIMIT_SIMULATION_H_
