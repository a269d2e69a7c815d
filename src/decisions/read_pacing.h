// SPDX-License-Identifier: MIT
// How much an engine has read of late. Its running streams get an event only
// after some steps of the batch, and each step may read a part of a prompt:
// where prompts are read without a break all streams there pause, and one pause
// that is too long makes every one of them late. Prompts that arrive in clumps
// are therefore spread over engines that have read less, also if each has
// nothing left to read at the moment.
#ifndef VALELEDGE_DECISIONS_READ_PACING_H_
#define VALELEDGE_DECISIONS_READ_PACING_H_

#include <chrono>

#include "base/duration.h"

namespace valeledge::decisions {

// Reading that was sent to an engine, the older part of it forgotten.
struct read_pacing {
  std::chrono::duration<double, std::milli> level{0};
  base::time_point at;
};

// Takes in that a prompt was sent which takes `reading` to read.
void AddPromptRead(read_pacing& pacing,
                   std::chrono::duration<double, std::milli> read_time,
                   base::time_point now);

// What a request should count against the engine beside its expected wait.
std::chrono::duration<double, std::milli> PauseCost(const read_pacing& pacing,
                                                    base::time_point now);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_READ_PACING_H_
