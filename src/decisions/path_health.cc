// SPDX-License-Identifier: MIT
#include "decisions/path_health.h"

#include <algorithm>

namespace valeledge::decisions {

namespace {

using std::chrono::milliseconds;

// A connection within a region is open after a few milliseconds.
constexpr milliseconds kSlowConnect{60};

// Longer than the usual time to the first byte of a response.
constexpr milliseconds kSilence{300};

// Minimum interval between probe rounds for silence alone.
constexpr milliseconds kSilenceProbeInterval{600};

// Interval between probe rounds while the path is lost.
constexpr milliseconds kLostProbeInterval{200};

// Probes of a round that follows silence, of the next one, and of all others.
// One successful probe ends a suspicion.
constexpr std::size_t kFirstProbes = 1;
constexpr std::size_t kFewProbes = 3;
constexpr std::size_t kManyProbes = 6;

// Servers that must be probed in vain, so that a service half of whose servers
// are down is not taken for unreachable.
constexpr std::size_t kServersToConfirm = 9;

// A path that is lost again within this time after it was regained flaps.
constexpr std::chrono::seconds kFlapWindow{5};
constexpr int kMinSuccesses = 2;
constexpr int kMaxSuccesses = 8;

// Servers that break off connections within this time do so for one reason.
constexpr milliseconds kBreakOffWindow{250};
constexpr std::size_t kServersBrokenOff = 3;

}  // namespace

void RecordReceived(path_health& path, base::time_point now) {
  path.last_received = now;
  path.last_reached = now;
}

void RecordConnectFailed(path_health& path, base::time_point now) {
  if (!path.failed_since)
    path.failed_since = now;
}

void RecordBrokenOff(path_health& path,
                     const std::string& server,
                     base::time_point now) {
  std::erase_if(path.broken_off, [now](const auto& each) {
    return now - each.second > kBreakOffWindow;
  });
  path.broken_off[server] = now;
  if (path.broken_off.size() >= kServersBrokenOff)
    RecordConnectFailed(path, now);
}

std::size_t ProbesDue(const path_health& path,
                      const attempt_evidence& attempts,
                      base::time_point now) {
  if (path.is_lost)
    return now - path.last_probe >= kLostProbeInterval ? kManyProbes : 0;
  const bool slow_connect = attempts.connecting_since &&
                            now - *attempts.connecting_since >= kSlowConnect &&
                            path.last_probe < *attempts.connecting_since;
  if (path.failed_since || slow_connect)
    return path.failed_rounds == 0 ? kFewProbes : kManyProbes;
  const bool silent =
      attempts.silent_since &&
      now - std::max(*attempts.silent_since, path.last_received) >= kSilence &&
      now - path.last_probe >= kSilenceProbeInterval;
  return silent ? kFirstProbes : 0;
}

path_change RecordProbes(path_health& path,
                         bool reached,
                         std::size_t unreached,
                         std::size_t servers,
                         base::time_point now) {
  path.last_probe = now;
  if (reached) {
    path.last_reached = now;
    path.failed_since.reset();
    path.failed_rounds = 0;
    if (!path.is_lost || ++path.successes < path.required_successes)
      return path_change::kNone;
    path.is_lost = false;
    path.changed_at = now;
    return path_change::kRegained;
  }
  path.successes = 0;
  ++path.failed_rounds;
  RecordConnectFailed(path, now);
  const bool confirmed = unreached >= std::min(kServersToConfirm, servers);
  if (path.is_lost || !confirmed)
    return path_change::kNone;
  const bool flaps = now - path.changed_at < kFlapWindow;
  path.required_successes =
      flaps ? std::min(path.required_successes * 2, kMaxSuccesses)
            : kMinSuccesses;
  path.is_lost = true;
  path.changed_at = now;
  return path_change::kLost;
}

bool MayBePathLoss(const path_health& path, base::time_point now) {
  const auto recent = std::ranges::count_if(
      path.broken_off,
      [now](const auto& each) { return now - each.second <= kBreakOffWindow; });
  return path.is_lost || static_cast<std::size_t>(recent) >= kServersBrokenOff;
}

bool HasReachedSince(const path_health& path, base::time_point failing_since) {
  return !path.is_lost && path.last_reached >= failing_since;
}

bool IsSuspected(const path_health& path) {
  return path.is_lost || path.failed_since.has_value();
}

}  // namespace valeledge::decisions
