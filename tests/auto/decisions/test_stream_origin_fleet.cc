// SPDX-License-Identifier: MIT
// Streams of a whole fleet in virtual time: hosts are killed or cut off, their
// views of each other and of the versions differ, and messages are late or
// lost. Callers take broken streams up again at other hosts.
#include <algorithm>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "base/identifier.h"
#include "decisions/stream_origin.h"
#include "membership/ownership.h"

namespace {

using namespace valeledge;
using namespace valeledge::decisions;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

const base::time_point kStart{1000s};
const std::vector<std::string> kVersions = {"v1", "v1.1", "v1.2"};

struct fleet_case {
  std::size_t hosts = 8;
  int streams_per_second = 100;
  // Share of the hosts that are killed at the same moment, and of those that
  // are cut from all other hosts and from the store.
  double killed = 0.4;
  double cut = 0;
  double lost_messages = 0;
  milliseconds killed_after{8000};
  milliseconds cut_after{4000};
  // Between the releases of two versions.
  milliseconds release_interval{3000};
};

// A host that has just been cut off takes its list of servers for current.
constexpr milliseconds kListAge{2000};

struct simulated_host {
  membership::member self;
  bool is_alive = true;
  bool is_cut = false;
  // Newer versions that it has seen.
  std::size_t versions = 1;
  server_view view;
  stream_origins origins;
};

struct simulated_stream {
  std::uint64_t id = 0;
  std::size_t host = 0;
  stream_origin begun;
};

struct message {
  base::time_point at;
  std::size_t to = 0;
  std::uint64_t stream = 0;
  stream_origin origin;
};

struct fleet_result {
  int taken_up = 0;
  int gone_on = 0;
  int joined = 0;
};

class simulated_fleet {
 public:
  explicit simulated_fleet(const fleet_case& plan, std::uint64_t seed)
      : plan_(plan), random_(seed), hosts_(plan.hosts) {
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      membership::member& self = hosts_[i].self;
      self.id = "h" + std::to_string(i);
      self.zone = "z" + std::to_string(i % 3);
      members_.push_back(self);
      index_[self.id] = i;
    }
  }

  fleet_result Run() {
    const base::time_point killed_at = kStart + plan_.killed_after;
    for (now_ = kStart; now_ < killed_at; now_ += 10ms) {
      ReleaseVersions();
      Deliver();
      BeginStreams();
      for (simulated_host& host : hosts_)
        ObserveServerView(host.view, IsViewCurrent(host), true, now_);
      if (now_ == kStart + plan_.cut_after)
        CutHosts();
    }
    KillHosts();
    // Callers retry within a second, before any host is detected as dead.
    std::uniform_int_distribution<int> pause(40, 1000);
    std::multimap<base::time_point, simulated_stream> returns;
    for (const simulated_stream& stream : streams_) {
      if (!hosts_[stream.host].is_alive)
        returns.emplace(killed_at + milliseconds(pause(random_)), stream);
    }
    for (const auto& [at, stream] : returns) {
      now_ = at;
      Deliver();
      TakeUp(stream);
    }
    return result_;
  }

 private:
  bool Reaches(std::size_t from, std::size_t to) const {
    return from == to || (!hosts_[from].is_cut && !hosts_[to].is_cut);
  }

  bool IsViewCurrent(const simulated_host& host) const {
    return !host.is_cut || now_ <= kStart + plan_.cut_after + kListAge;
  }

  // Each host learns of a new version at a time of its own.
  void ReleaseVersions() {
    std::uniform_real_distribution<double> chance(0, 1);
    const auto released = std::min<std::size_t>(
        1 + static_cast<std::size_t>((now_ - kStart) / plan_.release_interval),
        kVersions.size());
    for (simulated_host& host : hosts_) {
      if (host.versions < released && !host.is_cut && chance(random_) < 0.1)
        ++host.versions;
    }
  }

  void CutHosts() {
    const auto count = static_cast<std::size_t>(
        plan_.cut * static_cast<double>(hosts_.size()));
    for (std::size_t i = 0; i < count; ++i)
      hosts_[i].is_cut = true;
  }

  // Kills the last ones; those that are cut off go on.
  void KillHosts() {
    const auto count = static_cast<std::size_t>(
        plan_.killed * static_cast<double>(hosts_.size()));
    for (std::size_t i = 0; i < count; ++i) {
      simulated_host& host = hosts_[hosts_.size() - 1 - i];
      host.is_alive = false;
      host.origins = {};
    }
  }

  std::vector<std::size_t> Chosen(std::uint64_t stream, std::size_t count) {
    std::vector<std::size_t> out;
    for (const membership::member* each : membership::ChooseOwners(
             members_, OriginSubject(stream), 0, {}, count))
      out.push_back(index_.at(each->id));
    return out;
  }

  void BeginStreams() {
    std::uniform_int_distribution<std::size_t> any_host(0, hosts_.size() - 1);
    std::uniform_real_distribution<double> chance(0, 1);
    std::uniform_int_distribution<int> delay(1, 30);
    const int count =
        plan_.streams_per_second / 100 +
        (chance(random_) < plan_.streams_per_second % 100 / 100.0);
    for (int i = 0; i < count; ++i) {
      simulated_stream stream;
      stream.id = random_();
      stream.host = any_host(random_);
      simulated_host& host = hosts_[stream.host];
      std::uniform_int_distribution<std::size_t> any(0, host.versions - 1);
      stream.begun = {"s", kVersions[any(random_)]};
      RecordOrigin(host.origins, stream.id, stream.begun, now_);
      for (const std::size_t owner : Chosen(stream.id, kOriginOwners)) {
        const bool arrives = owner != stream.host &&
                             Reaches(stream.host, owner) &&
                             chance(random_) >= plan_.lost_messages;
        if (arrives) {
          messages_.emplace(now_ + milliseconds(delay(random_)),
                            message{now_, owner, stream.id, stream.begun});
        }
      }
      streams_.push_back(stream);
    }
  }

