// SPDX-License-Identifier: MIT
// A limit over many hosts that lose sight of each other, played in virtual
// time: each side of a cut finds an owner of its own after a while.
#ifndef VALELEDGE_TESTS_AUTO_DECISIONS_LIMIT_FLEET_H_
#define VALELEDGE_TESTS_AUTO_DECISIONS_LIMIT_FLEET_H_

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "decisions/workspace_limit.h"

namespace valeledge::test {

// From `begin` to `end`, a part of the hosts is cut off from the others.
struct fleet_cut {
  double begin = 0;
  double end = 0;
  double share = 0.3;
  // Whether the owner is among those that are cut off.
  bool takes_owner = false;
  // Whether those that are cut off do not reach each other either.
  bool isolates = false;
};

// From `begin` to `end`, the owner's process is frozen: it answers nothing,
// does not notice that time passes, and then takes up what has come meanwhile.
struct owner_freeze {
  double begin = 0;
  double end = 0;
};

// One workspace from 0 to 34 s, hot from 6 to 30 s.
struct limit_fleet_day {
  int hosts = 69;
  catalog::workspace_limit limit;
  double usual = 0.45;
  double hot = 8;
  double tokens = 1500;
  std::vector<fleet_cut> cuts;
  std::vector<owner_freeze> freezes;
  // When the limit falls to a tenth, if ever.
  std::optional<double> lowered_at;
  // When all hosts start again, if ever.
  std::optional<double> restarted_at;
  std::uint64_t seed = 42001;
};

struct limit_fleet_outcome {
  // Most tokens in 8 s, as a part of what operators allow.
  double worst_overrun = 0;
  // Of the rate, while the workspace is hot and nothing is cut.
  double used_when_calm = 0;
  // Of the requests of hosts that are cut off, those that were let through, as
  // a part of the rate that falls to these hosts.
  double used_when_cut = 0;
};

namespace detail {

// Another host is doubted, and dead, so long after it was cut off; it is seen
// again so long after the cut has healed.
inline constexpr double kDoubtedAfter = 0.8;
inline constexpr double kDeadAfter = 3.2;
inline constexpr double kSeenAfter = 0.5;
inline constexpr double kFleetStep = 0.002;
// Owners look so often whether they are still chosen.
inline constexpr double kRoll = 0.25;

inline base::time_point FleetTime(double seconds) {
  return base::time_point() +
         std::chrono::duration_cast<base::time_point::duration>(
             std::chrono::duration<double>(3600 + seconds));
}

class limit_fleet {
 public:
  explicit limit_fleet(const limit_fleet_day& day)
      : day_(day),
        random_(day.seed),
        hosts_(static_cast<std::size_t>(day.hosts)) {
    // Host 0 owns the limit; the next ones do when it is not there.
    for (const fleet_cut& cut : day.cuts) {
      std::vector<std::size_t> side(hosts_.size(), 0);
      const auto count = static_cast<int>(std::lround(cut.share * day.hosts));
      const auto cut_off = [&](std::size_t host) {
        side[host] = cut.isolates ? host + 1 : 1;
      };
      if (cut.takes_owner)
        cut_off(0);
      for (int left = count - (cut.takes_owner ? 1 : 0); left > 0;) {
        const auto any = 1 + random_() % (hosts_.size() - 1);
        if (side[any] != 0)
          continue;
        cut_off(any);
        --left;
      }
      sides_.push_back(std::move(side));
    }
  }

  limit_fleet_outcome Play() {
    for (double now = 0; now < 34; now += kFleetStep) {
      Restart(now);
      if (now >= next_roll_) {
        next_roll_ = now + kRoll;
        Roll(now);
      }
      const bool is_hot = now >= 6 && now < 30;
      const double rate =
          day_.limit.rate * day_.usual * (is_hot ? day_.hot : 1) / day_.tokens;
      std::poisson_distribution<int> arrivals(rate * kFleetStep);
      for (int left = arrivals(random_); left > 0; --left) {
        const std::size_t host = random_() % hosts_.size();
        if (host == 0 && IsFrozen(now))
          ++held_up_;
        else
          Note(host, now);
      }
      if (!IsFrozen(now)) {
        for (; held_up_ > 0; --held_up_)
          Note(0, now);
      }
    }
    out_.used_when_calm = calm_given_ / std::max(calm_due_, 1.0);
    out_.used_when_cut = cut_given_ / std::max(cut_due_, 1.0);
    return out_;
  }

