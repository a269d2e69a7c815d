// SPDX-License-Identifier: MIT
// Decides, chunk by chunk, whether an answer is the whole answer to one's own
// attempt.
#ifndef VALELEDGE_DECISIONS_RESPONSE_CHECK_H_
#define VALELEDGE_DECISIONS_RESPONSE_CHECK_H_

#include <cstdint>
#include <optional>
#include <string>

namespace valeledge::decisions {

// One chunk of a streamed answer as the backend server sent it.
struct response_chunk {
  // The attempt that the chunk belongs to.
  std::string attempt;
  // Number of the chunk's first token in the whole answer.
  std::int64_t offset = 0;
  std::int64_t tokens = 0;
  std::string text;
  // Set in the last chunk.
  std::string finish_reason;
};

// Progress of one attempt's answer.
struct response_progress {
  std::string attempt;
  // Tokens passed on so far, by this attempt and those before it.
  std::int64_t next_offset = 0;
  bool finished = false;
};

enum class chunk_fault {
  kWrongAttempt,
  kGap,
  kRepeat,
  kAfterEnd,
};

// Takes a chunk that may be passed on; a fault means that it must not be, and
// that the attempt has failed.
std::optional<chunk_fault> AcceptChunk(response_progress& progress,
                                       const response_chunk& chunk);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_RESPONSE_CHECK_H_