  void Deliver() {
    while (!messages_.empty() && messages_.begin()->first <= now_) {
      const message& each = messages_.begin()->second;
      if (hosts_[each.to].is_alive)
        RecordOrigin(hosts_[each.to].origins, each.stream, each.origin, now_);
      messages_.erase(messages_.begin());
    }
  }

  origin_evidence EvidenceOf(const simulated_host& host,
                             std::uint64_t stream) const {
    origin_evidence out;
    out.recorded = FindOrigin(host.origins, stream, now_);
    out.software.insert(
        kVersions.begin(),
        kVersions.begin() + static_cast<std::ptrdiff_t>(host.versions));
    out.is_complete = CoversAllStreams(host.view, IsViewCurrent(host), now_);
    return out;
  }

  void TakeUp(const simulated_stream& stream) {
    std::uniform_int_distribution<std::size_t> any_host(0, hosts_.size() - 1);
    std::size_t at = any_host(random_);
    while (!hosts_[at].is_alive)
      at = any_host(random_);
    origin_evidence evidence =
        WithoutOwnCertainty(EvidenceOf(hosts_[at], stream.id));
    for (const std::size_t owner : Chosen(stream.id, kAskedOwners)) {
      if (!hosts_[owner].is_alive || !Reaches(at, owner))
        continue;
      if (owner != at)
        AddReply(evidence, EvidenceOf(hosts_[owner], stream.id));
    }
    const auto origin = CertainOrigin(evidence, "s");
    // At partitioned hosts only joined streams are counted, not refusals.
    if (origin && *origin != stream.begun)
      ++result_.joined;
    if (hosts_[at].is_cut)
      return;
    ++result_.taken_up;
    result_.gone_on += origin.has_value();
  }

  fleet_case plan_;
  std::mt19937_64 random_;
  std::vector<simulated_host> hosts_;
  std::vector<membership::member> members_;
  std::map<std::string, std::size_t> index_;
  std::multimap<base::time_point, message> messages_;
  std::vector<simulated_stream> streams_;
  base::time_point now_;
  fleet_result result_;
};

void Check(const fleet_case& plan) {
  constexpr int kSeeds = 3;
  fleet_result total;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    const fleet_result one =
        simulated_fleet(plan, static_cast<std::uint64_t>(seed)).Run();
    total.taken_up += one.taken_up;
    total.gone_on += one.gone_on;
    total.joined += one.joined;
  }
  BOOST_TEST_MESSAGE(plan.hosts << " hosts, killed " << plan.killed << ", cut "
                                << plan.cut << ", lost " << plan.lost_messages
                                << ": " << total.gone_on << " of "
                                << total.taken_up << " go on, " << total.joined
                                << " joined");
  BOOST_TEST(total.joined == 0);
  BOOST_TEST(total.taken_up > 0);
  BOOST_TEST(2 * total.gone_on >= total.taken_up);
}

BOOST_AUTO_TEST_SUITE(stream_origin_fleet)

BOOST_AUTO_TEST_CASE(streams_of_killed_hosts_go_on_at_their_version) {
  Check({8, 100, 0.4, 0, 0});
  Check({69, 300, 0.4, 0, 0});
  Check({985, 520, 0.4, 0, 0});
}

BOOST_AUTO_TEST_CASE(three_of_four_hosts_may_be_killed_at_once) {
  Check({8, 100, 0.75, 0, 0});
  Check({69, 300, 0.75, 0, 0});
  Check({985, 520, 0.75, 0, 0});
}

BOOST_AUTO_TEST_CASE(three_messages_in_ten_may_be_lost) {
  Check({8, 100, 0.4, 0, 0.3});
  Check({69, 300, 0.4, 0, 0.3});
  Check({985, 520, 0.4, 0, 0.3});
}

// The second version has been listed for 50 ms, and not all hosts know it.
BOOST_AUTO_TEST_CASE(hosts_that_do_not_know_a_new_version_join_no_streams) {
  Check({8, 100, 0.4, 0, 0.3, 3050ms});
  Check({69, 300, 0.4, 0, 0.3, 3050ms});
  Check({985, 520, 0.4, 0, 0.3, 3050ms});
}

BOOST_AUTO_TEST_CASE(hosts_that_are_cut_off_join_no_streams) {
  Check({8, 100, 0.4, 0.25, 0});
  Check({69, 300, 0.4, 0.25, 0});
  Check({985, 520, 0.4, 0.25, 0});
}

// One host is cut off half a second before the second version comes, and
// streams that begin at it break before the host knows that its list is old.
BOOST_AUTO_TEST_CASE(a_host_that_has_just_been_cut_off_joins_no_streams) {
  Check({8, 100, 0.4, 0.125, 0, 6000ms, 5000ms, 5500ms});
  Check({69, 300, 0.4, 0.015, 0, 6000ms, 5000ms, 5500ms});
  Check({985, 520, 0.4, 0.0011, 0, 6000ms, 5000ms, 5500ms});
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
