// SPDX-License-Identifier: MIT
// The prompt prefixes that a server has processed recently and may have cached.
#ifndef VALELEDGE_HOST_PROCESS_PROMPT_HISTORY_H_
#define VALELEDGE_HOST_PROCESS_PROMPT_HISTORY_H_

#include <cstdint>

#include "base/duration.h"
#include "host/external_protocol.h"
#include "host/process/known_server.h"

namespace valeledge::host {

// Records that a server has processed a request's prompt.
void RecordPrompt(known_server& server,
                  const request_metadata& head,
                  base::time_point now);

// Number of tokens in the longest recorded prefix of a request's prompt.
std::int64_t CachedTokens(const known_server& server,
                          const request_metadata& head,
                          base::time_point now);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_PROMPT_HISTORY_H_
