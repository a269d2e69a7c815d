// SPDX-License-Identifier: MIT
// When a host that is being stopped takes requests, and when it ends those that
// are still under way, for any time until it is killed.
#ifndef VALELEDGE_DECISIONS_PLANNED_STOP_H_
#define VALELEDGE_DECISIONS_PLANNED_STOP_H_

#include <chrono>

namespace valeledge::decisions {

// The moments of one stop, in this order.
struct planned_stop {
  using time_point = std::chrono::steady_clock::time_point;

  // From then on no request is taken that may outlast the host.
  time_point refuses_from;
  // No new connections are accepted, and idle ones are closed.
  time_point closes_at;
  // What is still under way gets a response of the host itself.
  time_point responds_at;
  // The process ends.
  time_point ends_at;
};

// The moments of a stop that begins at `begin` and whose process is killed
// after `grace`.
planned_stop PlanStop(planned_stop::time_point begin,
                      std::chrono::milliseconds grace);

// Whether a request that has not been sent to a server is taken at `now`. It
// ends by `deadline`. `must_end`: it must not be broken off, since its caller
// could not repeat it; others are taken if they are likely to end in time.
bool TakesRequest(const planned_stop& stop,
                  planned_stop::time_point deadline,
                  bool must_end,
                  planned_stop::time_point now);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_PLANNED_STOP_H_
