// SPDX-License-Identifier: MIT
// A budget of second sends that all hosts share without asking each other:
// each takes a part of it that fits the requests it has seen itself.
#ifndef VALELEDGE_DECISIONS_RETRY_WINDOW_H_
#define VALELEDGE_DECISIONS_RETRY_WINDOW_H_

#include <chrono>
#include <cstdint>
#include <deque>

#include "base/duration.h"

namespace valeledge::decisions {

// What all hosts together may send again.
struct retry_limits {
  double ratio = 0.2;
  double slack = 0;
  std::chrono::milliseconds window{10'000};
  // Hosts that share the slack.
  std::int64_t hosts = 1;
};

// Requests and second sends of one service at one host.
struct retry_window {
  struct bucket {
    base::time_point begin;
    std::int64_t requests = 0;
    std::int64_t repeats = 0;
  };
  std::deque<bucket> buckets;
};

// Counts a request that callers sent.
void NoteRequest(retry_window& window, base::time_point now);

// Counts a second send and returns true, if the budget still allows one.
bool TakeRepeat(retry_window& window,
                const retry_limits& limits,
                base::time_point now);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_RETRY_WINDOW_H_
