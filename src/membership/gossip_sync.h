// SPDX-License-Identifier: MIT
// Full state synchronization between two processes.
#ifndef VALELEDGE_MEMBERSHIP_GOSSIP_SYNC_H_
#define VALELEDGE_MEMBERSHIP_GOSSIP_SYNC_H_

#include "membership/gossip.h"

namespace valeledge::membership::detail {

// Sends the full state of this process, split into datagrams.
void SendFullState(gossip_state& state,
                   gossip_events& events,
                   const base::endpoint& to);

// Sends the full state if the digest of the message's sender differs and the
// minimum interval since the last such transmission has passed.
void SendFullStateIfDifferent(gossip_state& state,
                              const wire::gossip_message& message,
                              const base::endpoint& from,
                              base::time_point now,
                              gossip_events& events);

// True if the sender, or its incarnation, is unknown to this process. Such a
// sender has just started and has no state yet.
bool IsNewIncarnation(const gossip_state& state, const member& sender);

// True if the sender requests the full state and its digest differs.
bool RequestsFullSync(const gossip_state& state,
                      const wire::gossip_message& message);

// True if the next probe should request the full state; schedules the next
// request.
bool ShouldRequestFullSync(gossip_state& state, base::time_point now);

}  // namespace valeledge::membership::detail

#endif  // VALELEDGE_MEMBERSHIP_GOSSIP_SYNC_H_
