// SPDX-License-Identifier: MIT
// The other hosts through which this host sends requests to the servers of a
// service while its own path to them is lost.
#ifndef VALELEDGE_DECISIONS_RELAY_PEERS_H_
#define VALELEDGE_DECISIONS_RELAY_PEERS_H_

#include <cstddef>
#include <map>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "base/duration.h"
#include "base/endpoint.h"

namespace valeledge::decisions {

// What a peer has stated last.
struct relay_peer {
  bool reaches = false;
  // Where it accepts relayed requests.
  base::endpoint relay_address;
  bool same_zone = false;
  base::time_point stated_at;
  // It is not used before this time, after a failure.
  base::time_point avoid_until;
};

// The peers that were asked, by the address at which they take calls of other
// hosts.
using relay_peers = std::map<base::endpoint, relay_peer>;

// Records a peer's statement that it reaches the servers.
void RecordReaches(relay_peers& peers,
                   const base::endpoint& peer,
                   const base::endpoint& relay_address,
                   bool same_zone,
                   base::time_point now);

// Records that the peer does not reach them, or does not respond.
void RecordUnreached(relay_peers& peers,
                     const base::endpoint& peer,
                     bool same_zone,
                     base::time_point now);

// Records that a request could not be sent through the peer at this relay
// address.
void RecordRelayFailed(relay_peers& peers,
                       const base::endpoint& relay_address,
                       base::time_point now);

// Returns up to `count` peers that reach the servers, to be asked again, by
// whether they are in this host's availability zone. The oldest statements come
// first.
std::vector<std::pair<base::endpoint, bool>> PeersToRefresh(
    const relay_peers& peers,
    base::time_point now,
    std::size_t count);

// Whether any peer is known to reach the servers.
bool AnyReaches(const relay_peers& peers, base::time_point now);

// Returns a peer for the next request, nothing if there is none. `near`: one of
// this host's availability zone if most of its hosts reach the servers, since
// the others could not bear the requests of all. Otherwise one of another zone.
std::optional<relay_peer> ChooseRelay(const relay_peers& peers,
                                      base::time_point now,
                                      bool near,
                                      std::mt19937_64& random);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_RELAY_PEERS_H_
