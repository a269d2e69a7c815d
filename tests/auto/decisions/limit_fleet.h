// SPDX-License-Identifier: MIT
// Simulates a limit across many hosts during network partitions: each side of a
// partition chooses an owner of its own after a while.
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
#include <utility>
#include <vector>

#include "decisions/limit_queue.h"
#include "decisions/workspace_limit.h"

namespace valeledge::test {

// From `begin` to `end`, a fraction of the hosts is partitioned from the
// others.
struct fleet_partition {
  double begin = 0;
  double end = 0;
  double share = 0.3;
  // Whether the owner is among the partitioned hosts.
  bool takes_owner = false;
  // Whether the partitioned hosts cannot reach each other either.
  bool isolates_hosts = false;
};

// From `begin` to `end`, the owner's process is frozen: it does not respond and
// does not notice that time passes, and afterwards processes the requests that
// have arrived meanwhile.
struct owner_freeze {
  double begin = 0;
  double end = 0;
};

// One workspace from 0 to 34 s, overloaded from 6 to 30 s.
struct limit_fleet_scenario {
  int hosts = 69;
  catalog::workspace_limit limit;
  double typical_load = 0.45;
  double overload = 8;
  double tokens = 1500;
  std::vector<fleet_partition> partitions;
  std::vector<owner_freeze> freezes;
  // Time at which the limit falls to a tenth, if ever.
  std::optional<double> lowered_at;
  // Time at which all hosts restart, if ever.
  std::optional<double> restarted_at;
  // Maximum time in seconds by which a host considers another one dead, or
  // visible again, later than is usual.
  double max_detection_delay = 0;
  // Requests wait at the owner: every other one for up to 4 s, the others,
  // which are more urgent, for up to 80 ms.
  bool requests_wait = false;
  std::uint64_t seed = 42001;
};

struct limit_fleet_outcome {
  // Maximum tokens in 8 s, as a fraction of what operators allow.
  double worst_overrun = 0;
  // Fraction of the rate used while the workspace is overloaded and before any
  // fault.
  double used_before_faults = 0;
  // Tokens granted to partitioned hosts, as a fraction of the rate that falls
  // to these hosts.
  double used_in_partition = 0;
};

namespace detail {

// Seconds after a partition begins until a host is suspected and considered
// dead, and seconds after it ends until the host is visible again.
inline constexpr double kSuspectedAfter = 0.8;
inline constexpr double kDeadAfter = 3.2;
inline constexpr double kVisibleAfter = 0.5;
inline constexpr double kFleetStep = 0.002;
// Interval in seconds at which hosts check whether they own the limit.
inline constexpr double kOwnerUpdateInterval = 0.25;
// Interval in seconds at which a host that waits for tokens checks whether the
// owner is still the same.
inline constexpr double kWaitCheckInterval = 0.05;

inline base::time_point FleetTime(double seconds) {
  return base::time_point() +
         std::chrono::duration_cast<base::time_point::duration>(
             std::chrono::duration<double>(3600 + seconds));
}

class limit_fleet {
 public:
  explicit limit_fleet(const limit_fleet_scenario& scenario)
      : scenario_(scenario),
        random_(scenario.seed),
        hosts_(static_cast<std::size_t>(scenario.hosts)) {
    // Host 0 owns the limit; if it is not visible, the next visible host does.
    for (const fleet_partition& partition : scenario.partitions) {
      std::vector<std::size_t> side(hosts_.size(), 0);
      const auto count =
          static_cast<int>(std::lround(partition.share * scenario.hosts));
      const auto move_host = [&](std::size_t host) {
        side[host] = partition.isolates_hosts ? host + 1 : 1;
      };
      if (partition.takes_owner)
        move_host(0);
      for (int left = count - (partition.takes_owner ? 1 : 0); left > 0;) {
        const auto other = 1 + random_() % (hosts_.size() - 1);
        if (side[other] != 0)
          continue;
        move_host(other);
        --left;
      }
      sides_.push_back(std::move(side));
    }
  }

