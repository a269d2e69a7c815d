// SPDX-License-Identifier: MIT
// How long the caller of a stream waits for its next event.
#ifndef VALELEDGE_DECISIONS_STREAM_PATIENCE_H_
#define VALELEDGE_DECISIONS_STREAM_PATIENCE_H_

#include <chrono>

namespace valeledge::decisions {

// Returns the time without an event after which callers abandon a stream, also
// before its first event. `objective`: time to the first event that the route
// aims at. `event_gap`: longest pause between events that it accepts; 0: not
// stated.
std::chrono::milliseconds CallerPatience(std::chrono::milliseconds objective,
                                         std::chrono::milliseconds event_gap);

// Returns the longest time for which a stream that is resumed may wait for a
// server. `limit`: time without an event after which it is of no use, the
// caller's patience or the time to its deadline. The rest of the limit is left
// for the server's first event and for the network.
std::chrono::milliseconds MaxResumeWait(std::chrono::milliseconds limit);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_STREAM_PATIENCE_H_