 private:
  struct host {
    decisions::limit_allowance allowance;
    std::optional<decisions::limiter_state> account;
  };

  // Whether two hosts reach each other now, and since when they do not.
  std::optional<double> ApartSince(std::size_t a,
                                   std::size_t b,
                                   double now) const {
    for (std::size_t i = 0; i < sides_.size(); ++i) {
      const fleet_cut& cut = day_.cuts[i];
      if (now >= cut.begin && now < cut.end && sides_[i][a] != sides_[i][b])
        return cut.begin;
    }
    for (const owner_freeze& freeze : day_.freezes) {
      const bool frozen = now >= freeze.begin && now < freeze.end;
      if (frozen && (a == 0) != (b == 0))
        return freeze.begin;
    }
    return std::nullopt;
  }

  bool IsFrozen(double now) const {
    return std::ranges::any_of(day_.freezes, [now](const owner_freeze& each) {
      return now >= each.begin && now < each.end;
    });
  }

  // For how long a host has not seen another, as it notices it; negative while
  // it sees it.
  double UnseenFor(std::size_t from, std::size_t other, double now) const {
    double unseen = -1;
    for (std::size_t i = 0; i < sides_.size(); ++i) {
      const fleet_cut& cut = day_.cuts[i];
      const bool apart = sides_[i][from] != sides_[i][other];
      const bool noticed =
          now >= cut.begin + kDoubtedAfter && now < cut.end + kSeenAfter;
      if (apart && noticed)
        unseen = std::max(unseen, now - cut.begin);
    }
    for (const owner_freeze& freeze : day_.freezes) {
      const bool noticed =
          now >= freeze.begin + kDoubtedAfter && now < freeze.end + kSeenAfter;
      if (noticed && from != 0 && other == 0)
        unseen = std::max(unseen, now - freeze.begin);
    }
    return unseen;
  }

  std::size_t OwnerFor(std::size_t from, double now) const {
    for (std::size_t each = 0; each < hosts_.size(); ++each) {
      if (UnseenFor(from, each, now) < 0)
        return each;
    }
    return from;
  }

  double VisibleFraction(std::size_t from, double now) const {
    double seen = 0;
    for (std::size_t each = 0; each < hosts_.size(); ++each)
      seen += UnseenFor(from, each, now) < kDeadAfter ? 1 : 0;
    return seen / static_cast<double>(hosts_.size());
  }

  bool IsWhole(std::size_t from, double now) const {
    for (std::size_t each = 0; each < hosts_.size(); ++each) {
      if (UnseenFor(from, each, now) >= 0)
        return false;
    }
    return true;
  }

  // Whether all hosts have just started.
  bool IsFresh(double now) const {
    return now < 6 || (restarted_ && now < *day_.restarted_at + 10);
  }

  const catalog::workspace_limit& Limit(double now) {
    limit_ = day_.limit;
    if (day_.lowered_at && now >= *day_.lowered_at) {
      limit_.rate /= 10;
      limit_.burst /= 10;
    }
    return limit_;
  }

  void Restart(double now) {
    if (!day_.restarted_at || restarted_ || now < *day_.restarted_at)
      return;
    restarted_ = true;
    std::ranges::fill(hosts_, host());
  }

  void Roll(double now) {
    for (std::size_t each = 0; each < hosts_.size(); ++each) {
      const bool owns = OwnerFor(each, now) == each;
      auto& account = hosts_[each].account;
      if (!owns)
        account.reset();
      else if (!account)
        account =
            decisions::MakeLimiter(Limit(now), IsFresh(now), FleetTime(now));
    }
  }

