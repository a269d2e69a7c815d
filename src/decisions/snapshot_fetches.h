// SPDX-License-Identifier: MIT
// Which peers a process requests snapshots of the key-value service from (all
// keys of a host, or the table of the other programs), and when a fetch times
// out.
//
// A large configuration takes half a second and more on a narrow link, and
// several hosts may request it from the same peer. A fetch therefore has an
// idle timeout and no limit on its total time: an abandoned transfer wastes
// bandwidth on the very link that the next one needs. With a limit on the total
// time, 21 of 22 hosts on links of 10 Mbit/s had no snapshot of 750 KB after 60
// s, in which 100 had been transferred (virtual time).
#ifndef VALELEDGE_DECISIONS_SNAPSHOT_FETCHES_H_
#define VALELEDGE_DECISIONS_SNAPSHOT_FETCHES_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "base/duration.h"
#include "base/endpoint.h"

namespace valeledge::decisions {

// A fetch without progress for this time is abandoned: the peer has stopped or
// is unreachable.
inline constexpr std::chrono::milliseconds kSnapshotIdleTimeout{1000};

// A second peer is queried if no fetch has progressed for this time.
inline constexpr std::chrono::milliseconds kSnapshotStallTime{500};

// A second peer is also queried if a fetch takes longer than this in total,
// since its peer may have a slow process or a link shared by more hosts. The
// largest value in the service, 1 MB, takes 0.8 s at 10 Mbit/s; a second
// transfer at that point at most doubles the time of the first.
inline constexpr std::chrono::milliseconds kSlowSnapshotTime{1500};

// A host that has known of a newer snapshot for this time without receiving any
// does not report to callers that something does not exist. With an interval of
// 30 ms between snapshots this is about 30 times the normal delay.
inline constexpr std::chrono::milliseconds kStaleAfter{1000};

// Maximum number of peers queried at the same time. More would only share the
// link of this host.
inline constexpr std::size_t kMaxConcurrentFetches = 2;

// Peers of other availability zones are queried only when a newer snapshot has
// been known of for this time. One host per zone follows the store, so that the
// snapshots of 58 others need not cross zones, where traffic is charged for.
// While callers are served, a host receives reports from its own zone every 30
// ms.
inline constexpr std::chrono::milliseconds kSameZoneOnlyTime{300};

// A fetch from one peer.
struct snapshot_fetch {
  base::time_point started_at;
  // Bytes received, and when the last of them arrived.
  std::int64_t bytes = 0;
  base::time_point received_at;
};

// Fetches of one process. Modified only by the functions below.
struct snapshot_fetches {
  std::map<base::endpoint, snapshot_fetch> pending;
  // Since when a newer snapshot is known of that has not been received.
  std::optional<base::time_point> stale_since;
};

// Starts a fetch from a peer that has a newer snapshot, if one is permitted
// now. Returns whether it was started.
bool TryStartFetch(snapshot_fetches& fetches,
                   const base::endpoint& peer,
                   bool same_zone,
                   base::time_point now);

// Starts a fetch from a peer regardless of others, for a process that has no
// snapshot yet.
void StartFetch(snapshot_fetches& fetches,
                const base::endpoint& peer,
                base::time_point now);

// Records the total number of bytes received from a peer, the last of them at
// `received_at`.
void RecordBytes(snapshot_fetches& fetches,
                 const base::endpoint& peer,
                 std::int64_t bytes,
                 base::time_point received_at);

// Returns when the fetch from a peer is abandoned unless more bytes arrive. The
// connection is closed then, so that the rest is not transferred.
base::time_point FetchDeadline(const snapshot_fetches& fetches,
                               const base::endpoint& peer);

// Records that newer data was received; a still newer snapshot may exist.
void RecordSnapshot(snapshot_fetches& fetches);

// Returns for how long a newer snapshot has been known of but not received;
// zero if there is none.
std::chrono::milliseconds StaleFor(const snapshot_fetches& fetches,
                                   base::time_point now);

// Ends the fetch from a peer, whether it has completed or is abandoned.
void EndFetch(snapshot_fetches& fetches, const base::endpoint& peer);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_SNAPSHOT_FETCHES_H_
