// SPDX-License-Identifier: MIT
// Which peers are asked for their copy of what the key-value service holds (all
// keys of a host, the table of the other programs), and how long each copy is
// waited for.
//
// A large configuration takes half a second and more on a narrow link, and
// several hosts may ask the same peer. So a copy is waited for as long as it
// comes in, however long that takes: what is given up is carried in vain, on
// the very link on which the next copy is waited for. With a limit on the whole
// copy instead, 21 of 22 hosts on links of 10 Mbit/s had no copy of 750 KB
// after 60 s, in which 100 were carried (virtual time).
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

// A copy of which nothing comes in for so long is given up: its peer has gone,
// or cannot be reached.
inline constexpr std::chrono::milliseconds kSnapshotIdleTimeout{1000};

// Another peer is asked, beside one that was, if nothing came in for so long.
inline constexpr std::chrono::milliseconds kSnapshotStallTime{500};

// The same once a copy has taken so long in all: its peer's link may be shared
// by more hosts than another's, or its process be slow. The largest value that
// the service holds, 1 MB, takes 0.8 s at 10 Mbit/s; one more beside it then
// costs the first no more than as long again.
inline constexpr std::chrono::milliseconds kSlowSnapshotTime{1500};

// A host that has known of a newer copy for so long without any newer one does
// not tell callers that something does not exist. With a pause of 30 ms between
// copies this is some 30 times what one takes when all is well.
inline constexpr std::chrono::milliseconds kStaleAfter{1000};

// Peers that are asked at the same time: more only share the asker's own link.
inline constexpr std::size_t kMaxConcurrentFetches = 2;

// Peers of other availability zones are asked once a newer copy has been known
// of for so long: one host of each zone follows the store, so that the copies
// of 58 others need not cross zones, where bytes have a price. While callers
// are served a host hears from its own zone every 30 ms.
inline constexpr std::chrono::milliseconds kSameZoneOnlyTime{300};

// A peer that has been asked.
struct snapshot_fetch {
  base::time_point started_at;
  // What has come in since, and when the last of it came.
  std::int64_t bytes = 0;
  base::time_point received_at;
};

// What one host has asked for. Changed only by the functions below.
struct snapshot_fetches {
  std::map<base::endpoint, snapshot_fetch> pending;
  // Since when a newer copy is known of that no peer has given.
  std::optional<base::time_point> stale_since;
};

// Notes that a peer with a newer copy is asked, if it may be now.
bool TryStartFetch(snapshot_fetches& fetches,
                   const base::endpoint& peer,
                   bool same_zone,
                   base::time_point now);

// Notes that a peer is asked whatever else is, as a process does that has no
// copy at all.
void StartFetch(snapshot_fetches& fetches,
                const base::endpoint& peer,
                base::time_point now);

// So many bytes have come from a peer that was asked, the last of them at
// `heard`.
void RecordBytes(snapshot_fetches& fetches,
                 const base::endpoint& peer,
                 std::int64_t bytes,
                 base::time_point received_at);

// When the copy of a peer that was asked is given up, unless more of it comes;
// its connection is closed then, so that the rest is not carried.
base::time_point FetchDeadline(const snapshot_fetches& fetches,
                               const base::endpoint& peer);

// What this host has is newer than before; there may be a newer copy by now.
void RecordSnapshot(snapshot_fetches& fetches);

// How long a newer copy has been known of that has not come; zero if none is.
std::chrono::milliseconds StaleFor(const snapshot_fetches& fetches,
                                   base::time_point now);

// A peer has given its copy, or is not waited for any longer.
void EndFetch(snapshot_fetches& fetches, const base::endpoint& peer);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_SNAPSHOT_FETCHES_H_
