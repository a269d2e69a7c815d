// SPDX-License-Identifier: MIT
// What a backend server has stated about itself in its responses to this host.
// Kept apart from the server's entry, which may lag behind or state the
// opposite: neither overwrites the other.
#ifndef VALELEDGE_DECISIONS_SERVER_NOTICES_H_
#define VALELEDGE_DECISIONS_SERVER_NOTICES_H_

#include <chrono>
#include <optional>

#include "base/duration.h"

namespace valeledge::decisions {

// The notices of one run of a server. Modified only by the functions below.
struct server_notices {
  // Receive time of the first response that stated that the server is leaving.
  // A server that leaves does not return in the same run.
  std::optional<base::time_point> leaving_since;
  // Receive time of a response of another instance at the server's address.
  std::optional<base::time_point> replaced_at;
  // The server wants no requests from this host before this time.
  base::time_point backoff_until;
};

// What one response states.
struct response_notice {
  bool is_leaving = false;
  // Time for which the server wants no requests; not set if not stated.
  std::optional<std::chrono::milliseconds> backoff;
  // Receive time of the response header.
  base::time_point received;
};

struct notice_changes {
  bool started_leaving = false;
  // A backoff has started. False if one that is in progress was extended.
  bool started_backoff = false;
};

// Applies one response. Responses may arrive out of order, and none takes back
// what another one has stated: the latest end of all backoffs counts.
notice_changes Observe(server_notices& known, const response_notice& seen);

// Records that another instance has responded at the server's address.
void RecordReplaced(server_notices& known, base::time_point now);

// Applies an update of the server's entry. An update long after a response of
// another instance shows that the server is at its address; an earlier one may
// have been written before that response.
void ObserveEntry(server_notices& known, base::time_point now);

// Whether the responses show that the server takes no more requests.
bool HasLeft(const server_notices& known);

bool IsBackingOff(const server_notices& known, base::time_point now);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_SERVER_NOTICES_H_
