// SPDX-License-Identifier: MIT
// Ways to keep a limit over many hosts, played in virtual time: requests come
// to hosts at random, messages take their time, and hosts get into trouble.
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

enum class limit_trouble {
  kNone,
  // A third of the hosts hear nobody, and nobody hears them.
  kCutThird,
  // The owner ends; the next is found two seconds later.
  kOwnerKilled,
  // The owner answers nobody for 7 s, then goes on; doubted after 1.5 s.
  kOwnerFrozen,
  // All hosts end, and remember nothing; an owner is found after a second.
  kAllRestarted,
};

// One workspace from 0 to 30 s, hot from 10 to 22 s; trouble comes at 14 s.
struct limit_day {
  int hosts = 69;
  catalog::workspace_limit limit;
  // Part of its rate that the workspace usually asks for, and what it asks for
  // times that while it is hot.
  double usual = 0.45;
  double hot = 7.5;
  double tokens = 1500;
  limit_trouble trouble = limit_trouble::kNone;
  std::uint64_t seed = 35003;
};

struct limit_outcome {
  // Most tokens in 8 s, as a part of what operators allow: the limit with a
  // tenth more, and 11,000.
  double worst_overrun = 0;
  // Of the rate, while the workspace asks for more, in the last 4 s of it.
  double used_when_hot = 0;
  // Of the requests that one bucket for all would have let through, before the
  // workspace is hot and three seconds after.
  double refused_below = 0;
  // Messages between hosts for each request.
  double messages = 0;
};

namespace detail {

inline constexpr double kStep = 0.002;
inline constexpr double kLength = 30;
inline constexpr double kHotFrom = 10;
inline constexpr double kHotTo = 22;
inline constexpr double kTroubleAt = 14;

inline base::time_point At(double seconds) {
  return base::time_point() +
         std::chrono::duration_cast<base::time_point::duration>(
             std::chrono::duration<double>(3600 + seconds));
}

// Counts what a way lets through.
class limit_scorer {
 public:
  explicit limit_scorer(const limit_day& day) : day_(day) {
    exact_ = {day.limit.rate, day.limit.burst, day.limit.burst, At(0)};
  }

  void Note(double now, bool granted) {
    if (now < 2)
      return;
    const bool is_hot = now >= kHotFrom && now < kHotTo;
    const bool in_trouble =
        day_.trouble != limit_trouble::kNone && now >= kTroubleAt;
    // After it was hot its callers are done only a little later.
    const bool calm = !is_hot && !in_trouble && (now < kHotFrom || now > 25);
    decisions::Refill(exact_, At(now));
    const bool has_room = exact_.level >= day_.tokens;
    if (granted)
      exact_.level -= day_.tokens;
    if (calm && has_room) {
      ++calm_;
      refused_ += granted ? 0 : 1;
    }
    if (!granted)
      return;
    given_.emplace_back(now, day_.tokens);
    sum_ += day_.tokens;
    while (given_.front().first < now - 8) {
      sum_ -= given_.front().second;
      given_.pop_front();
    }
    const double allowed =
        (day_.limit.rate * 8 + day_.limit.burst) * 1.1 + 11'000;
    out_.worst_overrun = std::max(out_.worst_overrun, sum_ / allowed);
    if (now >= kHotTo - 4 && now < kHotTo)
      hot_given_ += day_.tokens;
  }

  limit_outcome Finish(double messages, double requests) {
    out_.used_when_hot = hot_given_ / (day_.limit.rate * 4);
    out_.refused_below = calm_ > 0 ? refused_ / calm_ : 0;
    out_.messages = messages / std::max(requests, 1.0);
    return out_;
  }

 private:
  const limit_day& day_;
  limit_outcome out_;
  // What one bucket for all hosts would have left.
  decisions::token_bucket exact_;
  std::deque<std::pair<double, double>> given_;
  double sum_ = 0;
  double calm_ = 0;
  double refused_ = 0;
  double hot_given_ = 0;
};

// Calls `ask` (host, time) for each request of a day; true if it is granted.
template <typename client, typename stepper>
limit_outcome PlayDay(const limit_day& day,
                      const client& ask,
                      const stepper& step,
                      const double& messages) {
  std::mt19937_64 random(day.seed);
  limit_scorer scorer(day);
  double requests = 0;
  for (double now = 0; now < kLength; now += kStep) {
    step(now);
    const bool is_hot = now >= kHotFrom && now < kHotTo;
    const double rate =
        day.limit.rate * day.usual * (is_hot ? day.hot : 1) / day.tokens;
    std::poisson_distribution<int> arrivals(rate * kStep);
    std::uniform_int_distribution<int> host(0, day.hosts - 1);
    for (int left = arrivals(random); left > 0; --left) {
      ++requests;
      scorer.Note(now, ask(host(random), now));
    }
  }
  return scorer.Finish(messages, requests);
}

inline bool IsCut(const limit_day& day, int host, double now) {
  return day.trouble == limit_trouble::kCutThird && host % 3 == 1 &&
         now >= kTroubleAt;
}

}  // namespace detail

