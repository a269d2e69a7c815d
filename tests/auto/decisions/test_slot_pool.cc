// SPDX-License-Identifier: MIT
// Slots at the servers of a plain service, allocated by one host.
#include "decisions/slot_pool.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace {

using namespace valeledge;
using namespace valeledge::decisions;
using namespace std::chrono_literals;
using ms = std::chrono::milliseconds;

const base::time_point kStart = base::time_point() + 1h;

slot_pool Pool(std::int64_t servers, std::int64_t slots) {
  slot_pool out;
  std::map<std::string, server_capacity> all;
  for (std::int64_t i = 0; i < servers; ++i)
    all["s" + std::to_string(i)] = {slots};
  SetServers(out, all);
  return out;
}

slot_request Request(std::int64_t priority, ms deadline) {
  slot_request out;
  out.priority = priority;
  out.deadline = kStart + deadline;
  return out;
}

// Outcome of one minute of a plain service in virtual time. Calls arrive at
// random and take 60 ms on average; rejected calls are not retried.
struct play_outcome {
  double offered = 0;
  // Completed within 300 ms.
  double on_time = 0;
  double late = 0;
  // Sent to a server whose slots and queue are full.
  double rejected = 0;
};

constexpr double kWork = 60;
constexpr double kObjective = 300;
constexpr int kServers = 3;
constexpr int kSlots = 6;
constexpr int kQueue = 24;

// `load`: fraction of the capacity of all servers.
double Gap(double load) {
  return kWork / (kServers * kSlots * load);
}

struct running_call {
  double ends_at = 0;
  std::string server;
  std::int64_t number = 0;
  double arrived = 0;
  double took = 0;
};

play_outcome PlayAllocated(double load) {
  std::mt19937_64 random(37002);
  std::exponential_distribution<double> work(1 / kWork);
  std::exponential_distribution<double> gap(1 / Gap(load));
  slot_pool pool = Pool(kServers, kSlots);
  std::map<std::string, std::vector<running_call>> queues;
  std::map<std::int64_t, double> arrivals;
  play_outcome out;
  const auto at = [](double now) {
    return kStart + std::chrono::duration_cast<base::time_point::duration>(
                        std::chrono::duration<double, std::milli>(now));
  };
  double next = gap(random);
  for (double now = 0; now < 60'000; now += 1) {
    for (; next <= now; next += gap(random)) {
      ++out.offered;
      const auto max_wait = MaxQueueWait(pool, ms(300));
      const auto wait = ExpectedWait(pool, 0);
      if (!wait || *wait > max_wait)
        continue;
      slot_request request;
      request.deadline = at(now) + max_wait;
      arrivals[AddSlotRequest(pool, request)] = now;
    }
    Expire(pool, at(now));
    for (const auto& [number, server] : AllocateSlots(pool, at(now)))
      queues[server].push_back({0, server, number, arrivals[number], 0});
    for (auto& [server, calls] : queues) {
      for (std::size_t i = 0; i < std::min<std::size_t>(calls.size(), kSlots);
           ++i) {
        if (calls[i].ends_at == 0) {
          calls[i].took = work(random);
          calls[i].ends_at = now + calls[i].took;
        }
      }
      std::erase_if(calls, [&](const running_call& each) {
        const bool ended = each.ends_at != 0 && each.ends_at <= now;
        if (!ended)
          return false;
        const bool on_time = each.ends_at - each.arrived <= kObjective;
        ++(on_time ? out.on_time : out.late);
        ReleaseSlot(pool, server, each.number,
                    std::chrono::duration<double, std::milli>(each.took));
        return true;
      });
    }
  }
  return out;
}

// Baseline without allocation: each host selects a server from its local view,
// modelled as a random choice.
play_outcome PlayUncoordinated(double load) {
  std::mt19937_64 random(37002);
  std::exponential_distribution<double> work(1 / kWork);
  std::exponential_distribution<double> gap(1 / Gap(load));
  std::uniform_int_distribution<int> any(0, kServers - 1);
  std::vector<std::vector<running_call>> queues(kServers);
  play_outcome out;
  double next = gap(random);
  for (double now = 0; now < 60'000; now += 1) {
    for (; next <= now; next += gap(random)) {
      ++out.offered;
      auto& calls = queues[static_cast<std::size_t>(any(random))];
      if (calls.size() >= kSlots + kQueue)
        ++out.rejected;
      else
        calls.push_back({0, "", 0, now, 0});
    }
    for (auto& calls : queues) {
      for (std::size_t i = 0; i < std::min<std::size_t>(calls.size(), kSlots);
           ++i) {
        if (calls[i].ends_at == 0)
          calls[i].ends_at = now + work(random);
      }
      std::erase_if(calls, [&](const running_call& each) {
        const bool ended = each.ends_at != 0 && each.ends_at <= now;
        if (ended)
          ++(each.ends_at - each.arrived <= kObjective ? out.on_time
                                                       : out.late);
        return ended;
      });
    }
  }
  return out;
}

BOOST_AUTO_TEST_SUITE(slot_pools)

