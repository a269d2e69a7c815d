// SPDX-License-Identifier: MIT
// Hosts in virtual time before the servers of one service, some of which refuse
// requests with a backoff or are leaving. One host allocates the slots of all.
#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "decisions/server_notices.h"
#include "decisions/slot_pool.h"

namespace {

using namespace valeledge;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

const base::time_point kStart = base::time_point() + 1h;
constexpr milliseconds kBackoff{3000};
constexpr milliseconds kDrain{2000};
// Requests on their way when a server asks for a backoff may still arrive.
constexpr milliseconds kSettled{500};
constexpr milliseconds kObjective{1000};
constexpr double kRequestsPerSecond = 100;
constexpr int kServers = 4;

// What one server has stated to one host, as the server sees it.
struct stated_notices {
  base::time_point backoff_at = kStart - 1h;
  std::optional<base::time_point> leaving_at;
};

struct fleet_result {
  // Requests that a server had asked a host not to send.
  int late_in_backoff = 0;
  int late_at_leaving = 0;
  int served = 0;
  int refused = 0;
  // Requests at a server in the second after its last backoff ended.
  int after_backoff = 0;
};

class fleet {
 public:
  fleet(int hosts, std::uint32_t seed) : random_(seed) {
    notices_.resize(hosts);
    stated_.resize(hosts);
    std::map<std::string, decisions::server_capacity> capacity;
    for (int i = 0; i < kServers; ++i)
      capacity[std::to_string(i)] = {16, {}};
    decisions::SetServers(pool_, capacity);
  }

  // The first server refuses requests between 1 and 5 s; the second one leaves
  // from 3 s on. The allocator learns of neither.
  fleet_result Run() {
    base::time_point arrival = kStart;
    std::exponential_distribution<double> gap(kRequestsPerSecond);
    while (arrival < kStart + 12s) {
      arrival += std::chrono::duration_cast<base::time_point::duration>(
          std::chrono::duration<double>(gap(random_)));
      const auto host = random_() % notices_.size();
      At(arrival, [this, host, arrival] { Select(host, arrival); });
    }
    while (!events_.empty()) {
      const event next = events_.top();
      events_.pop();
      now_ = next.at;
      next.action();
    }
    return result_;
  }

 private:
  struct event {
    base::time_point at;
    std::int64_t number;
    std::function<void()> action;
    bool operator<(const event& other) const {
      return std::pair(other.at, other.number) < std::pair(at, number);
    }
  };

  void At(base::time_point when, std::function<void()> action) {
    events_.push({when, ++events_pushed_, std::move(action)});
  }
  void After(milliseconds min, milliseconds max, std::function<void()> action) {
    std::uniform_int_distribution<std::int64_t> any(min.count(), max.count());
    At(now_ + milliseconds(any(random_)), std::move(action));
  }

  bool IsBlocked(std::size_t host, int server) {
    const decisions::server_notices& known = notices_[host][server];
    return decisions::HasLeft(known) || decisions::IsPaused(known, now_);
  }

  void Select(std::size_t host, base::time_point sent) {
    decisions::slot_request request;
    request.deadline = sent + kObjective / 2;
    for (int i = 0; i < kServers; ++i) {
      if (IsBlocked(host, i))
        request.avoid.push_back(std::to_string(i));
    }
    if (request.avoid.size() == kServers || now_ > request.deadline) {
      ++result_.refused;
      return;
    }
    After(1ms, 20ms, [this, host, sent, request] {
      const auto number = decisions::AddSlotRequest(pool_, request);
      waiting_[number] = [this, host, sent, number](const std::string& server) {
        After(1ms, 20ms, [this, host, sent, number, server] {
          Connect(host, std::stoi(server), sent, number);
        });
      };
      Allocate();
    });
  }

  void Allocate() {
    for (const auto number : decisions::Expire(pool_, now_)) {
      waiting_.erase(number);
      ++result_.refused;
    }
    for (const auto& [number, server] : decisions::AllocateSlots(pool_, now_)) {
      const auto found = waiting_.extract(number);
      found.mapped()(server);
    }
  }

  void Release(int server, std::int64_t number) {
    decisions::ReleaseSlot(pool_, std::to_string(server), number, 30ms);
    Allocate();
  }

  void Connect(std::size_t host,
               int server,
               base::time_point sent,
               std::int64_t number) {
    if (IsBlocked(host, server)) {
      Release(server, number);
      Select(host, sent);
      return;
    }
    decisions::BeginTrial(notices_[host][server], now_);
    After(0ms, 250ms, [this, host, server, sent, number] {
      const decisions::server_notices& known = notices_[host][server];
      const bool blocked =
          decisions::HasLeft(known) || decisions::IsBackingOff(known, now_);
      if (blocked) {
        Release(server, number);
        Select(host, sent);
        return;
      }
      After(1ms, 10ms, [this, host, server, sent, number] {
        Arrive(host, server, sent, number);
      });
    });
  }

  void Arrive(std::size_t host,
              int server,
              base::time_point sent,
              std::int64_t number) {
    stated_notices& stated = stated_[host][server];
    const auto since = now_ - stated.backoff_at;
    if (since > kSettled && since < kBackoff)
      ++result_.late_in_backoff;
    if (stated.leaving_at && sent - *stated.leaving_at > kDrain)
      ++result_.late_at_leaving;
    const bool refuses =
        server == 0 && now_ >= kStart + 1s && now_ < kStart + 5s;
    const bool leaving = server == 1 && now_ >= kStart + 3s;
    if (server == 0 && now_ > kStart + 8s && now_ < kStart + 10s)
      ++result_.after_backoff;
    if (refuses)
      stated.backoff_at = now_;
    const milliseconds work = refuses ? 1ms : 30ms;
    After(work, work + 20ms, [=, this] {
      decisions::response_notice notice{leaving, {}, now_};
      if (refuses)
        notice.backoff = kBackoff;
      decisions::Observe(notices_[host][server], notice);
      decisions::EndTrial(notices_[host][server]);
      if (leaving && !stated_[host][server].leaving_at)
        stated_[host][server].leaving_at = now_;
      After(1ms, 20ms, [this, server, number] { Release(server, number); });
      if (refuses)
        Select(host, sent);
      else
        ++result_.served;
    });
  }

  std::mt19937 random_;
  base::time_point now_ = kStart;
  std::priority_queue<event> events_;
  std::int64_t events_pushed_ = 0;
  decisions::slot_pool pool_;
  std::map<std::int64_t, std::function<void(const std::string&)>> waiting_;
  std::vector<std::map<int, decisions::server_notices>> notices_;
  std::vector<std::map<int, stated_notices>> stated_;
  fleet_result result_;
};

BOOST_AUTO_TEST_SUITE(notices_of_a_fleet)

BOOST_AUTO_TEST_CASE(no_host_sends_what_a_server_has_asked_it_not_to_send) {
  for (const int hosts : {8, 69, 985}) {
    for (const std::uint32_t seed : {1u, 2u, 3u}) {
      BOOST_TEST_CONTEXT(hosts << " hosts, seed " << seed) {
        const fleet_result result = fleet(hosts, seed).Run();
        BOOST_TEST(result.late_in_backoff == 0);
        BOOST_TEST(result.late_at_leaving == 0);
        // Two servers can take all requests.
        BOOST_TEST(result.served > 20 * result.refused);
        BOOST_TEST(result.after_backoff > 20);
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
