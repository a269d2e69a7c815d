// SPDX-License-Identifier: MIT
#include "decisions/response_check.h"

namespace valeledge::decisions {

std::optional<chunk_fault> AcceptChunk(response_progress& progress,
                                       const response_chunk& chunk) {
  if (chunk.attempt != progress.attempt)
    return chunk_fault::kWrongAttempt;
  if (progress.finished)
    return chunk_fault::kAfterEnd;
  if (chunk.offset > progress.next_offset)
    return chunk_fault::kGap;
  if (chunk.offset < progress.next_offset)
    return chunk_fault::kRepeat;
  progress.next_offset += chunk.tokens;
  progress.finished = !chunk.finish_reason.empty();
  return std::nullopt;
}

}  // namespace valeledge::decisions
