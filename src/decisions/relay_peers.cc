// SPDX-License-Identifier: MIT
#include "decisions/relay_peers.h"

#include <algorithm>
#include <chrono>
#include <vector>

namespace valeledge::decisions {

namespace {

// Statements are refreshed several times within this time.
constexpr std::chrono::milliseconds kStatementLifetime{2000};

// Requests in a row that fail through one peer are few, since it states soon
// whether it still reaches the servers.
constexpr std::chrono::milliseconds kAvoidAfterFailure{300};

bool IsCurrent(const relay_peer& peer, base::time_point now) {
  return now - peer.stated_at <= kStatementLifetime;
}

bool IsUsable(const relay_peer& peer, base::time_point now) {
  return peer.reaches && IsCurrent(peer, now) && now >= peer.avoid_until;
}

// Whether at least half of the hosts of this availability zone reach the
// servers, by those that were asked.
bool CanZoneRelay(const relay_peers& peers, base::time_point now) {
  int asked = 0;
  int reaching = 0;
  for (const auto& [address, peer] : peers) {
    if (!peer.same_zone || !IsCurrent(peer, now))
      continue;
    ++asked;
    reaching += peer.reaches ? 1 : 0;
  }
  return 2 * reaching >= asked;
}

}  // namespace

void RecordReaches(relay_peers& peers,
                   const base::endpoint& peer,
                   const base::endpoint& relay_address,
                   bool same_zone,
                   base::time_point now) {
  relay_peer& known = peers[peer];
  known.reaches = true;
  known.relay_address = relay_address;
  known.same_zone = same_zone;
  known.stated_at = now;
}

void RecordUnreached(relay_peers& peers,
                     const base::endpoint& peer,
                     bool same_zone,
                     base::time_point now) {
  relay_peer& known = peers[peer];
  known.reaches = false;
  known.same_zone = same_zone;
  known.stated_at = now;
}

void RecordRelayFailed(relay_peers& peers,
                       const base::endpoint& relay_address,
                       base::time_point now) {
  for (auto& [address, peer] : peers) {
    if (peer.relay_address == relay_address)
      peer.avoid_until = now + kAvoidAfterFailure;
  }
}

std::vector<std::pair<base::endpoint, bool>> PeersToRefresh(
    const relay_peers& peers,
    base::time_point now,
    std::size_t count) {
  std::vector<std::pair<base::endpoint, bool>> out;
  for (const auto& [address, peer] : peers) {
    if (peer.reaches && IsCurrent(peer, now))
      out.emplace_back(address, peer.same_zone);
  }
  std::ranges::sort(out, {}, [&peers](const auto& each) {
    return peers.at(each.first).stated_at;
  });
  out.resize(std::min(count, out.size()));
  return out;
}

bool AnyReaches(const relay_peers& peers, base::time_point now) {
  return std::ranges::any_of(peers, [now](const auto& each) {
    return each.second.reaches && IsCurrent(each.second, now);
  });
}

std::optional<relay_peer> ChooseRelay(const relay_peers& peers,
                                      base::time_point now,
                                      bool near,
                                      std::mt19937_64& random) {
  std::vector<const relay_peer*> usable;
  std::vector<const relay_peer*> preferred;
  const bool has_preference = !near || CanZoneRelay(peers, now);
  for (const auto& [address, peer] : peers) {
    if (!IsUsable(peer, now))
      continue;
    usable.push_back(&peer);
    if (has_preference && peer.same_zone == near)
      preferred.push_back(&peer);
  }
  const auto& from = preferred.empty() ? usable : preferred;
  if (from.empty())
    return std::nullopt;
  std::uniform_int_distribution<std::size_t> any(0, from.size() - 1);
  return *from[any(random)];
}

}  // namespace valeledge::decisions
