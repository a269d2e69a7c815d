// SPDX-License-Identifier: MIT
// Hosts that mirror one store and exchange snapshots, in virtual time. Hosts
// are frozen, restarted, cut off and refused by the store at random, while keys
// are created and deleted.
#ifndef VALELEDGE_TESTS_AUTO_HOST_MIRROR_FLEET_H_
#define VALELEDGE_TESTS_AUTO_HOST_MIRROR_FLEET_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "decisions/response_age.h"
#include "host/process/mirrored_keys.h"

namespace valeledge::test {

using namespace std::chrono_literals;

struct fleet_shape {
  std::size_t zones = 3;
  std::size_t hosts_per_zone = 3;
  // This share of the hosts, the first of each zone among them, is disturbed.
  double disturbed_share = 0.4;
  std::size_t keys = 30;
};

class mirror_fleet {
 public:
  mirror_fleet(const fleet_shape& shape, std::uint64_t seed)
      : shape_(shape), random_(seed) {
    for (std::size_t i = 0; i < shape.keys; ++i)
      CreateKey();
    hosts_.resize(shape.zones * shape.hosts_per_zone);
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      hosts_[i].zone = i % shape.zones;
      hosts_[i].is_disturbed = i < shape.zones || Chance(shape.disturbed_share);
      Restart(hosts_[i]);
    }
  }

  // Makes the store unavailable to all hosts. Meanwhile some keys expire; their
  // owners create them again 1.7 s after its return.
  void BreakStore(std::chrono::milliseconds duration) {
    store_down_until_ = now_ + duration;
    std::vector<std::string> expired;
    for (int i = 0; i < 5; ++i) {
      DeleteKey();
      expired.push_back(changes_.back().key);
      deleted_at_.erase(expired.back());
      expired_.insert(expired.back());
    }
    Rest(duration + 1700ms);
    for (const std::string& each : expired)
      CreateKey(each);
    Rest(500ms);
    expired_.clear();
  }

  // Disturbs the fleet for a time, and lets it come to rest.
  void Run(std::chrono::milliseconds disturbed,
           std::chrono::milliseconds rest) {
    const auto quiet_from = now_ + disturbed;
    while (now_ < quiet_from) {
      Disturb();
      AdvanceTime();
    }
    EndDisturbances();
    Rest(rest);
  }
  void Rest(std::chrono::milliseconds duration) {
    for (const auto end = now_ + duration; now_ < end;)
      AdvanceTime();
  }

  // Number of hosts whose keys differ from those of the store.
  std::ptrdiff_t CountDiverged() const {
    return std::ranges::count_if(hosts_, [this](const simulated_host& each) {
      return std::ranges::any_of(created_, [&](const std::string& key) {
        return each.process->keys.Value(key).has_value() !=
               store_.contains(key);
      });
    });
  }
  // Deleted keys that hosts without disturbances used for more than two seconds
  // after the deletion.
  const std::set<std::string>& used_too_long() const { return used_too_long_; }
  // Keys that expired during an outage of the store and that some host did not
  // use all the time.
  const std::set<std::string>& missed() const { return missed_; }
  // Snapshots of all keys, and of changes alone, that hosts have sent.
  std::int64_t whole_snapshots() const { return whole_snapshots_; }
  std::int64_t change_snapshots() const { return change_snapshots_; }

 private:
  static constexpr auto kStep = 10ms;
  static constexpr auto kTakeover = 1100ms;
  static constexpr auto kReportInterval = 250ms;
  static constexpr auto kForcedRead = 2500ms;
  static constexpr auto kMaxWatch = 650ms;
  static constexpr auto kMaxUse = 2s;

  // Lost when a host restarts.
  struct process_state {
    explicit process_state(host::mirrored_keys_events events)
        : keys(std::move(events)) {}
    host::mirrored_keys keys;
    // Until when the owners of deleted keys are used.
    std::map<std::string, base::time_point> lapsed_until;
    decisions::response_ages ages;
    base::time_point failed_at{};
    base::time_point responded_at{};
    base::time_point next_call_at{};
    base::time_point next_report_at{};
    std::chrono::milliseconds retry_delay{50};
  };

  struct simulated_host {
    std::size_t zone = 0;
    bool is_disturbed = false;
    std::unique_ptr<process_state> process;
    base::time_point frozen_until{};
    base::time_point stopped_until{};
    base::time_point cut_until{};
    base::time_point refused_until{};
    base::time_point ran_at{};
  };

