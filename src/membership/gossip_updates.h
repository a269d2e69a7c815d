// SPDX-License-Identifier: MIT
// What a gossip message carries beside its own purpose: news still to be
// repeated, or everything.
#ifndef VALELEDGE_MEMBERSHIP_GOSSIP_UPDATES_H_
#define VALELEDGE_MEMBERSHIP_GOSSIP_UPDATES_H_

#include <string>
#include <vector>

#include "membership/gossip.h"

namespace valeledge::membership::detail {

// The record under `key` is to be repeated from now on.
void AddRumor(gossip_state& state, const std::string& key, bool is_member);

// Puts the news that was repeated least into a message.
void AttachUpdates(gossip_state& state, wire::gossip_message& message);

// All members and records that are known, in messages of the usual size that
// hold nothing else.
std::vector<wire::gossip_message> SplitFullState(const gossip_state& state);

}  // namespace valeledge::membership::detail

#endif  // VALELEDGE_MEMBERSHIP_GOSSIP_UPDATES_H_
