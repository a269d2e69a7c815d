// SPDX-License-Identifier: MIT
// One host's view of the rate limit that a backend server advertises in its
// responses, for all hosts together.
#ifndef VALELEDGE_DECISIONS_ADVERTISED_LIMIT_H_
#define VALELEDGE_DECISIONS_ADVERTISED_LIMIT_H_

#include <optional>

#include "base/duration.h"

namespace valeledge::decisions {

struct advertised_limit {
  // Requests per second that the server accepts from all hosts together.
  double rate = 0;
  // Receive time of the head of the newest response with a limit.
  base::time_point received;
};

// State of the limit for one run of a server. Modified only by the functions
// below.
struct limit_view {
  std::optional<advertised_limit> limit;
  // Receive time of the response that withdrew the last limit.
  std::optional<base::time_point> withdrawn;
};

// Limit information from one response.
struct limit_observation {
  // nullopt if the response advertises no limit.
  std::optional<double> rate;
  // Send time of the request, and receive time of the response head.
  base::time_point sent;
  base::time_point received;
};

// Limit information reported by another host.
struct limit_report {
  // nullopt if the server no longer advertises a limit.
  std::optional<double> rate;
  // Time at which that host received the response, by this host's clock.
  base::time_point received;
};

enum class limit_change {
  kNone,
  // A limit is advertised where none was known.
  kAdvertised,
  // The rate differs from the previous one.
  kChanged,
  // The server no longer advertises a limit.
  kWithdrawn,
};

// Applies one response. Responses on different connections may arrive out of
// order: a response whose request was sent before the known limit was received
// may be older than that limit, so it may lower the limit but neither raise nor
// withdraw it.
limit_change Observe(limit_view& known, const limit_observation& seen);

// Applies a report from another host. Of two reports from about the same time,
// the stricter one wins, since reports are delayed in transit.
limit_change Merge(limit_view& known, const limit_report& report);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_ADVERTISED_LIMIT_H_
