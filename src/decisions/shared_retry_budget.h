// SPDX-License-Identifier: MIT
// A bound on the retries of all hosts that each host keeps by itself.
//
// A process earns retries with the requests that it has seen itself, and keeps
// unused ones only for a short while. Nothing depends on how many hosts a
// process sees, and a process that starts has nothing. In any window, all
// processes together therefore retry at most what the requests in it and
// shortly before it have earned, and one more for each host, which the
// operators' slack covers.
#ifndef VALELEDGE_DECISIONS_SHARED_RETRY_BUDGET_H_
#define VALELEDGE_DECISIONS_SHARED_RETRY_BUDGET_H_

#include <chrono>
#include <cstdint>
#include <deque>

#include "base/duration.h"

namespace valeledge::decisions {

// The bound on the retries of all hosts.
struct retry_policy {
  // Retries for each request, in any window of this length.
  double ratio = 0.2;
  std::chrono::milliseconds window{10'000};
};

// The retries that one process may still make. Changed only by the functions
// below; `now` never goes back.
struct shared_retry_budget {
  struct bucket {
    base::time_point begin;
    std::int64_t requests = 0;
  };
  // Requests seen lately, oldest first.
  std::deque<bucket> recent;
  // When the process started.
  base::time_point started;
  // Earned and not used.
  double tokens = 0;
  // Whether a retry was ever acquired.
  bool has_retried = false;
};

// Counts a request and what it earns.
void NoteRequest(shared_retry_budget& budget,
                 const retry_policy& policy,
                 base::time_point now);

// Whether TryAcquireRetry would succeed.
bool MayRetry(shared_retry_budget& budget,
              const retry_policy& policy,
              base::time_point now);

// Takes one retry; false if the budget is exhausted.
bool TryAcquireRetry(shared_retry_budget& budget,
                     const retry_policy& policy,
                     base::time_point now);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_SHARED_RETRY_BUDGET_H_
