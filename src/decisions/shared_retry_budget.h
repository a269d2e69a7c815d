// SPDX-License-Identifier: MIT
// Bounds the retries of all hosts together without communication between hosts.
//
// A process earns retries with the requests that it receives itself, and keeps
// unused retries only for a short time. The budget does not depend on how many
// hosts a process sees, and a new process starts without retries. In any
// window, all processes together therefore retry at most what the requests in
// that window and shortly before it have earned, plus one retry for each host,
// which the operators' slack covers.
#ifndef VALELEDGE_DECISIONS_SHARED_RETRY_BUDGET_H_
#define VALELEDGE_DECISIONS_SHARED_RETRY_BUDGET_H_

#include <chrono>
#include <cstdint>
#include <deque>

#include "base/duration.h"

namespace valeledge::decisions {

// Limit on the retries of all hosts together.
struct retry_policy {
  // Maximum number of retries per request, in any window of length `window`.
  double ratio = 0.2;
  std::chrono::milliseconds window{10'000};
};

// Retry budget of one process. Modified only by the functions below; `now` must
// never decrease.
struct shared_retry_budget {
  struct bucket {
    base::time_point begin;
    std::int64_t requests = 0;
  };
  // Recent requests, oldest first.
  std::deque<bucket> recent;
  // Start time of the process.
  base::time_point started;
  // Retries earned and not yet used.
  double tokens = 0;
  // Whether a retry was ever acquired.
  bool has_retried = false;
};

// Records a request and adds the fraction of a retry that it earns.
void NoteRequest(shared_retry_budget& budget,
                 const retry_policy& policy,
                 base::time_point now);

// Whether TryAcquireRetry would succeed.
bool MayRetry(shared_retry_budget& budget,
              const retry_policy& policy,
              base::time_point now);

// Takes one retry. Returns false if the budget is exhausted.
bool TryAcquireRetry(shared_retry_budget& budget,
                     const retry_policy& policy,
                     base::time_point now);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_SHARED_RETRY_BUDGET_H_