  limit_fleet_outcome Run() {
    for (double now = 0; now < 34; now += kFleetStep) {
      Restart(now);
      if (now >= next_owner_update_) {
        next_owner_update_ = now + kOwnerUpdateInterval;
        UpdateOwners(now);
      }
      if (scenario_.requests_wait)
        ServeQueues(now);
      const bool is_overloaded = now >= 6 && now < 30;
      const double rate = scenario_.limit.rate * scenario_.typical_load *
                          (is_overloaded ? scenario_.overload : 1) /
                          scenario_.tokens;
      std::poisson_distribution<int> arrivals(rate * kFleetStep);
      for (int left = arrivals(random_); left > 0; --left) {
        const std::size_t host = random_() % hosts_.size();
        if (host == 0 && IsFrozen(now))
          ++delayed_;
        else
          SendRequest(host, now);
      }
      if (!IsFrozen(now)) {
        for (; delayed_ > 0; --delayed_)
          SendRequest(0, now);
      }
    }
    out_.used_before_faults =
        granted_before_faults_ / std::max(due_before_faults_, 1.0);
    out_.used_in_partition =
        granted_in_partition_ / std::max(due_in_partition_, 1.0);
    return out_;
  }

 private:
  // A request that waits at the owner of the limit.
  struct waiting_request {
    std::size_t from = 0;
    decisions::token_wait wait;
    double until = 0;
    // The host has asked another owner meanwhile.
    bool is_abandoned = false;
  };
  struct host {
    decisions::limit_allowance allowance;
    std::optional<decisions::limiter_state> limiter;
    decisions::limit_queue queue;
    std::map<std::int64_t, waiting_request> waiting;
  };

  // Time since which two hosts cannot reach each other; nullopt if they can.
  std::optional<double> PartitionedSince(std::size_t a,
                                         std::size_t b,
                                         double now) const {
    for (std::size_t i = 0; i < sides_.size(); ++i) {
      const fleet_partition& partition = scenario_.partitions[i];
      if (now >= partition.begin && now < partition.end &&
          sides_[i][a] != sides_[i][b])
        return partition.begin;
    }
    for (const owner_freeze& freeze : scenario_.freezes) {
      const bool frozen = now >= freeze.begin && now < freeze.end;
      if (frozen && (a == 0) != (b == 0))
        return freeze.begin;
    }
    return std::nullopt;
  }

  bool IsFrozen(double now) const {
    return std::ranges::any_of(scenario_.freezes,
                               [now](const owner_freeze& each) {
                                 return now >= each.begin && now < each.end;
                               });
  }

  // Time by which a host notices changes of another one later than is usual.
  double DetectionDelay(std::size_t from, std::size_t other) const {
    std::minstd_rand random(
        static_cast<std::uint32_t>(from * hosts_.size() + other + 1));
    random.discard(3);
    return std::uniform_real_distribution<double>(
        0, scenario_.max_detection_delay)(random);
  }

  // Seconds for which a host has found another one unreachable; negative while
  // it is visible.
  double UnreachableFor(std::size_t from, std::size_t other, double now) const {
    double unreachable_for = -1;
    for (std::size_t i = 0; i < sides_.size(); ++i) {
      const fleet_partition& partition = scenario_.partitions[i];
      const bool is_apart = sides_[i][from] != sides_[i][other];
      const bool is_noticed =
          now >= partition.begin + kSuspectedAfter &&
          now < partition.end + kVisibleAfter + DetectionDelay(from, other);
      if (is_apart && is_noticed)
        unreachable_for = std::max(unreachable_for, now - partition.begin);
    }
    for (const owner_freeze& freeze : scenario_.freezes) {
      const bool is_noticed = now >= freeze.begin + kSuspectedAfter &&
                              now < freeze.end + kVisibleAfter;
      if (is_noticed && from != 0 && other == 0)
        unreachable_for = std::max(unreachable_for, now - freeze.begin);
    }
    return unreachable_for;
  }

  std::size_t OwnerFor(std::size_t from, double now) const {
    for (std::size_t each = 0; each < hosts_.size(); ++each) {
      if (UnreachableFor(from, each, now) < 0)
        return each;
    }
    return from;
  }

  double VisibleFraction(std::size_t from, double now) const {
    double visible = 0;
    for (std::size_t each = 0; each < hosts_.size(); ++each)
      visible += UnreachableFor(from, each, now) <
                         kDeadAfter + DetectionDelay(from, each)
                     ? 1
                     : 0;
    return visible / static_cast<double>(hosts_.size());
  }

  bool AreAllVisible(std::size_t from, double now) const {
    for (std::size_t each = 0; each < hosts_.size(); ++each) {
      if (UnreachableFor(from, each, now) >= 0)
        return false;
    }
    return true;
  }

  // Whether all hosts have just started.
  bool AreHostsNewlyStarted(double now) const {
    return now < 6 || (restarted_ && now < *scenario_.restarted_at + 10);
  }

