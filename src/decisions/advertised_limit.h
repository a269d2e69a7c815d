// SPDX-License-Identifier: MIT
// What one host knows of the rate limit that a backend server advertises in its
// responses, for all hosts together.
#ifndef VALELEDGE_DECISIONS_ADVERTISED_LIMIT_H_
#define VALELEDGE_DECISIONS_ADVERTISED_LIMIT_H_

#include <optional>

#include "base/duration.h"

namespace valeledge::decisions {

struct advertised_limit {
  // Requests a second that the server takes from all hosts together.
  double rate = 0;
  // When the head of the newest response with a limit was received.
  base::time_point received;
};

// What is known of one run of a server. Changed only by the functions below.
struct limit_view {
  std::optional<advertised_limit> limit;
  // When the response was received that withdrew the last limit.
  std::optional<base::time_point> withdrawn;
};

// What one response says about the limit.
struct limit_observation {
  // Nothing if the response advertises no limit.
  std::optional<double> rate;
  // When its request was sent, and when its head was received.
  base::time_point sent;
  base::time_point received;
};

// What another host knows.
struct limit_report {
  // Nothing if the server advertises no limit any more.
  std::optional<double> rate;
  // When that host received the response, by this host's clock.
  base::time_point received;
};

enum class limit_change {
  kNone,
  // No limit was known.
  kAdvertised,
  // The rate differs from the one before.
  kChanged,
  // The server advertises no limit any more.
  kWithdrawn,
};

// Takes in one response. Responses on different connections may overtake each
// other: one whose request was sent before a known limit was received may be
// older than it, so it may lower the limit but neither raise nor withdraw it.
limit_change Observe(limit_view& known, const limit_observation& seen);

// Takes in what another host knows. Of two statements of about the same time
// the stricter one counts, since reports are on their way for a moment.
limit_change Merge(limit_view& known, const limit_report& report);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_ADVERTISED_LIMIT_H_