// One owner for the limit, asked for each request.
inline limit_outcome PlayOwner(const limit_day& day) {
  using decisions::limit_allowance;
  using decisions::limit_verdict;
  using decisions::limiter_state;
  using detail::At;
  std::mt19937_64 random(day.seed + 1);
  std::uniform_real_distribution<double> any(0, 1);
  std::vector<limit_allowance> allowances(static_cast<std::size_t>(day.hosts));
  double messages = 0;
  // The owner before the trouble, and the one after it.
  limiter_state first = decisions::MakeLimiter(day.limit, true, At(0));
  std::optional<limiter_state> second;
  const double found = day.trouble == limit_trouble::kOwnerFrozen    ? 1.5
                       : day.trouble == limit_trouble::kAllRestarted ? 1.0
                                                                     : 2.0;
  const bool loses_owner = day.trouble == limit_trouble::kOwnerKilled ||
                           day.trouble == limit_trouble::kOwnerFrozen ||
                           day.trouble == limit_trouble::kAllRestarted;
  const bool restarted = day.trouble == limit_trouble::kAllRestarted;
  const auto step = [&](double now) {
    const bool struck = day.trouble == limit_trouble::kAllRestarted &&
                        std::abs(now - detail::kTroubleAt) < detail::kStep / 2;
    if (struck)
      std::ranges::fill(allowances, limit_allowance());
    if (loses_owner && !second && now >= detail::kTroubleAt + found)
      second = decisions::MakeLimiter(day.limit, restarted, At(now));
  };
  const auto ask = [&](int host, double now) {
    limit_allowance& allowance = allowances[static_cast<std::size_t>(host)];
    decisions::NoteRequest(allowance, At(now));
    limiter_state* owner = &first;
    const bool lost = loses_owner && now >= detail::kTroubleAt;
    // A tenth of the hosts still ask the one that was frozen once it is back.
    const bool back = day.trouble == limit_trouble::kOwnerFrozen &&
                      now >= detail::kTroubleAt + 7 &&
                      now < detail::kTroubleAt + 8 && host % 10 == 0;
    if (lost && !back)
      owner = second ? &*second : nullptr;
    if (detail::IsCut(day, host, now))
      owner = nullptr;
    auto verdict = limit_verdict::kNotOwned;
    if (owner != nullptr) {
      messages += 2;
      const decisions::limit_request request{
          std::to_string(host), day.tokens,
          decisions::UsualRate(allowance, At(now))};
      const bool is_fresh = now < 10 || (restarted && owner != &first);
      verdict =
          decisions::TryAcquire(*owner, day.limit, {1, day.hosts, is_fresh},
                                request, At(now))
              .verdict;
    }
    if (verdict == limit_verdict::kGranted)
      decisions::NoteGranted(allowance, day.tokens, At(now));
    if (verdict != limit_verdict::kNotOwned)
      return verdict == limit_verdict::kGranted;
    return decisions::TryAcquireWithoutOwner(allowance, day.tokens, any(random),
                                             At(now));
  };
  return detail::PlayDay(day, ask, step, messages);
}

// Each host has an equal part of the limit for itself.
inline limit_outcome PlayEqualParts(const limit_day& day) {
  const auto hosts = static_cast<double>(day.hosts);
  std::vector<decisions::token_bucket> buckets(
      static_cast<std::size_t>(day.hosts));
  for (auto& each : buckets) {
    each = {day.limit.rate / hosts, day.limit.burst / hosts,
            day.limit.burst / hosts, detail::At(0)};
  }
  const double messages = 0;
  return detail::PlayDay(
      day,
      [&](int host, double now) {
        return decisions::TryTake(buckets[static_cast<std::size_t>(host)],
                                  day.tokens, detail::At(now));
      },
      [](double) {}, messages);
}

// Hosts tell each other what they have let through, each all others in
// `spread` seconds; each keeps the whole bucket as far as it knows.
inline limit_outcome PlaySpreadCounts(const limit_day& day, double spread) {
  struct host_view {
    double own_untold = 0;
    decisions::token_bucket bucket;
  };
  std::vector<host_view> views(static_cast<std::size_t>(day.hosts));
  for (auto& each : views) {
    each.bucket = {day.limit.rate, day.limit.burst, day.limit.burst,
                   detail::At(0)};
  }
  double messages = 0;
  double told_at = 0;
  const auto step = [&](double now) {
    if (now - told_at < spread)
      return;
    told_at = now;
    messages += 16.0 * day.hosts;
    const auto told = [&](std::size_t from, std::size_t to) {
      return !detail::IsCut(day, static_cast<int>(from), now) &&
             !detail::IsCut(day, static_cast<int>(to), now);
    };
    for (std::size_t to = 0; to < views.size(); ++to) {
      decisions::Refill(views[to].bucket, detail::At(now));
      for (std::size_t from = 0; from < views.size(); ++from) {
        if (from != to && told(from, to))
          views[to].bucket.level -= views[from].own_untold;
      }
    }
    for (auto& each : views)
      each.own_untold = 0;
  };
  const auto ask = [&](int host, double now) {
    host_view& view = views[static_cast<std::size_t>(host)];
    if (!decisions::TryTake(view.bucket, day.tokens, detail::At(now)))
      return false;
    view.own_untold += day.tokens;
    return true;
  };
  return detail::PlayDay(day, ask, step, messages);
}

}  // namespace valeledge::test

#endif  // VALELEDGE_TESTS_AUTO_DECISIONS_LIMIT_SIMULATION_H_
