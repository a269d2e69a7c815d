// SPDX-License-Identifier: MIT
#include "decisions/slot_pool.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace valeledge::decisions {

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;

// Requests allocated to a server beyond its slots, so that the next request is
// already there while the report of a completed one is in transit.
constexpr std::int64_t kMaxQueuedPerServer = 1;

// A slot that is not released is reclaimed after this time, because the host
// that used it has stopped or is unreachable.
constexpr std::chrono::seconds kSlotTimeout{3};

// Time without allocations for a server that rejected a request.
constexpr std::chrono::milliseconds kRejectionBackoff{30};

// A free slot is allocated even if the typical service time exceeds the time
// left, because only requests that are sent update that estimate.
constexpr milliseconds kMinQueueWait{1};

// Weight of the newest request in the smoothed service time.
constexpr double kSmoothing = 0.05;

std::int64_t TotalSlots(const slot_pool& pool) {
  std::int64_t slots = 0;
  for (const auto& [name, server] : pool.servers)
    slots += server.slots;
  return slots;
}

bool HasFreeSlot(const pooled_server& server) {
  return static_cast<std::int64_t>(server.allocated.size()) <
         server.slots + kMaxQueuedPerServer;
}

double Load(const pooled_server& server) {
  return static_cast<double>(server.allocated.size()) /
         static_cast<double>(server.slots);
}

// Returns the least loaded server that has a free slot and is neither avoided
// nor backing off; null if there is none.
std::pair<const std::string, pooled_server>* FindFreeServer(
    slot_pool& pool,
    const slot_request& request,
    base::time_point now) {
  std::pair<const std::string, pooled_server>* best = nullptr;
  for (auto& each : pool.servers) {
    const bool avoided =
        std::ranges::find(request.avoid, each.first) != request.avoid.end();
    const bool backs_off = now < each.second.backoff_until;
    if (avoided || backs_off || !HasFreeSlot(each.second))
      continue;
    if (best == nullptr || Load(each.second) < Load(best->second))
      best = &each;
  }
  return best;
}

}  // namespace

void SetServers(slot_pool& pool,
                const std::map<std::string, server_capacity>& usable) {
  std::erase_if(pool.servers,
                [&](const auto& each) { return !usable.contains(each.first); });
  for (const auto& [name, capacity] : usable) {
    pooled_server& server = pool.servers[name];
    server.slots = std::max<std::int64_t>(capacity.slots, 1);
    server.allocation_interval = capacity.allocation_interval;
  }
}

std::chrono::milliseconds MaxQueueWait(const slot_pool& pool,
                                       std::chrono::milliseconds left) {
  const milliseconds spare =
      (milliseconds(left) - pool.typical_service_time) / 2;
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::max(spare, kMinQueueWait));
}

std::optional<std::chrono::milliseconds> ExpectedWait(const slot_pool& pool,
                                                      std::int64_t priority) {
  const std::int64_t slots = TotalSlots(pool);
  if (slots == 0)
    return std::nullopt;
  std::int64_t ahead = 0;
  for (const auto& [name, server] : pool.servers)
    ahead += static_cast<std::int64_t>(server.allocated.size());
  ahead += std::ranges::count_if(pool.queue, [&](const slot_request& each) {
    return each.priority <= priority;
  });
  const auto excess =
      static_cast<double>(std::max<std::int64_t>(ahead + 1 - slots, 0));
  return std::chrono::ceil<std::chrono::milliseconds>(
      pool.typical_service_time * (excess / static_cast<double>(slots)));
}

std::int64_t AddSlotRequest(slot_pool& pool, slot_request request) {
  request.number = ++pool.last_number;
  pool.queue.push_back(std::move(request));
  return pool.last_number;
}

std::vector<slot_allocation> AllocateSlots(slot_pool& pool,
                                           base::time_point now) {
  std::vector<slot_allocation> out;
  std::ranges::sort(pool.queue, {}, [](const slot_request& each) {
    return std::tie(each.priority, each.deadline, each.number);
  });
  std::erase_if(pool.queue, [&](const slot_request& request) {
    auto* free_server = FindFreeServer(pool, request, now);
    if (free_server == nullptr)
      return false;
    free_server->second.allocated[request.number] = now + kSlotTimeout;
    if (free_server->second.allocation_interval.count() > 0)
      free_server->second.backoff_until =
          now + free_server->second.allocation_interval;
    out.push_back({request.number, free_server->first});
    return true;
  });
  return out;
}

std::vector<std::int64_t> Expire(slot_pool& pool, base::time_point now) {
  for (auto& [name, server] : pool.servers) {
    std::erase_if(server.allocated,
                  [&](const auto& each) { return each.second <= now; });
  }
  std::vector<std::int64_t> dropped;
  std::erase_if(pool.queue, [&](const slot_request& request) {
    const bool is_overdue = request.deadline <= now;
    if (is_overdue)
      dropped.push_back(request.number);
    return is_overdue;
  });
  return dropped;
}

void BackOff(slot_pool& pool, const std::string& server, base::time_point now) {
  const auto found = pool.servers.find(server);
  if (found != pool.servers.end())
    found->second.backoff_until =
        std::max(found->second.backoff_until, now + kRejectionBackoff);
}

void ReleaseSlot(slot_pool& pool,
                 const std::string& server,
                 std::int64_t number,
                 std::optional<milliseconds> took) {
  const auto found = pool.servers.find(server);
  if (found == pool.servers.end() || found->second.allocated.erase(number) == 0)
    return;
  if (took)
    pool.typical_service_time +=
        kSmoothing * (*took - pool.typical_service_time);
}

}  // namespace valeledge::decisions
