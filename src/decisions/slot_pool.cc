// SPDX-License-Identifier: MIT
#include "decisions/slot_pool.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace valeledge::decisions {

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;

// Requests at a server beyond its slots: while news of an end is on its way the
// next one is there already.
constexpr std::int64_t kBeyondSlots = 1;

// A place that nobody gave back falls back after so long: whoever had it has
// ended or is cut off.
constexpr std::chrono::seconds kLongestTaken{3};

// After it has turned a request away a server gets none for so long.
constexpr std::chrono::milliseconds kRest{30};

// A place that is free is taken at once, however long the last ones took: only
// requests that are sent tell how long they take now.
constexpr milliseconds kLeastPatience{1};

// Weight of the newest request in the smoothed time.
constexpr double kSmoothing = 0.05;

std::int64_t TotalSlots(const place_ledger& ledger) {
  std::int64_t slots = 0;
  for (const auto& [name, server] : ledger.servers)
    slots += server.slots;
  return slots;
}

bool HasRoom(const dealt_server& server) {
  return static_cast<std::int64_t>(server.taken.size()) <
         server.slots + kBeyondSlots;
}

double Load(const dealt_server& server) {
  return static_cast<double>(server.taken.size()) /
         static_cast<double>(server.slots);
}

// The least loaded server that has room and is not avoided; null if there is
// none.
std::pair<const std::string, dealt_server>* FindRoom(place_ledger& ledger,
                                                     const place_wish& wish,
                                                     base::time_point now) {
  std::pair<const std::string, dealt_server>* best = nullptr;
  for (auto& each : ledger.servers) {
    const bool avoided =
        std::ranges::find(wish.avoid, each.first) != wish.avoid.end();
    const bool rests = now < each.second.rests_until;
    if (avoided || rests || !HasRoom(each.second))
      continue;
    if (best == nullptr || Load(each.second) < Load(best->second))
      best = &each;
  }
  return best;
}

}  // namespace

void SetServers(place_ledger& ledger,
                const std::map<std::string, server_capacity>& usable) {
  std::erase_if(ledger.servers,
                [&](const auto& each) { return !usable.contains(each.first); });
  for (const auto& [name, capacity] : usable) {
    dealt_server& server = ledger.servers[name];
    server.slots = std::max<std::int64_t>(capacity.slots, 1);
    server.pause = capacity.pause;
  }
}

std::chrono::milliseconds PatienceOf(const place_ledger& ledger,
                                     std::chrono::milliseconds left) {
  const milliseconds spare = (milliseconds(left) - ledger.usual) / 2;
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::max(spare, kLeastPatience));
}

std::optional<std::chrono::milliseconds> ExpectedWait(
    const place_ledger& ledger,
    std::int64_t priority) {
  const std::int64_t slots = TotalSlots(ledger);
  if (slots == 0)
    return std::nullopt;
  std::int64_t ahead = 0;
  for (const auto& [name, server] : ledger.servers)
    ahead += static_cast<std::int64_t>(server.taken.size());
  ahead += std::ranges::count_if(ledger.waiting, [&](const place_wish& each) {
    return each.priority <= priority;
  });
  const auto beyond =
      static_cast<double>(std::max<std::int64_t>(ahead + 1 - slots, 0));
  return std::chrono::ceil<std::chrono::milliseconds>(
      ledger.usual * (beyond / static_cast<double>(slots)));
}

std::int64_t AddWish(place_ledger& ledger, place_wish wish) {
  wish.number = ++ledger.last_number;
  ledger.waiting.push_back(std::move(wish));
  return ledger.last_number;
}

std::vector<dealt_place> Deal(place_ledger& ledger, base::time_point now) {
  std::vector<dealt_place> out;
  std::ranges::sort(ledger.waiting, {}, [](const place_wish& each) {
    return std::tie(each.priority, each.due, each.number);
  });
  std::erase_if(ledger.waiting, [&](const place_wish& wish) {
    auto* room = FindRoom(ledger, wish, now);
    if (room == nullptr)
      return false;
    room->second.taken[wish.number] = now + kLongestTaken;
    if (room->second.pause.count() > 0)
      room->second.rests_until = now + room->second.pause;
    out.push_back({wish.number, room->first});
    return true;
  });
  return out;
}

std::vector<std::int64_t> Expire(place_ledger& ledger, base::time_point now) {
  for (auto& [name, server] : ledger.servers) {
    std::erase_if(server.taken,
                  [&](const auto& each) { return each.second <= now; });
  }
  std::vector<std::int64_t> dropped;
  std::erase_if(ledger.waiting, [&](const place_wish& wish) {
    const bool is_due = wish.due <= now;
    if (is_due)
      dropped.push_back(wish.number);
    return is_due;
  });
  return dropped;
}

void Rest(place_ledger& ledger,
          const std::string& server,
          base::time_point now) {
  const auto found = ledger.servers.find(server);
  if (found != ledger.servers.end())
    found->second.rests_until =
        std::max(found->second.rests_until, now + kRest);
}

void GiveBackPlace(place_ledger& ledger,
                   const std::string& server,
                   std::int64_t number,
                   std::optional<milliseconds> took) {
  const auto found = ledger.servers.find(server);
  if (found == ledger.servers.end() || found->second.taken.erase(number) == 0)
    return;
  if (took)
    ledger.usual += kSmoothing * (*took - ledger.usual);
}

}  // namespace valeledge::decisions
