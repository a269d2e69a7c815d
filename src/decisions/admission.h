// SPDX-License-Identifier: MIT
// Admission control of one cell: rate limits, weighted fair queueing among
// partners, and the request queue.
#ifndef VALELEDGE_DECISIONS_ADMISSION_H_
#define VALELEDGE_DECISIONS_ADMISSION_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/duration.h"
#include "base/result_code.h"
#include "decisions/retry_schedule.h"
#include "decisions/routing.h"
#include "decisions/token_bucket.h"

namespace valeledge::decisions {

// A queued request that waits for a backend server.
struct waiting_request {
  // Assigned by the caller of Enqueue; identifies the request in the results.
  std::int64_t ticket = 0;
  std::string partner;
  // Key of the table row whose limits apply: "model/NAME" or "service/NAME".
  std::string limit_key;
  unit_hash unit = 0;
  std::int64_t prefix_hash = 0;
  std::int64_t priority = 5;
  // Estimated number of tokens, charged against the partner's share.
  double tokens = 1;
  base::time_point arrived;
  // Latest start at which the first token can still meet its target.
  base::time_point latest_start;
  std::vector<std::string> avoid;
};

// A request that is assigned to a server.
struct admitted_request {
  waiting_request request;
  std::size_t server = 0;
};

// A request that was refused and will not run.
struct refused_request {
  std::int64_t ticket = 0;
  base::result_code code = base::result_code::kOverloaded;
  std::chrono::milliseconds retry_after{0};
};

struct admission_settings {
  // Maximum number of queued requests in one cell.
  std::int64_t queue_limit = 1000;
  // Burst of a limit, as the time over which unused requests and tokens
  // accumulate.
  std::chrono::microseconds limit_burst = std::chrono::seconds(1);
};

namespace detail {

// One partner's queue in a cell, with one deque for each priority.
struct partner_queue {
  double weight = 1;
  // Tokens charged so far, each divided by the weight. Start-time fair queueing
  // serves the partner with the lowest virtual time.
  double virtual_time = 0;
  std::map<std::int64_t, std::deque<waiting_request>> waiting;
  std::int64_t queued = 0;
  double tokens_served = 0;
};

}  // namespace detail

// Admission state of one cell. A plain value, modified by the functions below.
struct cell_admission {
  admission_settings settings;
  std::vector<server_view> servers;
  std::map<std::string, detail::partner_queue> partners;
  std::map<std::string, token_bucket> request_limits;
  std::map<std::string, token_bucket> token_limits;
  retry_schedule retries;
  double virtual_now = 0;
  std::int64_t queued = 0;
  // Exponentially smoothed duration of an attempt; zero until one has ended.
  // Together with the usable slots it determines how many requests a window of
  // the retry schedule can serve.
  std::chrono::duration<double> mean_service_time{0};
};

// Sets the weight that determines a partner's guaranteed share.
void SetWeight(cell_admission& cell, const std::string& partner, double weight);

// Limits the requests and tokens per second (0: unlimited) of a key such as
// "partner/NAME" or "model/NAME". `share` is the fraction of the limit that
// this cell may grant.
void SetLimits(cell_admission& cell,
               const std::string& key,
               std::int64_t requests,
               std::int64_t tokens,
               double share,
               base::time_point now);

// Queues a request, or refuses it immediately if it exceeds a limit, no server
// is ready for it, the queue is full, or it cannot start in time.
std::optional<refused_request> Enqueue(cell_admission& cell,
                                       waiting_request request,
                                       base::time_point now);

// Result of Dispatch. Each request appears once.
struct dispatch_result {
  std::vector<admitted_request> admitted;
  std::vector<refused_request> refused;
};

// Assigns queued requests to free servers, starting with the partner that is
// furthest below its share, and counts them as in flight. Refuses requests that
// can no longer start in time or have no ready server.
dispatch_result Dispatch(cell_admission& cell,
                         base::time_point now,
                         std::mt19937_64& random);

// Removes a queued request whose caller has disconnected. Returns false if the
// request is not queued.
bool Withdraw(cell_admission& cell, std::int64_t ticket);

// Outcome of an attempt at a server.
struct ended_attempt {
  std::string server;
  std::string partner;
  // Tokens charged when the attempt started, and tokens actually used.
  double expected = 0;
  double tokens = 0;
  // Zero if the attempt does not count towards the mean service time.
  std::chrono::microseconds took{0};
};

// Releases the slot and corrects the tokens charged to the partner.
void EndAttempt(cell_admission& cell, const ended_attempt& ended);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_ADMISSION_H_
