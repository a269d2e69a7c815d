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
  // After a backoff, one request is sent as a trial, and the others wait for
  // its response until this time.
  base::time_point trial_until;
  // The next request is a trial.
  bool trial_due = false;
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

// Whether the server wants no requests from this host now.
bool IsBackingOff(const server_notices& known, base::time_point now);

// Whether the server is in a backoff, or a trial is in progress.
bool IsPaused(const server_notices& known, base::time_point now);

// When the pause ends; in the past if there is none.
base::time_point PausedUntil(const server_notices& known);

// Call when a request is about to be sent. Returns true if it is the trial;
// EndTrial() must be called once its response or its failure is known.
bool BeginTrial(server_notices& known, base::time_point now);
void EndTrial(server_notices& known);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_SERVER_NOTICES_H_
