// SPDX-License-Identifier: MIT
// Requests that wait at the owner of a workspace's limit for its tokens.
//
// Handles a workspace whose callers ask for several times its limit, some of
// them urgently, while others can wait for seconds. Without a queue, tokens are
// granted in order of arrival, so that patient requests use tokens that urgent
// ones need. The queue grants tokens by priority, then by deadline. Patient
// requests get what the demand of more urgent ones leaves. A request that
// cannot be granted in time is refused at once, or as soon as that is certain.
#ifndef VALELEDGE_DECISIONS_LIMIT_QUEUE_H_
#define VALELEDGE_DECISIONS_LIMIT_QUEUE_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include <tl/expected.hpp>

#include "base/duration.h"
#include "decisions/workspace_limit.h"

namespace valeledge::decisions {

// What a host states about how a request can wait for tokens.
struct token_wait {
  // 0 is the most urgent.
  std::int64_t priority = 0;
  std::chrono::milliseconds patience{0};
};

// Highest cost of one request that can be valid: the largest prompts have some
// million tokens.
inline constexpr double kMaxRequestCost = 1e9;

// Whether a cost that another host has stated, negative for a refund, can be
// valid.
bool IsValidCost(double cost);

// Returns what another host has stated; nothing if a part of it is missing or
// cannot be valid.
std::optional<token_wait> ReadTokenWait(
    std::optional<std::int64_t> priority,
    std::optional<std::int64_t> patience_ms);

// Returns how long a request can wait for tokens. `left`: time until the
// objective or the deadline, whichever is earlier.
std::chrono::milliseconds MaxTokenWait(std::chrono::milliseconds left);

// Requests whose demand is estimated together. Those that can hardly wait go
// before the patient ones of the same priority.
struct charge_class {
  std::int64_t priority = 0;
  bool is_patient = false;

  auto operator<=>(const charge_class&) const = default;
};

// Tokens that the requests of a class ask for.
struct class_demand {
  // Tokens per second, smoothed; the same for the squares of the costs of
  // requests.
  double rate = 0;
  double squares = 0;
  base::time_point updated;
  // Retries of refused requests are spread over time; the next one is due then.
  base::time_point next_retry;
};

// A request that waits for tokens.
struct waiting_charge {
  std::int64_t number = 0;
  limit_request request;
  charge_class kind;
  // The request is of no use to its caller if it is granted later.
  base::time_point deadline;
};

// The queue of one limit. Modified only by the functions below.
struct limit_queue {
  // In the order in which they are granted.
  std::vector<waiting_charge> waiting;
  std::map<charge_class, class_demand> demand;
  // Demand of hosts that state no priority. It is decided at once, and thus
  // goes before everything that waits.
  class_demand direct;
  std::int64_t last_number = 0;
};

// The decision about a request that has waited.
struct charge_outcome {
  std::int64_t number = 0;
  limit_decision decision;
};

// Adds a request to the queue and returns its number, or the decision if the
// request cannot be granted in time or would make a waiting request of the same
// priority late. Follow it with ServeQueue(), which may grant the request at
// once.
tl::expected<std::int64_t, limit_decision> Enqueue(
    limit_queue& queue,
    limiter_state& limiter,
    const catalog::workspace_limit& limit,
    const limit_members& members,
    const limit_request& request,
    const token_wait& wait,
    base::time_point now);

// Records a request of a host that states no priority.
void RecordDirectDemand(limit_queue& queue,
                        const catalog::workspace_limit& limit,
                        double cost,
                        base::time_point now);

// Grants what can be granted now, and refuses what cannot be granted in time
// any more. Returns the decisions in the order in which they were made.
std::vector<charge_outcome> ServeQueue(limit_queue& queue,
                                       limiter_state& limiter,
                                       const catalog::workspace_limit& limit,
                                       const limit_members& members,
                                       base::time_point now);

// When ServeQueue() must be called next; nothing if no request waits. Requires
// ServeQueue() at `now`.
std::optional<base::time_point> NextServing(const limit_queue& queue,
                                            const limiter_state& limiter,
                                            base::time_point now);

// Tokens per second that requests which can hardly wait ask for.
double UrgentDemand(const limit_queue& queue, base::time_point now);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_LIMIT_QUEUE_H_
