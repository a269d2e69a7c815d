// SPDX-License-Identifier: MIT
// The other hosts through which this host sends requests to the servers of a
// service while its own path to them is lost.
#ifndef VALELEDGE_DECISIONS_RELAY_PEERS_H_
#define VALELEDGE_DECISIONS_RELAY_PEERS_H_

#include <map>
#include <optional>
#include <random>
#include <vector>

#include "base/duration.h"
#include "base/endpoint.h"

namespace valeledge::decisions {

struct relay_peer {
  // Where it accepts relayed requests.
  base::endpoint relay_address;
  bool same_zone = false;
  base::time_point confirmed_at;
  // It is not used before this time, after a failure.
  base::time_point avoid_until;
};

// Peers that have stated that they reach the servers, by the address at which
// they take calls of other hosts.
using relay_peers = std::map<base::endpoint, relay_peer>;

// Records a peer's statement that it reaches the servers.
void RecordReaches(relay_peers& peers,
                   const base::endpoint& peer,
                   const base::endpoint& relay_address,
                   bool same_zone,
                   base::time_point now);

// Records that the peer does not reach them, or does not respond.
void RecordUnreached(relay_peers& peers, const base::endpoint& peer);

// Records that a request could not be sent through the peer at this relay
// address.
void RecordRelayFailed(relay_peers& peers,
                       const base::endpoint& relay_address,
                       base::time_point now);

// Returns a peer for the next request, nothing if there is none. `near`: one of
// this host's availability zone if possible; otherwise one of another zone,
// since the hosts of a zone may lose the path together.
std::optional<relay_peer> ChooseRelay(const relay_peers& peers,
                                      base::time_point now,
                                      bool near,
                                      std::mt19937_64& random);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_RELAY_PEERS_H_
