// SPDX-License-Identifier: MIT
// Updates that processes send each other about requests suspected of crashing
// servers.
#ifndef VALELEDGE_DECISIONS_QUARANTINE_UPDATE_H_
#define VALELEDGE_DECISIONS_QUARANTINE_UPDATE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "base/duration.h"
#include "decisions/quarantine.h"
#include "wire/generated/messages_types.h"

namespace valeledge::decisions {

// Maximum number of observations kept by a process: several crashes with all
// requests in flight at each. The newest are kept.
inline constexpr std::size_t kMaxObservations = 256;

// Maximum number of observations in one message; the newest are sent. Each
// takes about 20 bytes, so that all fit into one datagram.
inline constexpr std::size_t kMaxObservationsPerMessage = 24;

// A crash or a complete response seen by this process itself.
struct quarantine_observation {
  std::uint64_t digest = 0;
  // The crash; empty if the request received a complete response.
  std::optional<server_crash> crash;
  base::time_point at;
};

// Recent observations of a process, the oldest first.
using quarantine_observations = std::deque<quarantine_observation>;

// Adds an observation and drops the oldest beyond kMaxObservations. A complete
// response replaces earlier crashes of the request, which would otherwise be
// sent again with each update; a crash replaces a complete response.
void AddObservation(quarantine_observations& observations,
                    const quarantine_observation& observation);

// Drops the crashes of requests for which another process has seen a complete
// response.
void DropCleared(quarantine_observations& observations,
                 const wire::end_news& update);

// Returns an update with the newest observations. It contains ages at `now`
// instead of times, since clocks differ.
wire::end_news MakeUpdate(const quarantine_observations& observations,
                          base::time_point now);

// Applies an update of another process. Returns the requests that are newly
// quarantined.
std::vector<std::uint64_t> ApplyUpdate(quarantine& state,
                                       const wire::end_news& update,
                                       base::time_point now);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_QUARANTINE_UPDATE_H_
