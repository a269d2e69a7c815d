// SPDX-License-Identifier: MIT
#include "membership/gossip_direct.h"

#include <algorithm>
#include <utility>

namespace valeledge::membership {

namespace detail {

bool IsDead(const known_member& each) {
  return each.record.health == static_cast<std::int32_t>(member_health::kDead);
}

std::vector<const known_member*> PickRandomMembers(
    const gossip_state& state,
    std::size_t count,
    const std::string& excluded_id,
    random_source& random,
    const std::string& zone) {
  std::vector<const known_member*> candidates;
  if (count == 0)
    return candidates;
  for (const auto& [id, each] : state.others) {
    const bool zone_matches = zone.empty() || each.record.zone == zone;
    if (zone_matches && id != excluded_id && !IsDead(each))
      candidates.push_back(&each);
  }
  std::ranges::shuffle(candidates, random);
  candidates.resize(std::min(count, candidates.size()));
  return candidates;
}

}  // namespace detail

namespace {

// Returns the addresses of the members selected for the subject, without this
// process.
std::vector<base::endpoint> SelectedAddresses(
    gossip_state& state,
    const direct_recipients& recipients) {
  std::vector<base::endpoint> out;
  const selection_query query{recipients.subject, recipients.zone,
                              recipients.max_count};
  for (const std::string& id : SelectMembers(state, query)) {
    const auto known = state.others.find(id);
    if (known != state.others.end())
      out.push_back(known->second.address);
  }
  return out;
}

}  // namespace

gossip_events SendDirectly(gossip_state& state,
                           const std::string& key,
                           std::string value,
                           const direct_recipients& recipients,
                           random_source& random) {
  gossip_events events;
  soft_record record;
  record.key = key;
  record.value = std::move(value);
  // The id is sufficient: receivers have the full record of this process, or
  // obtain it from its pings.
  wire::gossip_message message;
  message.kind = static_cast<std::int32_t>(gossip_kind::kDirect);
  message.sender.id = state.self.id;
  message.table_revision = state.table_revision;
  message.records.push_back(std::move(record));
  std::vector<base::endpoint> to;
  if (recipients.subject.empty()) {
    for (const detail::known_member* each : detail::PickRandomMembers(
             state, recipients.max_count, {}, random, recipients.zone))
      to.push_back(each->address);
  } else {
    to = SelectedAddresses(state, recipients);
  }
  const bool add =
      recipients.always_included &&
      std::ranges::find(to, *recipients.always_included) == to.end() &&
      base::ToString(*recipients.always_included) != state.self.address;
  if (add)
    to.push_back(*recipients.always_included);
  if (!to.empty())
    events.datagrams.push_back({std::move(to), std::move(message)});
  return events;
}

}  // namespace valeledge::membership
