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

// What one response says about the limit.
struct limit_observation {
  // Nothing if the response advertises no limit.
  std::optional<double> rate;
  // When its request was sent, and when its head was received.
  base::time_point sent;
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
limit_change Observe(std::optional<advertised_limit>& known,
                     const limit_observation& seen);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_ADVERTISED_LIMIT_H_
