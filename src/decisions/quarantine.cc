// SPDX-License-Identifier: MIT
#include "decisions/quarantine.h"

#include <algorithm>

namespace valeledge::decisions {

namespace {

using detail::suspect;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

bool IsHeld(const suspect& each, base::time_point now) {
  return each.held_since && now < *each.held_since + kHoldTime;
}

// What was told of it before, and may be told again, no longer counts.
void EndHold(suspect& each, base::time_point now) {
  each.held_since.reset();
  each.released_at = now;
  each.ends.clear();
  each.newest = now;
}

// Ends holds that have run out, and forgets ends that are too old.
void Age(suspect& each, base::time_point now) {
  if (each.held_since && !IsHeld(each, now))
    EndHold(each, now);
  std::erase_if(each.ends, [now](const server_end& end) {
    return now - end.at >= kHoldTime;
  });
}

bool IsForgotten(const suspect& each, base::time_point now) {
  return !each.held_since && now - each.newest >= kHoldTime;
}

// Whether two ends count as one: attempts that were under way at the same time,
// or what is told of one server again.
bool AreOne(const server_end& one, const server_end& other) {
  const bool in_turn = one.sent >= other.at || other.sent >= one.at;
  const auto apart = one.at > other.at ? one.at - other.at : other.at - one.at;
  return !in_turn || (one.server == other.server && apart < kSameEnd);
}

// Makes room for one more: what is held back stays, and of the others the one
// whose last end is the longest ago goes.
bool MakeRoom(quarantine& known) {
  if (known.suspects.size() < kMostSuspects)
    return true;
  auto oldest = known.suspects.end();
  for (auto at = known.suspects.begin(); at != known.suspects.end(); ++at) {
    const bool may_go = !at->second.held_since;
    const bool older = oldest == known.suspects.end() ||
                       at->second.newest < oldest->second.newest;
    if (may_go && older)
      oldest = at;
  }
  if (oldest == known.suspects.end())
    return false;
  known.suspects.erase(oldest);
  return true;
}

suspect* FindOrAdd(quarantine& known, std::uint64_t digest) {
  const auto found = known.suspects.find(digest);
  if (found != known.suspects.end())
    return &found->second;
  return MakeRoom(known) ? &known.suspects[digest] : nullptr;
}

}  // namespace

bool IsSuspect(const broken_attempt& attempt) {
  return attempt.connection_lost &&
         (!attempt.answering || *attempt.answering < kBeginning);
}

bool NoteEnd(quarantine& known,
             std::uint64_t digest,
             const server_end& end,
             base::time_point now) {
  suspect* const each = FindOrAdd(known, digest);
  if (each == nullptr)
    return false;
  Age(*each, now);
  const bool same = std::ranges::any_of(
      each->ends,
      [&end](const server_end& other) { return AreOne(end, other); });
  const bool before = each->released_at && end.at < *each->released_at;
  if (same || before)
    return false;
  each->newest = std::max(each->newest, end.at);
  if (each->ends.size() < kEndsToHold)
    each->ends.push_back(end);
  if (each->held_since)
    return false;
  if (each->ends.size() < kEndsToHold && !each->released_at)
    return false;
  each->held_since = now;
  return true;
}

bool NoteHeld(quarantine& known, std::uint64_t digest, base::time_point now) {
  suspect* const each = FindOrAdd(known, digest);
  if (each == nullptr)
    return false;
  Age(*each, now);
  if (each->held_since)
    return false;
  each->held_since = now;
  each->newest = now;
  return true;
}

bool NoteWhole(quarantine& known, std::uint64_t digest) {
  const auto found = known.suspects.find(digest);
  if (found == known.suspects.end() || found->second.held_since)
    return false;
  known.suspects.erase(found);
  return true;
}

void Release(quarantine& known, std::uint64_t digest, base::time_point now) {
  const auto found = known.suspects.find(digest);
  if (found != known.suspects.end() && found->second.held_since)
    EndHold(found->second, now);
}

std::optional<milliseconds> HeldFor(const quarantine& known,
                                    std::uint64_t digest,
                                    base::time_point now) {
  const auto found = known.suspects.find(digest);
  if (found == known.suspects.end() || !IsHeld(found->second, now))
    return std::nullopt;
  return duration_cast<milliseconds>(*found->second.held_since + kHoldTime -
                                     now);
}

bool IsSuspected(const quarantine& known, std::uint64_t digest) {
  const auto found = known.suspects.find(digest);
  return found != known.suspects.end() &&
         (found->second.held_since || found->second.ends.size() > 1);
}

std::size_t CountHeld(const quarantine& known, base::time_point now) {
  return static_cast<std::size_t>(std::ranges::count_if(
      known.suspects,
      [now](const auto& each) { return IsHeld(each.second, now); }));
}

void Sweep(quarantine& known, base::time_point now) {
  for (auto& [digest, each] : known.suspects)
    Age(each, now);
  std::erase_if(known.suspects, [now](const auto& each) {
    return IsForgotten(each.second, now);
  });
}

}  // namespace valeledge::decisions
