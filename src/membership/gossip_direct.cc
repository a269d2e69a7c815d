// SPDX-License-Identifier: MIT
#include "membership/gossip_direct.h"

#include <algorithm>
#include <utility>

namespace valeledge::membership {

namespace detail {

bool IsDead(const known_member& each) {
  return each.record.health == static_cast<std::int32_t>(member_health::kDead);
}

std::vector<const known_member*> PickOthers(const gossip_state& state,
                                            std::size_t count,
                                            const std::string& except,
                                            random_source& random,
                                            const std::string& zone) {
  std::vector<const known_member*> candidates;
  if (count == 0)
    return candidates;
  for (const auto& [id, each] : state.others) {
    const bool near = zone.empty() || each.record.zone == zone;
    if (near && id != except && !IsDead(each))
      candidates.push_back(&each);
  }
  std::ranges::shuffle(candidates, random);
  candidates.resize(std::min(count, candidates.size()));
  return candidates;
}

}  // namespace detail

namespace {

// Addresses of the members, this process excepted, that are among the `count`
// chosen for a subject.
std::vector<base::endpoint> ChosenFor(gossip_state& state,
                                      const direct_audience& audience) {
  std::vector<base::endpoint> out;
  const choice_question question{audience.subject, audience.zone,
                                 audience.most};
  for (const std::string& id : ChosenMembers(state, question)) {
    const auto known = state.others.find(id);
    if (known != state.others.end())
      out.push_back(known->second.address);
  }
  return out;
}

}  // namespace

gossip_events TellDirectly(gossip_state& state,
                           const std::string& key,
                           std::string value,
                           const direct_audience& audience,
                           random_source& random) {
  gossip_events events;
  soft_record record;
  record.key = key;
  record.value = std::move(value);
  // The receiver knows this process already, or learns of it from its pings.
  wire::gossip_message message;
  message.kind = static_cast<std::int32_t>(gossip_kind::kDirect);
  message.sender.id = state.self.id;
  message.table_revision = state.table_revision;
  message.records.push_back(std::move(record));
  std::vector<base::endpoint> to;
  if (audience.subject.empty()) {
    for (const detail::known_member* each :
         detail::PickOthers(state, audience.most, {}, random, audience.zone))
      to.push_back(each->address);
  } else {
    to = ChosenFor(state, audience);
  }
  const bool add = audience.always &&
                   std::ranges::find(to, *audience.always) == to.end() &&
                   base::ToString(*audience.always) != state.self.address;
  if (add)
    to.push_back(*audience.always);
  if (!to.empty())
    events.datagrams.push_back({std::move(to), std::move(message)});
  return events;
}

}  // namespace valeledge::membership
