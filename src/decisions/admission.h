// SPDX-License-Identifier: MIT
// Admission of one cell: limits, partners' shares and the queue.
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

// A request that waits for a backend server.
struct waiting_request {
  // Given by the caller of Enqueue; names the request in verdicts.
  std::int64_t ticket = 0;
  std::string partner;
  // Key of the row whose limits count: "model/NAME" or "service/NAME".
  std::string limit_key;
  unit_hash unit = 0;
  std::int64_t prefix_hash = 0;
  std::int64_t priority = 5;
  // Tokens it will probably take; its cost against the partner's share.
  double tokens = 1;
  base::time_point arrived;
  // Later than this, a first token would miss its target.
  base::time_point latest_start;
  std::vector<std::string> avoid;
};

// A request that goes to a server now.
struct admitted_request {
  waiting_request request;
  std::size_t server = 0;
};

// A request that will not run.
struct refused_request {
  std::int64_t ticket = 0;
  base::result_code code = base::result_code::kOverloaded;
  std::chrono::milliseconds retry_after{0};
};

struct admission_settings {
  // Requests that wait in one cell.
  std::int64_t queue_limit = 1000;
  // How long tokens and requests of a limit may be saved up.
  std::chrono::microseconds limit_burst = std::chrono::seconds(1);
};

namespace detail {

// One partner's queue in a cell; a deque for each priority.
struct partner_queue {
  double weight = 1;
  // Tokens served so far, each divided by the weight: start-time fair
  // queueing picks the partner that has had the least.
  double virtual_time = 0;
  std::map<std::int64_t, std::deque<waiting_request>> waiting;
  std::int64_t queued = 0;
  double tokens_served = 0;
};

}  // namespace detail

// Everything that decides for one cell. Plain; changed by the functions below.
struct cell_admission {
  admission_settings settings;
  std::vector<server_view> servers;
  std::map<std::string, detail::partner_queue> partners;
  std::map<std::string, token_bucket> request_limits;
  std::map<std::string, token_bucket> token_limits;
  retry_schedule retries;
  double virtual_now = 0;
  std::int64_t queued = 0;
  // How long an attempt takes, smoothed; zero until one has ended. With the
  // slots that can be used it gives what a window of the retries can serve.
  std::chrono::duration<double> mean_service_time{0};
};

// Sets a partner's promised share.
void SetWeight(cell_admission& cell, const std::string& partner, double weight);

// Sets a limit of so many requests and tokens a second (0: none) for a key
// such as "partner/NAME" or "model/NAME". `share` is the part of the limit
// that this cell may give out.
void SetLimits(cell_admission& cell,
               const std::string& key,
               std::int64_t requests,
               std::int64_t tokens,
               double share,
               base::time_point now);

// Puts a request into the queue, or refuses it at once: beyond a limit, no
// server for it, a full queue, or no chance to start in time.
std::optional<refused_request> Enqueue(cell_admission& cell,
                                       waiting_request request,
                                       base::time_point now);

// What Dispatch decided; each request appears once.
struct dispatch_result {
  std::vector<admitted_request> admitted;
  std::vector<refused_request> refused;
};

// Sends waiting requests to free servers, the partner furthest below its share
// first; refuses those that can no longer start in time. Counts admitted
// requests in flight.
dispatch_result Dispatch(cell_admission& cell,
                         base::time_point now,
                         std::mt19937_64& random);

// Removes a request whose caller went away; false if it is not waiting.
bool Withdraw(cell_admission& cell, std::int64_t ticket);

// How an attempt at a server ended.
struct ended_attempt {
  std::string server;
  std::string partner;
  // Tokens that were charged when it started, and that it took.
  double expected = 0;
  double tokens = 0;
  // Zero if it says nothing of how long attempts take.
  std::chrono::microseconds took{0};
};

// Frees the slot and corrects the partner's account.
void EndAttempt(cell_admission& cell, const ended_attempt& ended);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_ADMISSION_H_
