// SPDX-License-Identifier: MIT
#include "decisions/snapshot_fetches.h"

#include <algorithm>

namespace valeledge::decisions {

namespace {

// Whether what was asked for may be expected to come without another peer.
bool IsComing(const copy_fetches& fetches, base::time_point now) {
  return std::ranges::any_of(fetches.asked, [&](const auto& each) {
    const copy_fetch& fetch = each.second;
    return now - fetch.heard < kCopyPatience && now - fetch.begun < kSlowCopy;
  });
}

}  // namespace

bool BeginFetch(copy_fetches& fetches,
                const base::endpoint& peer,
                bool same_zone,
                base::time_point now) {
  if (!fetches.behind_since)
    fetches.behind_since = now;
  if (!same_zone && now - *fetches.behind_since < kOwnZoneFirst)
    return false;
  if (fetches.asked.size() >= kMostCopies || IsComing(fetches, now))
    return false;
  return fetches.asked.try_emplace(peer, copy_fetch{now, 0, now}).second;
}

void NoteAsked(copy_fetches& fetches,
               const base::endpoint& peer,
               base::time_point now) {
  fetches.asked.insert_or_assign(peer, copy_fetch{now, 0, now});
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
  return found->second.heard + kCopySilence;
}

void NoteCopy(copy_fetches& fetches) {
  fetches.behind_since.reset();
}

std::chrono::milliseconds BehindFor(const copy_fetches& fetches,
                                    base::time_point now) {
  if (!fetches.behind_since)
    return std::chrono::milliseconds(0);
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      now - *fetches.behind_since);
}

void EndFetch(copy_fetches& fetches, const base::endpoint& peer) {
  fetches.asked.erase(peer);
}

}  // namespace valeledge::decisions
