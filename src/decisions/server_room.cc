// SPDX-License-Identifier: MIT
#include "decisions/server_room.h"

#include <algorithm>

namespace valeledge::decisions {

void RecordAccepted(server_room& room, std::int64_t held) {
  room.held = std::max(room.held, held);
}

void RecordRejected(server_room& room, std::int64_t held) {
  room.held = std::min(room.held, held - 1);
}

bool IsFull(const server_room& room, std::int64_t slots, std::int64_t held) {
  return held >= std::max({room.held, slots, std::int64_t{1}});
}

}  // namespace valeledge::decisions
