// SPDX-License-Identifier: MIT
// Recent prompt processing of an engine.
//
// Running streams receive an event only after several steps of the batch, and
// each step may process a part of a prompt. While an engine processes prompts
// without a break, all of its streams pause, and a single pause that is too
// long makes every stream late. Bursts of prompts are therefore spread over the
// engines with the least recent prompt processing, even if no engine has
// prompts left to process at present.
#ifndef VALELEDGE_DECISIONS_READ_PACING_H_
#define VALELEDGE_DECISIONS_READ_PACING_H_

#include <chrono>

#include "base/duration.h"

namespace valeledge::decisions {

// Time spent on prompts sent to an engine, with exponential decay.
struct read_pacing {
  std::chrono::duration<double, std::milli> level{0};
  base::time_point at;
};

// Records a prompt that takes `read_time` to process.
void AddPromptRead(read_pacing& pacing,
                   std::chrono::duration<double, std::milli> read_time,
                   base::time_point now);

// Returns the cost to add to the expected wait of a request at this engine.
std::chrono::duration<double, std::milli> PauseCost(const read_pacing& pacing,
                                                    base::time_point now);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_READ_PACING_H_
