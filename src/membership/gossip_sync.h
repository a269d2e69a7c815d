// SPDX-License-Identifier: MIT
// Full exchanges: who is told everything that a process knows, and when.
#ifndef VALELEDGE_MEMBERSHIP_GOSSIP_SYNC_H_
#define VALELEDGE_MEMBERSHIP_GOSSIP_SYNC_H_

#include "membership/gossip.h"

namespace valeledge::membership::detail {

// Sends everything this process knows, in datagrams of the usual size.
void SendFullState(gossip_state& state,
                   gossip_events& events,
                   const base::endpoint& to);

// The same, if the sender of a message knows something else and nobody was told
// everything lately.
void SendFullStateIfDifferent(gossip_state& state,
                              const wire::gossip_message& message,
                              const base::endpoint& from,
                              base::time_point now,
                              gossip_events& events);

// Whether a sender is a run that was not heard of before: it knows nothing.
bool IsNewIncarnation(const gossip_state& state, const member& sender);

// Whether a sender asks for everything, and knows something else.
bool RequestsFullSync(const gossip_state& state,
                      const wire::gossip_message& message);

// Whether a process that is probed now is asked for everything it knows.
bool ShouldRequestFullSync(gossip_state& state, base::time_point now);

}  // namespace valeledge::membership::detail

#endif  // VALELEDGE_MEMBERSHIP_GOSSIP_SYNC_H_