  const catalog::workspace_limit& Limit(double now) {
    limit_ = scenario_.limit;
    if (scenario_.lowered_at && now >= *scenario_.lowered_at) {
      limit_.rate /= 10;
      limit_.burst /= 10;
    }
    return limit_;
  }

  void Restart(double now) {
    if (!scenario_.restarted_at || restarted_ || now < *scenario_.restarted_at)
      return;
    restarted_ = true;
    std::ranges::fill(hosts_, host());
  }

  void UpdateOwners(double now) {
    for (std::size_t each = 0; each < hosts_.size(); ++each) {
      const bool owns = OwnerFor(each, now) == each;
      auto& limiter = hosts_[each].limiter;
      if (!owns && limiter)
        Close(each, now);
      else if (!limiter)
        limiter = decisions::MakeLimiter(Limit(now), AreHostsNewlyStarted(now),
                                         FleetTime(now));
    }
  }

  decisions::limit_members MembersFor(std::size_t owner, double now) const {
    decisions::limit_members members;
    members.visible_fraction = VisibleFraction(owner, now);
    members.known = scenario_.hosts;
    members.is_newly_started = AreHostsNewlyStarted(now);
    members.is_complete = AreAllVisible(owner, now);
    return members;
  }

  // Returns whether a request is granted; nullopt while it waits.
  std::optional<bool> TryAcquire(std::size_t from,
                                 const decisions::token_wait& wait,
                                 double now) {
    host& client = hosts_[from];
    const std::size_t owner = OwnerFor(from, now);
    auto verdict = decisions::limit_verdict::kNotOwned;
    auto& limiter = hosts_[owner].limiter;
    if (limiter && !PartitionedSince(from, owner, now)) {
      const decisions::limit_members members = MembersFor(owner, now);
      const decisions::limit_request request{
          std::to_string(from), scenario_.tokens,
          decisions::TypicalRate(client.allowance, FleetTime(now))};
      if (scenario_.requests_wait) {
        const auto number =
            decisions::Enqueue(hosts_[owner].queue, *limiter, Limit(now),
                               members, request, wait, FleetTime(now));
        if (number) {
          const std::chrono::duration<double> patience = wait.patience;
          hosts_[owner].waiting[*number] = {from, wait, now + patience.count()};
          Serve(owner, now);
          return std::nullopt;
        }
        verdict = number.error().verdict;
      } else {
        verdict = decisions::TryAcquire(*limiter, Limit(now), members, request,
                                        FleetTime(now))
                      .verdict;
      }
    }
    return Evaluate(from, verdict, now);
  }

  bool Evaluate(std::size_t from,
                decisions::limit_verdict verdict,
                double now) {
    host& client = hosts_[from];
    if (verdict == decisions::limit_verdict::kExceeded)
      decisions::NoteExceeded(client.allowance, FleetTime(now));
    if (verdict == decisions::limit_verdict::kGranted)
      decisions::NoteGranted(client.allowance, scenario_.tokens,
                             FleetTime(now));
    if (verdict != decisions::limit_verdict::kNotOwned)
      return verdict == decisions::limit_verdict::kGranted;
    std::uniform_real_distribution<double> uniform(0, 1);
    return decisions::TryAcquireWithoutOwner(client.allowance, scenario_.tokens,
                                             uniform(random_), FleetTime(now));
  }

  // Answers the requests that are decided at one owner.
  void Serve(std::size_t owner, double now) {
    host& at = hosts_[owner];
    if (!at.limiter || (owner == 0 && IsFrozen(now)))
      return;
    for (const auto& [number, decision] :
         decisions::ServeQueue(at.queue, *at.limiter, Limit(now),
                               MembersFor(owner, now), FleetTime(now))) {
      const waiting_request asked = at.waiting.extract(number).mapped();
      // The reply is lost.
      if (PartitionedSince(asked.from, owner, now))
        continue;
      const bool granted =
          decision.verdict == decisions::limit_verdict::kGranted;
      if (asked.is_abandoned && granted)
        decisions::Release(*at.limiter, scenario_.tokens);
      if (!asked.is_abandoned)
        Count(asked.from, Evaluate(asked.from, decision.verdict, now), now);
    }
  }

