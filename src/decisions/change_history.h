// SPDX-License-Identifier: MIT
// Which changes of the key-value service a host has seen, and therefore to
// which hosts it may send changes instead of all keys.
//
// A host that reads all keys sees what has changed since its previous revision,
// but not the keys that were created and deleted in between. A host whose
// revision lies in between may have such a key. If it is sent only the changes
// that were seen, it keeps the key until it reads all keys itself.
#ifndef VALELEDGE_DECISIONS_CHANGE_HISTORY_H_
#define VALELEDGE_DECISIONS_CHANGE_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <vector>

namespace valeledge::decisions {

// Number of gaps that are kept. Beyond it the oldest ones are treated as one
// that reaches back to the first revision.
inline constexpr std::size_t kMaxHistoryGaps = 32;

// Two revisions between which changes may have been missed. The changes since
// either of them are known.
struct history_gap {
  std::int64_t from = 0;
  std::int64_t to = 0;
};

// The revision of a host's keys, and the gaps before it in ascending order.
// Modified only by the functions below.
struct change_history {
  std::int64_t revision = 0;
  // Changes up to this revision are no longer kept.
  std::int64_t discarded_up_to = 0;
  std::vector<history_gap> gaps;
};

// Records that all changes up to a newer revision have been seen.
void RecordChanges(change_history& history, std::int64_t revision);

// Records that all keys at a revision have been read.
void RecordAllKeys(change_history& history, std::int64_t revision);

// Records changes received from a host that has seen all changes from
// `complete_since` to `revision`.
void RecordReceivedChanges(change_history& history,
                           std::int64_t complete_since,
                           std::int64_t revision);

// Records that changes up to a revision are no longer kept.
void DiscardChanges(change_history& history, std::int64_t up_to);

// Returns whether all changes since a revision are known, so that a host at
// that revision needs no other keys.
bool HasChangesSince(const change_history& history, std::int64_t revision);

// Returns the oldest revision since which every change has been seen.
std::int64_t CompleteSince(const change_history& history);

// Returns whether a host can apply changes that were requested since
// `requested_since`, although it may have reached a newer revision meanwhile.
// `complete_since`: as for RecordReceivedChanges.
bool AcceptsChanges(const change_history& history,
                    std::int64_t requested_since,
                    std::int64_t complete_since);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_CHANGE_HISTORY_H_
