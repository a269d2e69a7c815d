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
inline constexpr std::size_t kMostFacts = 256;

// Facts in one message, the newest: each takes some 20 bytes, and all fit into
// one datagram.
inline constexpr std::size_t kMostToldAtOnce = 24;

// Something that a process has seen itself.
struct quarantine_fact {
  std::uint64_t digest = 0;
  // The server that ended; nothing if the request was answered whole.
  std::optional<server_end> end;
  base::time_point at;
};

// What a process has seen lately, the oldest first.
using quarantine_facts = std::deque<quarantine_fact>;

// Adds a fact, and drops the oldest beyond kMostFacts. A whole answer takes the
// place of the ends before it, which would be told again and again otherwise;
// an end takes the place of a whole answer.
void AddFact(quarantine_facts& facts, const quarantine_fact& fact);

// Drops the ends under requests that another process has seen answered whole.
void DropCleared(quarantine_facts& facts, const wire::end_news& news);

// The newest facts as they are told at `now`; ages stand for times, since
// clocks differ.
wire::end_news NewsOf(const quarantine_facts& facts, base::time_point now);

// Takes in what another process told: the requests that are held back from now
// on, and were not before.
std::vector<std::uint64_t> TakeNews(quarantine& known,
                                    const wire::end_news& news,
                                    base::time_point now);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_QUARANTINE_UPDATE_H_
