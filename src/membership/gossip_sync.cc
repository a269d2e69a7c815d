// SPDX-License-Identifier: MIT
#include "membership/gossip_sync.h"

#include <algorithm>
#include <utility>

#include "membership/gossip_updates.h"

namespace valeledge::membership::detail {

namespace {

// Interval of full sync requests: the minimum while new members are being
// discovered, then doubled each time up to the maximum. The prober controls the
// interval: of 295 processes started together, each knew all others after 9 s,
// but only after 25 s when the probed process limited the rate (virtual time).
constexpr auto kMinSyncRequestInterval = std::chrono::milliseconds(500);
constexpr auto kMaxSyncRequestInterval = std::chrono::seconds(10);

// Minimum interval between unsolicited transmissions of the full state to peers
// with a different digest.
constexpr auto kSyncInterval = std::chrono::seconds(10);

}  // namespace

void SendFullState(gossip_state& state,
                   gossip_events& events,
                   const base::endpoint& to) {
  for (wire::gossip_message& each : SplitFullState(state)) {
    each.kind = static_cast<std::int32_t>(gossip_kind::kSync);
    each.sender = state.self;
    each.table_revision = state.table_revision;
    each.digest = static_cast<std::int64_t>(state.digest);
    events.datagrams.push_back({{to}, std::move(each)});
  }
}

bool IsNewIncarnation(const gossip_state& state, const member& sender) {
  const auto known = state.others.find(sender.id);
  return known == state.others.end() ||
         known->second.record.incarnation < sender.incarnation;
}

bool RequestsFullSync(const gossip_state& state,
                      const wire::gossip_message& message) {
  return message.wants_all &&
         static_cast<std::uint64_t>(message.digest) != state.digest;
}

bool ShouldRequestFullSync(gossip_state& state, base::time_point now) {
  if (now < state.next_sync_request)
    return false;
  const bool learned = state.others.size() > state.known_at_sync_request;
  const auto next =
      learned ? kMinSyncRequestInterval : 2 * state.sync_request_interval;
  state.sync_request_interval = std::clamp<std::chrono::microseconds>(
      next, kMinSyncRequestInterval, kMaxSyncRequestInterval);
  state.next_sync_request = now + state.sync_request_interval;
  state.known_at_sync_request = state.others.size();
  return true;
}

void SendFullStateIfDifferent(gossip_state& state,
                              const wire::gossip_message& message,
                              const base::endpoint& from,
                              base::time_point now,
                              gossip_events& events) {
  const bool same = static_cast<std::uint64_t>(message.digest) == state.digest;
  if (same || now < state.next_sync)
    return;
  state.next_sync = now + kSyncInterval;
  SendFullState(state, events, from);
}

}  // namespace valeledge::membership::detail
