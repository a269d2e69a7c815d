// SPDX-License-Identifier: MIT
#include "decisions/relay_peers.h"

#include <chrono>
#include <utility>

namespace valeledge::decisions {

namespace {

// Statements are refreshed several times within this time.
constexpr std::chrono::milliseconds kStatementLifetime{2000};

// Requests in a row that fail through one peer are few, since it states soon
// whether it still reaches the servers.
constexpr std::chrono::milliseconds kAvoidAfterFailure{300};

}  // namespace

void RecordReaches(relay_peers& peers,
                   const base::endpoint& peer,
                   const base::endpoint& relay_address,
                   bool same_zone,
                   base::time_point now) {
  relay_peer& known = peers[peer];
  known.relay_address = relay_address;
  known.same_zone = same_zone;
  known.confirmed_at = now;
}

void RecordUnreached(relay_peers& peers, const base::endpoint& peer) {
  peers.erase(peer);
}

void RecordRelayFailed(relay_peers& peers,
                       const base::endpoint& relay_address,
                       base::time_point now) {
  for (auto& [address, peer] : peers) {
    if (peer.relay_address == relay_address)
      peer.avoid_until = now + kAvoidAfterFailure;
  }
}

std::optional<relay_peer> ChooseRelay(const relay_peers& peers,
                                      base::time_point now,
                                      bool near,
                                      std::mt19937_64& random) {
  std::vector<const relay_peer*> usable;
  std::vector<const relay_peer*> preferred;
  for (const auto& [address, peer] : peers) {
    if (now < peer.avoid_until || now - peer.confirmed_at > kStatementLifetime)
      continue;
    usable.push_back(&peer);
    if (peer.same_zone == near)
      preferred.push_back(&peer);
  }
  const auto& from = preferred.empty() ? usable : preferred;
  if (from.empty())
    return std::nullopt;
  std::uniform_int_distribution<std::size_t> any(0, from.size() - 1);
  return *from[any(random)];
}

}  // namespace valeledge::decisions
