// SPDX-License-Identifier: MIT
#include "decisions/snapshot_fetches.h"

#include <algorithm>

namespace valeledge::decisions {

namespace {

// Returns whether a pending fetch is expected to complete without a second
// peer.
bool IsFetchProgressing(const snapshot_fetches& fetches, base::time_point now) {
  return std::ranges::any_of(fetches.pending, [&](const auto& each) {
    const snapshot_fetch& fetch = each.second;
    return now - fetch.received_at < kSnapshotStallTime &&
           now - fetch.started_at < kSlowSnapshotTime;
  });
}

}  // namespace

bool TryStartFetch(snapshot_fetches& fetches,
                   const base::endpoint& peer,
                   bool same_zone,
                   base::time_point now) {
  if (!fetches.stale_since)
    fetches.stale_since = now;
  if (!same_zone && now - *fetches.stale_since < kSameZoneOnlyTime)
    return false;
  if (fetches.pending.size() >= kMaxConcurrentFetches ||
      IsFetchProgressing(fetches, now))
    return false;
  return fetches.pending.try_emplace(peer, snapshot_fetch{now, 0, now}).second;
}

void StartFetch(snapshot_fetches& fetches,
                const base::endpoint& peer,
                base::time_point now) {
  fetches.pending.insert_or_assign(peer, snapshot_fetch{now, 0, now});
}

void RecordBytes(snapshot_fetches& fetches,
                 const base::endpoint& peer,
                 std::int64_t bytes,
                 base::time_point received_at) {
  const auto found = fetches.pending.find(peer);
  if (found == fetches.pending.end() || found->second.bytes >= bytes)
    return;
  found->second.bytes = bytes;
  found->second.received_at = received_at;
}

base::time_point FetchDeadline(const snapshot_fetches& fetches,
                               const base::endpoint& peer) {
  const auto found = fetches.pending.find(peer);
  if (found == fetches.pending.end())
    return {};
  return found->second.received_at + kSnapshotIdleTimeout;
}

void RecordSnapshot(snapshot_fetches& fetches) {
  fetches.stale_since.reset();
}

std::chrono::milliseconds StaleFor(const snapshot_fetches& fetches,
                                   base::time_point now) {
  if (!fetches.stale_since)
    return std::chrono::milliseconds(0);
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      now - *fetches.stale_since);
}

void EndFetch(snapshot_fetches& fetches, const base::endpoint& peer) {
  fetches.pending.erase(peer);
}

}  // namespace valeledge::decisions
