// SPDX-License-Identifier: MIT
// Shares out the rate limit that a backend server advertises among all hosts.
//
// Answers the load at which a server takes fewer requests a second than its
// callers ask for. Only the holder of the lease grants permits, so no two hosts
// do at the same time, whoever sees whom; a new holder begins with an empty
// bucket. In any span of length t, all holders together grant at most rate * t
// and one burst, however often the holder changes.
#ifndef VALELEDGE_DECISIONS_SERVER_LIMITER_H_
#define VALELEDGE_DECISIONS_SERVER_LIMITER_H_

#include <chrono>
#include <cstdint>

#include "base/duration.h"
#include "decisions/token_bucket.h"

namespace valeledge::decisions {

// The permits of one server. Changed only by the functions below.
struct server_limiter {
  token_bucket bucket;
  // Retries of refused requests are spread: the next one is due then.
  base::time_point next_retry;
  // Less urgent requests are refused until then, since one of this priority
  // was refused and comes back. Lower priorities are more urgent.
  std::int64_t urgent_priority = 0;
  base::time_point urgent_until;
};

// A limiter that has no permit yet. `rate`: requests a second; one of 0 still
// gives a permit from time to time, by which its end is found out.
server_limiter MakeServerLimiter(double rate, base::time_point now);

// The server advertises another rate from now on.
void SetRate(server_limiter& limiter, double rate, base::time_point now);

struct permit_verdict {
  bool granted = false;
  // When to ask again, if refused.
  std::chrono::milliseconds retry_after{0};
};

// Asks for a permit for one request.
permit_verdict TryAcquirePermit(server_limiter& limiter,
                                std::int64_t priority,
                                base::time_point now);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_SERVER_LIMITER_H_
