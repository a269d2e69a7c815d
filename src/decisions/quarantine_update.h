// SPDX-License-Identifier: MIT
// What processes tell each other of requests under which servers end.
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

// Facts that one process keeps, the newest: those of several ends with all the
// requests that were there.
inline constexpr std::size_t kMaxObservations = 256;

// Facts in one message, the newest: each takes some 20 bytes, and all fit into
// one datagram.
inline constexpr std::size_t kMaxObservationsPerMessage = 24;

// Something that a process has seen itself.
struct quarantine_observation {
  std::uint64_t digest = 0;
  // The server that ended; nothing if the request was answered whole.
  std::optional<server_crash> crash;
  base::time_point at;
};

// What a process has seen lately, the oldest first.
using quarantine_observations = std::deque<quarantine_observation>;

// Adds a fact, and drops the oldest beyond kMaxObservations. A whole answer
// takes the place of the ends before it, which would be told again and again
// otherwise; an end takes the place of a whole answer.
void AddObservation(quarantine_observations& observations,
                    const quarantine_observation& observation);

// Drops the ends under requests that another process has seen answered whole.
void DropCleared(quarantine_observations& observations,
                 const wire::end_news& update);

// The newest facts as they are told at `now`; ages stand for times, since
// clocks differ.
wire::end_news MakeUpdate(const quarantine_observations& observations,
                          base::time_point now);

// Takes in what another process told: the requests that are held back from now
// on, and were not before.
std::vector<std::uint64_t> ApplyUpdate(quarantine& state,
                                       const wire::end_news& update,
                                       base::time_point now);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_QUARANTINE_UPDATE_H_
