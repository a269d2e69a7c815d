// SPDX-License-Identifier: MIT
// Payload of gossip messages: pending updates, or the full state.
#ifndef VALELEDGE_MEMBERSHIP_GOSSIP_UPDATES_H_
#define VALELEDGE_MEMBERSHIP_GOSSIP_UPDATES_H_

#include <string>
#include <vector>

#include "membership/gossip.h"

namespace valeledge::membership::detail {

// Queues the record under `key` for dissemination.
void AddRumor(gossip_state& state, const std::string& key, bool is_member);

// Adds pending updates to a message, least often sent first.
void AttachUpdates(gossip_state& state, wire::gossip_message& message);

// Splits all known members and records into messages whose payload is limited
// to gossip_settings::news_bytes.
std::vector<wire::gossip_message> SplitFullState(const gossip_state& state);

}  // namespace valeledge::membership::detail

#endif  // VALELEDGE_MEMBERSHIP_GOSSIP_UPDATES_H_
