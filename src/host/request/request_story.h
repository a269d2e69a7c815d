// SPDX-License-Identifier: MIT
// The log lines that tell the story of one request.
#ifndef VALELEDGE_HOST_REQUEST_REQUEST_STORY_H_
#define VALELEDGE_HOST_REQUEST_REQUEST_STORY_H_

#include <chrono>
#include <string>

#include "base/error.h"
#include "host/process/host_core.h"
#include "host/request/routed_request.h"

namespace valeledge::host {

// How far a request has come, as its lines tell it.
struct request_story {
  int sends = 0;
  // The head has gone to the caller.
  bool started = false;
  std::string last_event;
  std::chrono::milliseconds first_event{0};
  std::chrono::milliseconds widest_pause{0};
};

// An attempt is sent to the server that was chosen.
void TellSent(host_core& core,
              const routed_request& routed,
              const request_story& story,
              const server_choice& choice,
              const attempt_head& added);

// Nothing came back of an attempt.
void TellFailed(host_core& core,
                const routed_request& routed,
                const request_story& story,
                const known_server& server,
                const base::error& failed);

// The caller has its whole answer, or has left.
void TellEnd(host_core& core,
             const routed_request& routed,
             const request_story& story,
             const known_server& server,
             bool has_left);

// The request is refused, or ends without a whole answer.
void TellRefused(host_core& core,
                 const routed_request& routed,
                 const request_story& story,
                 const base::error& failed);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_REQUEST_REQUEST_STORY_H_
