// SPDX-License-Identifier: MIT
// Checks chunk by chunk whether a streamed response is complete, in order and
// belongs to the expected attempt.
#ifndef VALELEDGE_DECISIONS_RESPONSE_CHECK_H_
#define VALELEDGE_DECISIONS_RESPONSE_CHECK_H_

#include <cstdint>
#include <optional>
#include <string>

namespace valeledge::decisions {

// A chunk of a streamed response as sent by the backend server.
struct response_chunk {
  // The attempt that the chunk belongs to.
  std::string attempt;
  // Index of the chunk's first token in the whole response.
  std::int64_t offset = 0;
  std::int64_t tokens = 0;
  std::string text;
  // Set in the last chunk.
  std::string finish_reason;
};

// Progress of the response to one attempt.
struct response_progress {
  std::string attempt;
  // Tokens forwarded so far, by this attempt and earlier ones.
  std::int64_t next_offset = 0;
  bool finished = false;
};

enum class chunk_fault {
  kWrongAttempt,
  kGap,
  kRepeat,
  kAfterEnd,
};

// Accepts a chunk that may be forwarded. If a fault is returned, the chunk must
// not be forwarded and the attempt has failed.
std::optional<chunk_fault> AcceptChunk(response_progress& progress,
                                       const response_chunk& chunk);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_RESPONSE_CHECK_H_
