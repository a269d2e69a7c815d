// SPDX-License-Identifier: MIT
#include "decisions/change_history.h"

#include <algorithm>

namespace valeledge::decisions {

namespace {

void AddGap(change_history& history, std::int64_t from, std::int64_t to) {
  if (to - from < 2)
    return;
  history.gaps.push_back({from, to});
  if (history.gaps.size() <= kMaxHistoryGaps)
    return;
  DiscardChanges(history, history.gaps.front().to);
}

}  // namespace

void RecordChanges(change_history& history, std::int64_t revision) {
  history.revision = std::max(history.revision, revision);
}

void RecordAllKeys(change_history& history, std::int64_t revision) {
  RecordReceivedChanges(history, revision, revision);
}

void RecordReceivedChanges(change_history& history,
                           std::int64_t complete_since,
                           std::int64_t revision) {
  if (revision <= history.revision)
    return;
  AddGap(history, history.revision, std::min(complete_since, revision));
  history.revision = revision;
}

void DiscardChanges(change_history& history, std::int64_t up_to) {
  history.discarded_up_to = std::max(history.discarded_up_to, up_to);
  std::erase_if(history.gaps, [&](const history_gap& each) {
    return each.to <= history.discarded_up_to;
  });
}

bool HasChangesSince(const change_history& history, std::int64_t revision) {
  return revision >= history.discarded_up_to &&
         std::ranges::none_of(history.gaps, [&](const history_gap& each) {
           return each.from < revision && revision < each.to;
         });
}

std::int64_t CompleteSince(const change_history& history) {
  return history.gaps.empty()
             ? history.discarded_up_to
             : std::max(history.gaps.back().to, history.discarded_up_to);
}

bool AcceptsChanges(const change_history& history,
                    std::int64_t requested_since,
                    std::int64_t complete_since) {
  return history.revision == requested_since ||
         history.revision >= complete_since;
}

}  // namespace valeledge::decisions
