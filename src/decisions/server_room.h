// SPDX-License-Identifier: MIT
// Whether a backend server has room for another request.
//
// A server runs as many requests at a time as it has slots. It queues a few
// more, but does not state how many, so this is learned from its responses.
#ifndef VALELEDGE_DECISIONS_SERVER_ROOM_H_
#define VALELEDGE_DECISIONS_SERVER_ROOM_H_

#include <cstdint>

namespace valeledge::decisions {

// Modified only by the functions below.
struct server_room {
  // Number of requests that it has been seen to hold at a time; 0: unknown.
  std::int64_t held = 0;
};

// Records that the server has accepted a request with which it holds `held`.
void RecordAccepted(server_room& room, std::int64_t held);

// Records that it has rejected a request with which it would hold `held`.
void RecordRejected(server_room& room, std::int64_t held);

// Returns whether a server with these slots that holds `held` requests would
// probably reject another one.
bool IsFull(const server_room& room, std::int64_t slots, std::int64_t held);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_SERVER_ROOM_H_
