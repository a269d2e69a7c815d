// SPDX-License-Identifier: MIT
// Requests to servers that fail if they have to reject too many requests in a
// second.
//
// A rejection that one host receives pauses all hosts. The pauses end at
// different times, so that few hosts try the server before the next rejection
// is known to all.
#ifndef VALELEDGE_DECISIONS_BRITTLE_SERVER_H_
#define VALELEDGE_DECISIONS_BRITTLE_SERVER_H_

#include <chrono>
#include <cstdint>

namespace valeledge::decisions {

// Returns how long a host sends nothing to a server that tolerates this many
// rejections per second from `hosts` hosts together and has just rejected a
// request of any of them. `jitter` is from 0 to 1.
std::chrono::milliseconds BrittlePause(double rejections_per_second,
                                       std::int64_t hosts,
                                       double jitter);

// Returns how many requests a server with these slots gets at a time: it may
// not queue any.
std::int64_t BrittleSlots(std::int64_t slots);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_BRITTLE_SERVER_H_
