// SPDX-License-Identifier: MIT
#include "membership/gossip.h"

#include <algorithm>
#include <utility>

#include "membership/gossip_direct.h"
#include "membership/gossip_sync.h"
#include "membership/gossip_updates.h"

namespace valeledge::membership {

namespace {

using detail::AddRumor;
using detail::AttachUpdates;
using detail::InvalidateSelections;
using detail::IsDead;
using detail::IsNewIncarnation;
using detail::known_member;
using detail::PickRandomMembers;
using detail::RequestsFullSync;
using detail::SendFullState;
using detail::SendFullStateIfDifferent;
using detail::ShouldRequestFullSync;

// Number of members that are requested to probe an unresponsive one.
constexpr std::size_t kIndirectProbes = 2;

// Maximum delay in detecting that a suspect is overdue. Iterating over 294
// members on each tick was among the largest CPU costs of an idle host.
constexpr auto kExpiryCheckInterval = std::chrono::milliseconds(250);

// Relayed pings expire after this many probe timeouts.
constexpr int kRelayTimeouts = 10;

bool IsSuspect(const known_member& each) {
  return each.record.health ==
         static_cast<std::int32_t>(member_health::kSuspect);
}

void ToggleDigest(gossip_state& state, const member& each) {
  state.digest ^= Digest(each);
}

wire::gossip_message MakeMessage(gossip_state& state,
                                 gossip_kind kind,
                                 std::int64_t sequence) {
  wire::gossip_message message;
  message.kind = static_cast<std::int32_t>(kind);
  message.sequence = sequence;
  message.sender = state.self;
  message.table_revision = state.table_revision;
  message.digest = static_cast<std::int64_t>(state.digest);
  AttachUpdates(state, message);
  return message;
}

void Send(gossip_state& state,
          gossip_events& events,
          const base::endpoint& to,
          gossip_kind kind,
          std::int64_t sequence,
          const std::string& target = {}) {
  outgoing_datagram each{{to}, MakeMessage(state, kind, sequence)};
  each.message.target = target;
  events.datagrams.push_back(std::move(each));
}

void DisseminateNow(gossip_state& state,
                    gossip_events& events,
                    random_source& random) {
  const auto count = static_cast<std::size_t>(state.settings.fanout);
  for (const known_member* each : PickRandomMembers(state, count, {}, random))
    Send(state, events, each->address, gossip_kind::kUpdates, 0);
}

void SetHealth(gossip_state& state,
               known_member& each,
               member_health health,
               base::time_point now,
               gossip_events& events) {
  const member before = each.record;
  ToggleDigest(state, each.record);
  each.record.health = static_cast<std::int32_t>(health);
  ToggleDigest(state, each.record);
  InvalidateSelections(state.selections, &before, each.record);
  each.health_since = now;
  AddRumor(state, each.record.id, true);
  events.changed.push_back(each.record.id);
}

// Raises the incarnation above that of an earlier run of this process. It can
// be higher if the clock has been set back since.
void SupersedeEarlierRun(gossip_state& state,
                         const member& earlier,
                         gossip_events& events) {
  ToggleDigest(state, state.self);
  state.self.incarnation = earlier.incarnation + 1;
  ToggleDigest(state, state.self);
  AddRumor(state, state.self.id, true);
  events.refuted = true;
}

// Processes a received record of this process; refutes suspect and dead.
void HandleSelfUpdate(gossip_state& state,
                      const member& received,
                      gossip_events& events) {
  // A higher incarnation at another address is a later process with this name,
  // which has replaced this one.
  const bool earlier = received.incarnation > state.self.incarnation &&
                       received.address == state.self.address;
  if (earlier) {
    SupersedeEarlierRun(state, received, events);
    return;
  }
  const bool same = received.incarnation == state.self.incarnation;
  const bool worse =
      received.health != static_cast<std::int32_t>(member_health::kAlive);
  if (!same || !worse || received.health_version < state.self.health_version)
    return;
  ToggleDigest(state, state.self);
  state.self.health_version = received.health_version + 1;
  ToggleDigest(state, state.self);
  AddRumor(state, state.self.id, true);
  events.refuted = true;
}

// Sends a process its record if this process has it as suspect, dead or at a
// newer incarnation, so that it can refute. `sender` is the record that the
// process sent of itself; null if none.
void NotifyIfSuspected(gossip_state& state,
                       const std::string& id,
                       const member* sender,
                       const base::endpoint& to,
                       gossip_events& events) {
  const auto found = state.others.find(id);
  if (found == state.others.end())
    return;
  const bool suspected = IsSuspect(found->second) || IsDead(found->second);
  const bool outdated = sender != nullptr &&
                        sender->incarnation < found->second.record.incarnation;
  if (!suspected && !outdated)
    return;
  Send(state, events, to, gossip_kind::kUpdates, 0);
  events.datagrams.back().message.updates.push_back(found->second.record);
}

// Returns true if the update should be disseminated immediately.
bool HandleMemberUpdate(gossip_state& state,
                        const member& received,
                        base::time_point now,
                        gossip_events& events) {
  if (received.id == state.self.id) {
    HandleSelfUpdate(state, received, events);
    return false;
  }
  const auto address = base::ParseEndpoint(received.address);
  if (!address || received.id.empty())
    return false;
  auto found = state.others.find(received.id);
  if (found == state.others.end()) {
    const bool dead =
        received.health == static_cast<std::int32_t>(member_health::kDead);
    if (dead)
      return false;
    state.others.emplace(received.id, known_member{received, *address, now});
    ToggleDigest(state, received);
    InvalidateSelections(state.selections, nullptr, received);
    AddRumor(state, received.id, true);
    events.changed.push_back(received.id);
    return false;
  }
  known_member& known = found->second;
  const member before = known.record;
  if (!Merge(known.record, received))
    return false;
  state.digest ^= Digest(before) ^ Digest(known.record);
  InvalidateSelections(state.selections, &before, known.record);
  known.address = *address;
  if (known.record.health != before.health ||
      known.record.health_version != before.health_version) {
    known.health_since = now;
  }
  AddRumor(state, received.id, true);
  events.changed.push_back(received.id);
  // Processes that wait for a terminated member need to know immediately, and
  // also when a suspicion is refuted.
  const bool suspected = known.record.health != before.health &&
                         known.record.incarnation == before.incarnation;
  return (known.record.leaving && !before.leaving) || suspected;
}

void HandleRecordUpdate(gossip_state& state,
                        const soft_record& received,
                        gossip_events& events) {
  const auto found = state.soft.records.find(received.key);
  const std::uint64_t before =
      found == state.soft.records.end() ? 0 : Digest(found->second);
  if (!Merge(state.soft, received))
    return;
  state.digest ^= before ^ Digest(received);
  AddRumor(state, received.key, false);
  events.records.push_back(received.key);
}

// Processes records that a known member sent to this process only.
void HandleDirectRecords(const gossip_state& state,
                         const wire::gossip_message& message,
                         gossip_events& events) {
  const auto sender = state.others.find(message.sender.id);
  if (sender == state.others.end())
    return;
  const base::endpoint& address = sender->second.address;
  for (const soft_record& each : message.records)
    events.direct.push_back({message.sender.id, address, each.key, each.value});
  if (message.table_revision > state.table_revision) {
    events.newer_table_at = address;
    events.newer_table_zone = sender->second.record.zone;
  }
}

void FailProbe(gossip_state& state,
               base::time_point now,
               random_source& random,
               gossip_events& events) {
  const auto probed = std::exchange(state.current_probe, std::nullopt);
  const auto found = state.others.find(probed->target);
  if (found == state.others.end() || IsDead(found->second))
    return;
  if (IsSuspect(found->second))
    return;
  SetHealth(state, found->second, member_health::kSuspect, now, events);
  DisseminateNow(state, events, random);
}

void ContinueProbe(gossip_state& state,
                   base::time_point now,
                   random_source& random,
                   gossip_events& events) {
  detail::probe& probed = *state.current_probe;
  const auto waited = now - probed.sent;
  if (waited >= state.settings.probe_interval) {
    FailProbe(state, now, random, events);
    return;
  }
  if (probed.indirect || waited < state.settings.probe_timeout)
    return;
  probed.indirect = true;
  const std::string target = probed.target;
  const std::int64_t sequence = probed.sequence;
  for (const known_member* each :
       PickRandomMembers(state, kIndirectProbes, target, random)) {
    Send(state, events, each->address, gossip_kind::kPingRequest, sequence,
         target);
  }
}

void StartProbe(gossip_state& state,
                base::time_point now,
                random_source& random,
                gossip_events& events) {
  if (state.probe_order.empty()) {
    for (const auto& [id, each] : state.others) {
      if (!IsDead(each))
        state.probe_order.push_back(id);
    }
    std::ranges::shuffle(state.probe_order, random);
  }
  while (!state.probe_order.empty()) {
    const std::string target = state.probe_order.back();
    state.probe_order.pop_back();
    const auto found = state.others.find(target);
    if (found == state.others.end() || IsDead(found->second))
      continue;
    const std::int64_t sequence = state.next_sequence++;
    state.current_probe = detail::probe{target, sequence, now, false};
    Send(state, events, found->second.address, gossip_kind::kPing, sequence);
    events.datagrams.back().message.wants_all =
        ShouldRequestFullSync(state, now);
    NotifyIfSuspected(state, target, nullptr, found->second.address, events);
    return;
  }
}

// Pings all seeds if no other member is alive, else a single seed in one of ten
// probe intervals on average, so that the halves of a healed network partition
// merge.
void ContactSeeds(gossip_state& state,
                  random_source& random,
                  gossip_events& events) {
  const bool alone = std::ranges::all_of(
      state.others, [](const auto& each) { return IsDead(each.second); });
  std::uniform_int_distribution<std::size_t> tenth(0, 9);
  if (state.seeds.empty() || (!alone && tenth(random) != 0))
    return;
  std::uniform_int_distribution<std::size_t> any(0, state.seeds.size() - 1);
  const std::size_t first = any(random);
  const std::size_t count = alone ? state.seeds.size() : 1;
  for (std::size_t i = 0; i < count; ++i) {
    const base::endpoint& seed = state.seeds[(first + i) % state.seeds.size()];
    if (base::ToString(seed) != state.self.address)
      Send(state, events, seed, gossip_kind::kPing, state.next_sequence++);
  }
}

void ExpireMembers(gossip_state& state,
                   base::time_point now,
                   gossip_events& events) {
  if (now < state.next_expiry_check)
    return;
  state.next_expiry_check = now + kExpiryCheckInterval;
  for (auto& [id, each] : state.others) {
    const bool overdue =
        now - each.health_since >= state.settings.suspect_timeout;
    if (IsSuspect(each) && overdue)
      SetHealth(state, each, member_health::kDead, now, events);
  }
  std::erase_if(state.others, [&](const auto& entry) {
    const known_member& each = entry.second;
    const bool expired = IsDead(each) && now - each.health_since >=
                                             state.settings.dead_retention;
    if (expired)
      ToggleDigest(state, each.record);
    return expired;
  });
}

}  // namespace

gossip_events Tick(gossip_state& state,
                   base::time_point now,
                   random_source& random) {
  gossip_events events;
  ExpireMembers(state, now, events);
  if (state.current_probe)
    ContinueProbe(state, now, random, events);
  if (now >= state.next_probe && !state.current_probe) {
    state.next_probe = now + state.settings.probe_interval;
    StartProbe(state, now, random, events);
    ContactSeeds(state, random, events);
    const auto oldest = now - kRelayTimeouts * state.settings.probe_timeout;
    std::erase_if(state.relayed,
                  [&](const auto& each) { return each.second.sent < oldest; });
  }
  return events;
}

gossip_events Receive(gossip_state& state,
                      const wire::gossip_message& message,
                      const base::endpoint& from,
                      base::time_point now,
                      random_source& random) {
  gossip_events events;
  if (message.kind == static_cast<std::int32_t>(gossip_kind::kDirect)) {
    HandleDirectRecords(state, message, events);
    return events;
  }
  const bool new_incarnation = IsNewIncarnation(state, message.sender);
  bool urgent = HandleMemberUpdate(state, message.sender, now, events);
  for (const member& each : message.updates)
    urgent |= HandleMemberUpdate(state, each, now, events);
  for (const soft_record& each : message.records)
    HandleRecordUpdate(state, each, events);
  NotifyIfSuspected(state, message.sender.id, &message.sender, from, events);
  if (message.table_revision > state.table_revision) {
    events.newer_table_at = base::ParseEndpoint(message.sender.address);
    events.newer_table_zone = message.sender.zone;
  }
  switch (static_cast<gossip_kind>(message.kind)) {
    case gossip_kind::kPing:
      Send(state, events, from, gossip_kind::kAck, message.sequence);
      if (new_incarnation || RequestsFullSync(state, message))
        SendFullState(state, events, from);
      else
        SendFullStateIfDifferent(state, message, from, now, events);
      break;
    case gossip_kind::kAck: {
      if (state.current_probe &&
          state.current_probe->sequence == message.sequence)
        state.current_probe.reset();
      const auto relay = state.relayed.find(message.sequence);
      if (relay != state.relayed.end()) {
        Send(state, events, relay->second.requester, gossip_kind::kAck,
             relay->second.requester_sequence);
        state.relayed.erase(relay);
      }
      SendFullStateIfDifferent(state, message, from, now, events);
      break;
    }
    case gossip_kind::kPingRequest: {
      const auto target = state.others.find(message.target);
      if (target == state.others.end())
        break;
      const std::int64_t sequence = state.next_sequence++;
      state.relayed[sequence] = {from, message.sequence, now};
      Send(state, events, target->second.address, gossip_kind::kPing, sequence);
      break;
    }
    case gossip_kind::kUpdates:
    case gossip_kind::kSync:
    case gossip_kind::kDirect:
      break;
  }
  if (urgent || events.refuted)
    DisseminateNow(state, events, random);
  return events;
}

void ProbeNext(gossip_state& state, const base::endpoint& address) {
  for (const auto& [id, each] : state.others) {
    if (each.address != address || IsDead(each))
      continue;
    const bool under_way =
        state.current_probe && state.current_probe->target == id;
    if (!under_way)
      state.probe_order.push_back(id);
    return;
  }
}

gossip_events AnnounceLeaving(gossip_state& state, random_source& random) {
  gossip_events events;
  const member before = state.self;
  ToggleDigest(state, state.self);
  state.self.leaving = true;
  ToggleDigest(state, state.self);
  InvalidateSelections(state.selections, &before, state.self);
  AddRumor(state, state.self.id, true);
  DisseminateNow(state, events, random);
  return events;
}

gossip_events AnnounceTable(gossip_state& state,
                            std::int64_t revision,
                            random_source& random) {
  gossip_events events;
  if (revision <= state.table_revision)
    return events;
  state.table_revision = revision;
  DisseminateNow(state, events, random);
  return events;
}

gossip_events AnnounceRecord(gossip_state& state,
                             const std::string& key,
                             std::string value,
                             std::chrono::system_clock::time_point now) {
  gossip_events events;
  const auto found = state.soft.records.find(key);
  if (found != state.soft.records.end())
    state.digest ^= Digest(found->second);
  const auto now_us = std::chrono::duration_cast<std::chrono::microseconds>(
                          now.time_since_epoch())
                          .count();
  const soft_record& record =
      SetOwnRecord(state.soft, key, std::move(value), now_us);
  state.digest ^= Digest(record);
  AddRumor(state, key, false);
  events.records.push_back(key);
  return events;
}

std::vector<member> Members(const gossip_state& state) {
  std::vector<member> out;
  out.reserve(state.others.size() + 1);
  out.push_back(state.self);
  for (const auto& [id, each] : state.others)
    out.push_back(each.record);
  return out;
}

}  // namespace valeledge::membership