  bool Ask(std::size_t from, double now) {
    host& client = hosts_[from];
    decisions::NoteRequest(client.allowance, FleetTime(now));
    const std::size_t owner = OwnerFor(from, now);
    auto verdict = decisions::limit_verdict::kNotOwned;
    auto& account = hosts_[owner].account;
    if (account && !ApartSince(from, owner, now)) {
      decisions::limit_members members;
      members.visible_fraction = VisibleFraction(owner, now);
      members.known = day_.hosts;
      members.is_fresh = IsFresh(now);
      members.is_whole = IsWhole(owner, now);
      const decisions::limit_request request{
          std::to_string(from), day_.tokens,
          decisions::UsualRate(client.allowance, FleetTime(now))};
      verdict = decisions::TryAcquire(*account, Limit(now), members, request,
                                      FleetTime(now))
                    .verdict;
    }
    if (verdict == decisions::limit_verdict::kExceeded)
      decisions::NoteExceeded(client.allowance, FleetTime(now));
    if (verdict == decisions::limit_verdict::kGranted)
      decisions::NoteGranted(client.allowance, day_.tokens, FleetTime(now));
    if (verdict != decisions::limit_verdict::kNotOwned)
      return verdict == decisions::limit_verdict::kGranted;
    std::uniform_real_distribution<double> any(0, 1);
    return decisions::TryAcquireWithoutOwner(client.allowance, day_.tokens,
                                             any(random_), FleetTime(now));
  }

  void Note(std::size_t from, double now) {
    const bool granted = Ask(from, now);
    const bool calm = now > 9 && now < 12;
    const bool cut = now > 9 && ApartSince(from, 0, now).has_value();
    if (granted && calm)
      calm_given_ += day_.tokens;
    if (granted && cut)
      cut_given_ += day_.tokens;
    if (calm)
      calm_due_ = day_.limit.rate * 3;
    if (cut && now > counted_) {
      const auto apart = std::ranges::count_if(hosts_, [&](const host& each) {
        const auto index = static_cast<std::size_t>(&each - hosts_.data());
        return ApartSince(index, 0, now).has_value();
      });
      cut_due_ += (now - std::max(counted_, now - 0.05)) * day_.limit.rate *
                  static_cast<double>(apart) /
                  static_cast<double>(hosts_.size());
      counted_ = now;
    }
    if (!granted)
      return;
    // What was sent before a limit is lowered counts by the limit of then.
    given_.emplace_back(now, day_.tokens);
    sum_ += day_.tokens;
    while (given_.front().first < now - 8) {
      sum_ -= given_.front().second;
      given_.pop_front();
    }
    const bool was_lowered = day_.lowered_at && now >= *day_.lowered_at + 8;
    const auto& limit = was_lowered ? Limit(now) : day_.limit;
    const double allowed = (limit.rate * 8 + limit.burst) * 1.1 + 11'000;
    out_.worst_overrun = std::max(out_.worst_overrun, sum_ / allowed);
  }

  const limit_fleet_day& day_;
  std::mt19937_64 random_;
  std::vector<host> hosts_;
  std::vector<std::vector<std::size_t>> sides_;
  catalog::workspace_limit limit_;
  limit_fleet_outcome out_;
  std::deque<std::pair<double, double>> given_;
  double sum_ = 0;
  // Requests that came to a frozen owner.
  int held_up_ = 0;
  double next_roll_ = 0;
  bool restarted_ = false;
  double calm_given_ = 0;
  double calm_due_ = 0;
  double cut_given_ = 0;
  double cut_due_ = 0;
  double counted_ = 0;
};

}  // namespace detail

inline limit_fleet_outcome PlayLimitFleet(const limit_fleet_day& day) {
  return detail::limit_fleet(day).Play();
}

}  // namespace valeledge::test

#endif  // VALELEDGE_TESTS_AUTO_DECISIONS_LIMIT_FLEET_H_
