// SPDX-License-Identifier: MIT
// Decides whether this host has lost the network path to all backend servers of
// a service, as opposed to single servers that are down, slow or silent.
//
// Suspicion starts with evidence from requests in progress. Only connections
// that are opened as probes to several servers confirm it or end it.
#ifndef VALELEDGE_DECISIONS_PATH_HEALTH_H_
#define VALELEDGE_DECISIONS_PATH_HEALTH_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "base/duration.h"

namespace valeledge::decisions {

// What the attempts in progress at the servers of one service show.
struct attempt_evidence {
  // Start of the oldest attempt that still waits for its connection.
  std::optional<base::time_point> connecting_since;
  // Latest time at which the oldest silent attempt was sent or received data.
  std::optional<base::time_point> silent_since;
};

// The path to the servers of one service. Modified only by the functions below.
struct path_health {
  bool is_lost = false;
  // Time of the last change of `is_lost`.
  base::time_point changed_at;
  // Since when a connection has failed without a successful probe after it.
  std::optional<base::time_point> failed_since;
  base::time_point last_received;
  // When a server last accepted a probe or sent data.
  base::time_point last_reached;
  base::time_point last_probe;
  // Rounds of probes in a row that reached no server.
  int failed_rounds = 0;
  // Successful probe rounds in a row while the path is lost.
  int successes = 0;
  // Number of rounds that must succeed; grows while the path flaps.
  int required_successes = 2;
  // Servers that closed connections with requests in progress, and when.
  std::map<std::string, base::time_point> broken_off;
};

enum class path_change { kNone, kLost, kRegained };

// Records data received from any server of the service.
void RecordReceived(path_health& path, base::time_point now);

// Records that no connection could be opened to a server.
void RecordConnectFailed(path_health& path, base::time_point now);

// Records that a server's connection broke while a request was in progress.
void RecordBrokenOff(path_health& path,
                     const std::string& server,
                     base::time_point now);

// Returns the number of servers to probe now; 0 if no probe is due.
std::size_t ProbesDue(const path_health& path,
                      const attempt_evidence& attempts,
                      base::time_point now);

// Records a round of probes. `reached`: whether any server accepted a
// connection. `unreached`: how many of the `servers` of the service have been
// probed in vain since one last did.
path_change RecordProbes(path_health& path,
                         bool reached,
                         std::size_t unreached,
                         std::size_t servers,
                         base::time_point now);

// Whether connections that break now may be due to the path rather than to
// crashed servers: the path is lost, or several servers broke off together.
bool MayBePathLoss(const path_health& path, base::time_point now);

// Whether a server has shown since `failing_since` that it serves this host.
// Another host, whose connections have failed since then, has lost its path
// only if one has: otherwise the servers themselves may be silent for a moment.
bool HasReachedSince(const path_health& path, base::time_point failing_since);

// Whether a failed attempt says nothing about its server.
bool IsSuspected(const path_health& path);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_PATH_HEALTH_H_