  struct store_change {
    std::string key;
    std::int64_t revision = 0;
    bool is_deletion = false;
  };

  struct sent_snapshot {
    base::time_point at;
    simulated_host* to = nullptr;
    process_state* process = nullptr;
    wire::mirror_copy snapshot;
  };

  bool Chance(double share) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
  }
  std::chrono::milliseconds Between(std::chrono::milliseconds from,
                                    std::chrono::milliseconds to) {
    return std::chrono::milliseconds(
        std::uniform_int_distribution<std::int64_t>(from.count(),
                                                    to.count())(random_));
  }

  void CreateKey() {
    created_.push_back("key/" + std::to_string(created_.size()));
    CreateKey(created_.back());
  }
  void CreateKey(const std::string& key) {
    store_[key] = ++revision_;
    changes_.push_back({key, revision_, false});
  }

  void DeleteKey() {
    auto deleted = store_.begin();
    std::advance(deleted, std::uniform_int_distribution<std::size_t>(
                              0, store_.size() - 1)(random_));
    changes_.push_back({deleted->first, ++revision_, true});
    deleted_at_[deleted->first] = now_;
    store_.erase(deleted);
  }

  // The average interval is 150 ms for changes, and 300 ms for disturbances.
  void Disturb() {
    if (Chance(kStep / 150.0ms)) {
      DeleteKey();
      CreateKey();
    }
    if (!Chance(kStep / 300.0ms))
      return;
    simulated_host& host = hosts_[std::uniform_int_distribution<std::size_t>(
        0, hosts_.size() - 1)(random_)];
    if (!host.is_disturbed)
      return;
    switch (std::uniform_int_distribution<int>(0, 3)(random_)) {
      case 0:
        host.frozen_until = now_ + Between(500ms, 3s);
        break;
      case 1:
        host.stopped_until = now_ + Between(200ms, 1s);
        Restart(host);
        break;
      case 2:
        host.cut_until = now_ + Between(500ms, 3s);
        break;
      default:
        host.refused_until = now_ + Between(1s, 5s);
    }
  }

  void EndDisturbances() {
    for (simulated_host& each : hosts_) {
      for (base::time_point* until : {&each.frozen_until, &each.stopped_until,
                                      &each.cut_until, &each.refused_until})
        *until = std::min(*until, now_);
    }
  }

  void Restart(simulated_host& host) {
    host::mirrored_keys_events events;
    events.put = [](const auto&, const auto&) {};
    events.removed = [&host](const std::string& key, auto lapsed_until) {
      if (lapsed_until)
        host.process->lapsed_until[key] = *lapsed_until;
    };
    events.advanced = [](std::int64_t) {};
    events.lapsed_until = [this, &host] {
      return decisions::LapsedUntil(host.process->ages, now_);
    };
    host.process = std::make_unique<process_state>(std::move(events));
    host.process->ages.own.origin = ++processes_;
    host.process->next_report_at = now_ + Between(0ms, kReportInterval);
  }

  bool IsRunning(const simulated_host& host) const {
    return now_ >= host.frozen_until && now_ >= host.stopped_until;
  }

  // The store refuses a host for six tenths of each second.
  bool IsServed(const simulated_host& host) const {
    const bool refused =
        now_ < host.refused_until && now_.time_since_epoch() % 1s < 600ms;
    return now_ >= host.cut_until && now_ >= store_down_until_ && !refused;
  }

  // One host a zone follows the store; a silent one is replaced after a second.
  bool IsFollower(const simulated_host& host) const {
    const auto chosen =
        std::ranges::find_if(hosts_, [&](const simulated_host& each) {
          return each.zone == host.zone && now_ - each.ran_at < 1s;
        });
    return chosen != hosts_.end() && &*chosen == &host;
  }

  void AdvanceTime() {
    now_ += kStep;
    for (simulated_host& each : hosts_) {
      if (IsRunning(each))
        Step(each);
    }
    Deliver();
    CheckUse();
  }

  static bool Uses(const process_state& process,
                   const std::string& key,
                   base::time_point now) {
    const auto lapsed = process.lapsed_until.find(key);
    return process.keys.Value(key) ||
           (lapsed != process.lapsed_until.end() && now < lapsed->second);
  }

  void CheckUse() {
    for (const simulated_host& host : hosts_) {
      if (host.is_disturbed)
        continue;
      for (const auto& [key, deleted_at] : deleted_at_) {
        if (now_ - deleted_at > kMaxUse && Uses(*host.process, key, now_))
          used_too_long_.insert(key);
      }
      for (const std::string& key : expired_) {
        if (!Uses(*host.process, key, now_))
          missed_.insert(key);
      }
    }
  }

  void Step(simulated_host& host) {
    process_state& process = *host.process;
    host.ran_at = now_;
    const bool others_follow =
        process.keys.revision() > 0 &&
        decisions::OthersRespondedWithin(process.ages, kTakeover, now_);
    const bool reads = IsFollower(host) || !others_follow;
    if (reads && now_ >= process.next_call_at)
      CallStore(host);
    if (now_ >= process.next_report_at && now_ >= host.cut_until) {
      process.next_report_at = now_ + kReportInterval;
      Report(host);
    }
  }

  void CallStore(simulated_host& host) {
    process_state& process = *host.process;
    if (!IsServed(host)) {
      process.failed_at = now_;
      process.next_call_at =
          now_ + Between(process.retry_delay / 2, process.retry_delay);
      process.retry_delay =
          std::min<std::chrono::milliseconds>(process.retry_delay * 2, 600ms);
      return;
    }
    process.retry_delay = 50ms;
    const bool failed = process.failed_at != base::time_point() &&
                        now_ - process.failed_at < kForcedRead;
    const std::int64_t since = process.keys.revision();
    const bool must_read = since == 0 || failed;
    // A watch responds to changes, or after its maximum duration.
    if (!must_read && since == revision_ &&
        now_ - process.responded_at < kMaxWatch)
      return;
    decisions::RecordOwnResponse(process.ages, IsFollower(host), now_);
    process.responded_at = now_;
    process.failed_at = {};
    process.next_call_at = now_ + 200ms;
    if (must_read) {
      std::map<std::string, host::mirrored_value> all;
      for (const auto& [key, revision] : store_)
        all[key] = {"value", revision, {}};
      process.keys.Replace(std::move(all), revision_);
      return;
    }
    for (const store_change& each : changes_) {
      if (each.revision <= since)
        continue;
      if (each.is_deletion)
        process.keys.Remove(each.key, each.revision, false);
      else
        process.keys.Put(each.key, {"value", each.revision, {}}, revision_);
    }
    process.keys.Advance(revision_);
  }

  // Reports are lost at times. A host with an older revision requests a
  // snapshot unless it follows the store itself.
  void Report(simulated_host& from) {
    const auto response = decisions::ReportNewest(from.process->ages, now_);
    for (simulated_host& to : hosts_) {
      if (&to == &from || !IsRunning(to) || now_ < to.cut_until || Chance(0.05))
        continue;
      if (response)
        decisions::RecordReportedResponse(to.process->ages, *response, now_);
      const bool is_current =
          IsFollower(to) && now_ - to.process->responded_at < 400ms;
      if (is_current ||
          to.process->keys.revision() >= from.process->keys.revision())
        continue;
      wire::mirror_request request;
      request.since = to.process->keys.revision();
      sent_snapshot sent{now_ + Between(0ms, 120ms), &to, to.process.get(),
                         from.process->keys.SnapshotFor(request)};
      ++(sent.snapshot.whole ? whole_snapshots_ : change_snapshots_);
      sent_.push_back(std::move(sent));
    }
  }

  void Deliver() {
    std::erase_if(sent_, [this](const sent_snapshot& each) {
      if (now_ < each.at || now_ < each.to->frozen_until)
        return false;
      const bool arrives =
          each.process == each.to->process.get() && now_ >= each.to->cut_until;
      if (arrives)
        each.to->process->keys.Apply(each.snapshot);
      return true;
    });
  }

  fleet_shape shape_;
  std::mt19937_64 random_;
  base::time_point now_{100s};
  std::map<std::string, std::int64_t> store_;
  std::vector<std::string> created_;
  std::map<std::string, base::time_point> deleted_at_;
  std::set<std::string> expired_;
  std::set<std::string> used_too_long_;
  std::set<std::string> missed_;
  base::time_point store_down_until_{};
  std::vector<store_change> changes_;
  std::int64_t revision_ = 0;
  std::int64_t processes_ = 0;
  std::vector<simulated_host> hosts_;
  std::vector<sent_snapshot> sent_;
  std::int64_t whole_snapshots_ = 0;
  std::int64_t change_snapshots_ = 0;
};

}  // namespace valeledge::test

#endif  // VALELEDGE_TESTS_AUTO_HOST_MIRROR_FLEET_H_
