// SPDX-License-Identifier: MIT
#include "decisions/copy_fetches.h"

namespace valeledge::decisions {

bool BeginFetch(copy_fetches& fetches,
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
  if (!fetches.asked.try_emplace(peer, copy_fetch{now, 0, now}).second)
    return false;
  fetches.last_begun = now;
  return true;
}

void NoteBytes(copy_fetches& fetches,
               const base::endpoint& peer,
               std::int64_t bytes,
               base::time_point heard) {
  const auto found = fetches.asked.find(peer);
  if (found == fetches.asked.end() || found->second.bytes >= bytes)
    return;
  found->second.bytes = bytes;
  found->second.heard = heard;
}

base::time_point GiveUpAt(const copy_fetches& fetches,
                          const base::endpoint& peer) {
  const auto found = fetches.asked.find(peer);
  if (found == fetches.asked.end())
    return {};
  return found->second.begun + kCopyTimeout;
}

void NoteCopy(copy_fetches& fetches) {
  fetches.behind_since.reset();
}

void EndFetch(copy_fetches& fetches, const base::endpoint& peer) {
  fetches.asked.erase(peer);
}

}  // namespace valeledge::decisions
