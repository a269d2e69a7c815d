// SPDX-License-Identifier: MIT
// Which peers are being asked for their copy of the store. A large
// configuration takes a fifth of a second on a narrow link, and several hosts
// may ask the same peer: what is on its way must be waited for, not asked for
// again, but a peer that is gone must not hold up the others.
#ifndef VALELEDGE_HOST_PROCESS_COPY_FETCHES_H_
#define VALELEDGE_HOST_PROCESS_COPY_FETCHES_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <set>

#include "base/duration.h"
#include "base/endpoint.h"

namespace valeledge::host {

// A copy that has not come after so long is not waited for: 280 KB (1,650
// routes) take 225 ms at 10 Mbit/s, and eight hosts may share the link.
inline constexpr std::chrono::milliseconds kCopyTimeout{2000};

// Another peer is asked, beside those that were, after so long without a copy.
inline constexpr std::chrono::milliseconds kCopyPatience{500};

// Peers that are asked at the same time.
inline constexpr std::size_t kMostCopies = 3;

// Peers of other availability zones are asked once a newer copy has been known
// of for so long: one host of each zone follows the store, so that the copies
// of 58 others need not cross zones, where bytes have a price. While callers
// are served a host hears from its own zone every 30 ms.
inline constexpr std::chrono::milliseconds kOwnZoneFirst{300};

struct copy_fetches {
  std::set<base::endpoint> asked;
  base::time_point last_begun;
  // Since when a newer copy is known of that no peer has given.
  std::optional<base::time_point> behind_since;
};

// Notes that a peer with a newer copy is asked, if it may be now.
inline bool BeginFetch(copy_fetches& fetches,
                       const base::endpoint& peer,
                       bool same_zone,
                       base::time_point now) {
  if (!fetches.behind_since)
    fetches.behind_since = now;
  if (!same_zone && now - *fetches.behind_since < kOwnZoneFirst)
    return false;
  const bool patient =
      !fetches.asked.empty() && now - fetches.last_begun < kCopyPatience;
  if (patient || fetches.asked.size() >= kMostCopies)
    return false;
  if (!fetches.asked.insert(peer).second)
    return false;
  fetches.last_begun = now;
  return true;
}

// A peer has given its copy; there may be a newer one by now.
inline void NoteCopy(copy_fetches& fetches) {
  fetches.behind_since.reset();
}

inline void EndFetch(copy_fetches& fetches, const base::endpoint& peer) {
  fetches.asked.erase(peer);
}

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_COPY_FETCHES_H_