  void ServeQueues(double now) {
    for (std::size_t each = 0; each < hosts_.size(); ++each) {
      if (!hosts_[each].queue.waiting.empty())
        Serve(each, now);
    }
    if (now < next_wait_check_)
      return;
    next_wait_check_ = now + kWaitCheckInterval;
    for (std::size_t owner = 0; owner < hosts_.size(); ++owner) {
      std::vector<waiting_request> moved;
      for (auto& [number, asked] : hosts_[owner].waiting) {
        const bool is_silent = asked.from == 0 && IsFrozen(now);
        if (asked.is_abandoned || is_silent ||
            OwnerFor(asked.from, now) == owner)
          continue;
        asked.is_abandoned = true;
        moved.push_back(asked);
      }
      for (const waiting_request& asked : moved)
        AskAgain(asked, now);
    }
  }

  // Asks the present owner with the time that is left.
  void AskAgain(waiting_request asked, double now) {
    asked.wait.patience = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::duration<double>(std::max(asked.until - now, 0.0)));
    const auto granted = TryAcquire(asked.from, asked.wait, now);
    if (granted)
      Count(asked.from, *granted, now);
  }

  // A host does not own the limit any more.
  void Close(std::size_t owner, double now) {
    host& at = hosts_[owner];
    at.limiter.reset();
    at.queue = {};
    for (const auto& [number, asked] : std::exchange(at.waiting, {})) {
      if (!asked.is_abandoned && !PartitionedSince(asked.from, owner, now))
        AskAgain(asked, now);
    }
  }

  void SendRequest(std::size_t from, double now) {
    decisions::token_wait wait{1, std::chrono::milliseconds(80)};
    if (scenario_.requests_wait && random_() % 2 == 0)
      wait = {2, std::chrono::milliseconds(4000)};
    decisions::NoteRequest(hosts_[from].allowance, FleetTime(now));
    const auto granted = TryAcquire(from, wait, now);
    if (granted)
      Count(from, *granted, now);
  }

  void Count(std::size_t from, bool granted, double now) {
    const bool is_before_faults = now > 9 && now < 12;
    const bool is_partitioned =
        now > 9 && PartitionedSince(from, 0, now).has_value();
    if (granted && is_before_faults)
      granted_before_faults_ += scenario_.tokens;
    if (granted && is_partitioned)
      granted_in_partition_ += scenario_.tokens;
    if (is_before_faults)
      due_before_faults_ = scenario_.limit.rate * 3;
    if (is_partitioned && now > due_counted_until_) {
      const auto partitioned_hosts =
          std::ranges::count_if(hosts_, [&](const host& each) {
            const auto index = static_cast<std::size_t>(&each - hosts_.data());
            return PartitionedSince(index, 0, now).has_value();
          });
      due_in_partition_ += (now - std::max(due_counted_until_, now - 0.05)) *
                           scenario_.limit.rate *
                           static_cast<double>(partitioned_hosts) /
                           static_cast<double>(hosts_.size());
      due_counted_until_ = now;
    }
    if (!granted)
      return;
    // Requests granted before the limit was lowered count against the previous
    // limit.
    granted_.emplace_back(now, scenario_.tokens);
    granted_in_window_ += scenario_.tokens;
    while (granted_.front().first < now - 8) {
      granted_in_window_ -= granted_.front().second;
      granted_.pop_front();
    }
    const bool was_lowered =
        scenario_.lowered_at && now >= *scenario_.lowered_at + 8;
    const auto& limit = was_lowered ? Limit(now) : scenario_.limit;
    const double allowed = (limit.rate * 8 + limit.burst) * 1.1 + 11'000;
    out_.worst_overrun =
        std::max(out_.worst_overrun, granted_in_window_ / allowed);
  }

  const limit_fleet_scenario& scenario_;
  std::mt19937_64 random_;
  std::vector<host> hosts_;
  std::vector<std::vector<std::size_t>> sides_;
  catalog::workspace_limit limit_;
  limit_fleet_outcome out_;
  std::deque<std::pair<double, double>> granted_;
  double granted_in_window_ = 0;
  // Requests that arrived at a frozen owner.
  int delayed_ = 0;
  double next_owner_update_ = 0;
  double next_wait_check_ = 0;
  bool restarted_ = false;
  double granted_before_faults_ = 0;
  double due_before_faults_ = 0;
  double granted_in_partition_ = 0;
  double due_in_partition_ = 0;
  double due_counted_until_ = 0;
};

}  // namespace detail

inline limit_fleet_outcome SimulateLimitFleet(
    const limit_fleet_scenario& scenario) {
  return detail::limit_fleet(scenario).Run();
}

}  // namespace valeledge::test

#endif  // VALELEDGE_TESTS_AUTO_DECISIONS_LIMIT_FLEET_H_
