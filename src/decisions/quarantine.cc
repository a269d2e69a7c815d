// SPDX-License-Identifier: MIT
#include "decisions/quarantine.h"

#include <algorithm>

namespace valeledge::decisions {

namespace {

using detail::suspect;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

bool IsQuarantined(const suspect& each, base::time_point now) {
  return each.quarantined_since &&
         now < *each.quarantined_since + kQuarantineDuration;
}

// Crashes before the release may be reported again and are not counted.
void EndQuarantine(suspect& each, base::time_point now) {
  each.quarantined_since.reset();
  each.released_at = now;
  each.crashes.clear();
  each.last_event_at = now;
}

// Ends an expired quarantine and removes expired crashes.
void RemoveExpired(suspect& each, base::time_point now) {
  if (each.quarantined_since && !IsQuarantined(each, now))
    EndQuarantine(each, now);
  std::erase_if(each.crashes, [now](const server_crash& crash) {
    return now - crash.at >= kQuarantineDuration;
  });
}

bool IsExpired(const suspect& each, base::time_point now) {
  return !each.quarantined_since &&
         now - each.last_event_at >= kQuarantineDuration;
}

// Returns whether two reports count as one crash: the attempts overlapped in
// time, or both reports refer to the same crash of one server.
bool AreSameCrash(const server_crash& one, const server_crash& other) {
  const bool sequential = one.sent >= other.at || other.sent >= one.at;
  const auto interval =
      one.at > other.at ? one.at - other.at : other.at - one.at;
  return !sequential ||
         (one.server == other.server && interval < kSameCrashWindow);
}

// Removes the suspect with the oldest last event if the limit is reached.
// Returns false if all suspects are quarantined, since those are never removed.
bool EvictIfFull(quarantine& state) {
  if (state.suspects.size() < kMaxSuspects)
    return true;
  auto oldest = state.suspects.end();
  for (auto at = state.suspects.begin(); at != state.suspects.end(); ++at) {
    const bool evictable = !at->second.quarantined_since;
    const bool older = oldest == state.suspects.end() ||
                       at->second.last_event_at < oldest->second.last_event_at;
    if (evictable && older)
      oldest = at;
  }
  if (oldest == state.suspects.end())
    return false;
  state.suspects.erase(oldest);
  return true;
}

suspect* FindOrAdd(quarantine& state, std::uint64_t digest) {
  const auto found = state.suspects.find(digest);
  if (found != state.suspects.end())
    return &found->second;
  return EvictIfFull(state) ? &state.suspects[digest] : nullptr;
}

}  // namespace

bool MayHaveCrashedServer(const interrupted_attempt& attempt) {
  return attempt.connection_lost &&
         (!attempt.response_duration ||
          *attempt.response_duration < kEarlyResponseWindow);
}

bool RecordCrash(quarantine& state,
                 std::uint64_t digest,
                 const server_crash& crash,
                 base::time_point now) {
  suspect* const each = FindOrAdd(state, digest);
  if (each == nullptr)
    return false;
  RemoveExpired(*each, now);
  const bool is_known =
      std::ranges::any_of(each->crashes, [&crash](const server_crash& other) {
        return AreSameCrash(crash, other);
      });
  const bool before_release =
      each->released_at && crash.at < *each->released_at;
  if (is_known || before_release)
    return false;
  each->last_event_at = std::max(each->last_event_at, crash.at);
  if (each->crashes.size() < kCrashesToQuarantine)
    each->crashes.push_back(crash);
  if (each->quarantined_since)
    return false;
  if (each->crashes.size() < kCrashesToQuarantine && !each->released_at)
    return false;
  each->quarantined_since = now;
  return true;
}

bool RecordQuarantine(quarantine& state,
                      std::uint64_t digest,
                      base::time_point now) {
  suspect* const each = FindOrAdd(state, digest);
  if (each == nullptr)
    return false;
  RemoveExpired(*each, now);
  if (each->quarantined_since)
    return false;
  each->quarantined_since = now;
  each->last_event_at = now;
  return true;
}

bool RecordCompleteResponse(quarantine& state, std::uint64_t digest) {
  const auto found = state.suspects.find(digest);
  if (found == state.suspects.end() || found->second.quarantined_since)
    return false;
  state.suspects.erase(found);
  return true;
}

void Release(quarantine& state, std::uint64_t digest, base::time_point now) {
  const auto found = state.suspects.find(digest);
  if (found != state.suspects.end() && found->second.quarantined_since)
    EndQuarantine(found->second, now);
}

std::optional<milliseconds> RemainingQuarantine(const quarantine& state,
                                                std::uint64_t digest,
                                                base::time_point now) {
  const auto found = state.suspects.find(digest);
  if (found == state.suspects.end() || !IsQuarantined(found->second, now))
    return std::nullopt;
  return duration_cast<milliseconds>(*found->second.quarantined_since +
                                     kQuarantineDuration - now);
}

bool IsSuspected(const quarantine& state, std::uint64_t digest) {
  const auto found = state.suspects.find(digest);
  return found != state.suspects.end() &&
         (found->second.quarantined_since || found->second.crashes.size() > 1);
}

std::size_t CountQuarantined(const quarantine& state, base::time_point now) {
  return static_cast<std::size_t>(std::ranges::count_if(
      state.suspects,
      [now](const auto& each) { return IsQuarantined(each.second, now); }));
}

void Sweep(quarantine& state, base::time_point now) {
  for (auto& [digest, each] : state.suspects)
    RemoveExpired(each, now);
  std::erase_if(state.suspects, [now](const auto& each) {
    return IsExpired(each.second, now);
  });
}

}  // namespace valeledge::decisions
