// SPDX-License-Identifier: MIT
// Allocates the rate limit that a backend server advertises to all hosts.
//
// Needed when a server accepts fewer requests per second than its callers send.
// Only the lease holder grants permits, so no two hosts grant them at the same
// time, regardless of which hosts see each other; a new lease holder starts
// with an empty bucket. In any interval of length t, all lease holders together
// grant at most rate * t and one burst, no matter how often the lease holder
// changes.
#ifndef VALELEDGE_DECISIONS_SERVER_LIMITER_H_
#define VALELEDGE_DECISIONS_SERVER_LIMITER_H_

#include <chrono>
#include <cstdint>

#include "base/duration.h"
#include "decisions/token_bucket.h"

namespace valeledge::decisions {

// Permits of one server. Modified only by the functions below.
struct server_limiter {
  token_bucket bucket;
  // Retries of refused requests are spread over time; the next one is due then.
  base::time_point next_retry;
  // Until `urgent_until`, requests less urgent than `urgent_priority` are
  // refused, since a refused request of that priority will be retried. Lower
  // values are more urgent.
  std::int64_t urgent_priority = 0;
  base::time_point urgent_until;
};

// Returns a limiter that has no permit yet. `rate`: requests per second; a rate
// of 0 still yields occasional permits, which reveal when the limit ends.
server_limiter MakeServerLimiter(double rate, base::time_point now);

// Sets a new rate that the server advertises.
void SetRate(server_limiter& limiter, double rate, base::time_point now);

struct permit_verdict {
  bool granted = false;
  // Delay until the next request for a permit, if refused.
  std::chrono::milliseconds retry_after{0};
};

// Requests a permit for one request to the server.
permit_verdict TryAcquirePermit(server_limiter& limiter,
                                std::int64_t priority,
                                base::time_point now);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_SERVER_LIMITER_H_