BOOST_AUTO_TEST_CASE(slots_go_to_top_priority_then_to_the_earliest_deadline) {
  slot_pool pool = Pool(1, 1);
  const auto later = AddSlotRequest(pool, Request(1, 300ms));
  const auto sooner = AddSlotRequest(pool, Request(1, 200ms));
  const auto urgent = AddSlotRequest(pool, Request(0, 900ms));
  const auto first = AllocateSlots(pool, kStart);
  // One more than the server has slots.
  BOOST_REQUIRE(first.size() == 2u);
  BOOST_TEST(first[0].number == urgent);
  BOOST_TEST(first[1].number == sooner);
  ReleaseSlot(pool, "s0", urgent, {});
  const auto second = AllocateSlots(pool, kStart);
  BOOST_REQUIRE(second.size() == 1u);
  BOOST_TEST(second[0].number == later);
}

BOOST_AUTO_TEST_CASE(the_least_loaded_server_is_selected_unless_avoided) {
  slot_pool pool = Pool(2, 2);
  AddSlotRequest(pool, Request(0, 100ms));
  AddSlotRequest(pool, Request(0, 100ms));
  const auto both = AllocateSlots(pool, kStart);
  BOOST_REQUIRE(both.size() == 2u);
  BOOST_TEST(both[0].server != both[1].server);
  slot_request restricted = Request(0, 100ms);
  restricted.avoid = {"s0"};
  AddSlotRequest(pool, restricted);
  BOOST_TEST(AllocateSlots(pool, kStart).front().server == "s1");
}

BOOST_AUTO_TEST_CASE(overdue_requests_are_dropped_and_leaked_slots_reclaimed) {
  slot_pool pool = Pool(1, 1);
  for (int i = 0; i < 2; ++i)
    AddSlotRequest(pool, Request(0, 100ms));
  BOOST_TEST(AllocateSlots(pool, kStart).size() == 2u);
  const auto waits = AddSlotRequest(pool, Request(0, 100ms));
  BOOST_TEST(AllocateSlots(pool, kStart + 50ms).empty());
  const auto dropped = Expire(pool, kStart + 100ms);
  BOOST_REQUIRE(dropped.size() == 1u);
  BOOST_TEST(dropped.front() == waits);
  Expire(pool, kStart + 4s);
  AddSlotRequest(pool, Request(0, 9s));
  BOOST_TEST(AllocateSlots(pool, kStart + 4s).size() == 1u);
  // Released twice, or by a caller that never had the slot.
  ReleaseSlot(pool, "s0", waits, 10ms);
  ReleaseSlot(pool, "gone", 1, 10ms);
  BOOST_TEST(pool.servers.at("s0").allocated.size() == 1u);
}

BOOST_AUTO_TEST_CASE(removed_servers_are_allocated_no_slots) {
  slot_pool pool = Pool(2, 1);
  SetServers(pool, {{"s1", {1}}});
  AddSlotRequest(pool, Request(0, 100ms));
  BOOST_TEST(AllocateSlots(pool, kStart).front().server == "s1");
  SetServers(pool, {});
  BOOST_TEST(!ExpectedWait(pool, 0));
}

BOOST_AUTO_TEST_CASE(slots_of_a_cold_server_are_allocated_at_its_rate) {
  slot_pool pool;
  SetServers(pool, {{"cold", {1, 300ms}}, {"warm", {6}}});
  int allocations = 0;
  for (auto now = kStart; now < kStart + 3s; now += 10ms) {
    AddSlotRequest(pool, Request(1, 60s));
    for (const auto& slot : AllocateSlots(pool, now)) {
      allocations += slot.server == "cold" ? 1 : 0;
      ReleaseSlot(pool, slot.server, slot.number, 5ms);
    }
  }
  BOOST_TEST(allocations == 10);
}

// Guards against a loss of goodput under overload. At twice the capacity, 0.58
// of it was on time without allocation and servers rejected 51 in 100 requests;
// with allocation it is 0.93, and none is rejected.
BOOST_AUTO_TEST_CASE(goodput_is_sustained_as_load_grows) {
  const double capacity = kServers * kSlots / kWork * 60'000;
  for (const double load : {0.55, 0.9, 1.0, 2.0, 4.0}) {
    const play_outcome now = PlayAllocated(load);
    const play_outcome before = PlayUncoordinated(load);
    const double possible = std::min(now.offered, capacity);
    BOOST_TEST_MESSAGE("load " << load << ": on time " << now.on_time / possible
                               << " (before " << before.on_time / possible
                               << "), rejected by servers "
                               << now.rejected / now.offered << " (before "
                               << before.rejected / before.offered << ")");
    BOOST_TEST(now.on_time >= 0.9 * possible);
    BOOST_TEST(now.rejected <= 0.02 * now.offered);
    BOOST_TEST(now.on_time >= 0.99 * before.on_time);
  }
}

// After a pause of servers or hosts, the typical service time may exceed the
// time that any request has left. Free slots must still be allocated, since
// only completed requests correct the estimate.
BOOST_AUTO_TEST_CASE(free_slots_are_allocated_after_long_service_times) {
  slot_pool pool = Pool(1, 1);
  pool.typical_service_time = 5s;
  const auto first =
      AddSlotRequest(pool, Request(0, MaxQueueWait(pool, 300ms)));
  BOOST_TEST(Expire(pool, kStart).empty());
  BOOST_REQUIRE(AllocateSlots(pool, kStart).size() == 1u);
  ReleaseSlot(pool, "s0", first, 30ms);
  BOOST_TEST((pool.typical_service_time < 5s));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
