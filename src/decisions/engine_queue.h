// SPDX-License-Identifier: MIT
// The queue of requests for a group of engines: which request is sent to which
// engine next, and which requests cannot be served in time.
//
// Handles bursts of 1.5 to 2.6 times what the engines serve. If each host
// repeats the selection for its own waiting requests, a new request overtakes
// those that wait, and priority, workspace and deadline count only in the
// engine's own queue.
#ifndef VALELEDGE_DECISIONS_ENGINE_QUEUE_H_
#define VALELEDGE_DECISIONS_ENGINE_QUEUE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/duration.h"
#include "decisions/return_reservations.h"
#include "decisions/server_cost.h"
#include "decisions/stream_separation.h"

namespace valeledge::decisions {

// An engine as the owner of the queue knows it.
struct queue_engine {
  // Load that all hosts have reported, without requests that are queued.
  server_candidate load;
  // Cost of recent prompt processing, see read_pacing.
  std::chrono::duration<double, std::milli> pause_cost{0};
  // Requests that hosts have reported to have sent to it so far. An increase
  // shows that as many granted requests are contained in `load`.
  std::int64_t requests_sent = 0;
  // Number of requests that it has been seen to hold, with those in its own
  // queue; 0: unknown.
  std::int64_t capacity = 0;
  // Set if long prompts and long streams are kept apart; its slowdown and wait
  // come from `load`.
  std::optional<separated_engine> separated;
};

// Priority of streams that are resumed. They go before other requests: only the
// engines of their software version can serve them, and their callers have
// received a part of the response.
inline constexpr std::int64_t kResumedPriority = -1;

// A request that waits for an engine.
struct queued_request {
  std::int64_t number = 0;
  // Model or adapter.
  std::string unit;
  // 0 is the most urgent.
  std::int64_t priority = 0;
  std::string workspace;
  // The workspace's share relative to others.
  double share = 1;
  base::time_point arrived;
  // The response has to start before this time.
  base::time_point deadline;
  request_weight weight;
  std::chrono::milliseconds max_event_gap{0};
  // Whether it may be left to another engine than the first free one. Only for
  // requests whose deadline is their objective: the cost is bounded by it.
  bool is_separated = false;
  // See separated_request.
  double expected_events = 0;
  std::chrono::duration<double, std::milli> typical_prefill{0};
  // Instances that must not be selected.
  std::vector<std::string> avoid;
  // A stream that is resumed. Its deadline is that of its caller's patience, so
  // it may also wait in an engine's own queue.
  bool resumes = false;
  // Its host sends the request also if it is refused.
  bool sent_anyway = false;
  // When the caller gives up; unset if its host does not state it. A caller
  // that returns after a refusal is recognized by it.
  std::optional<base::time_point> caller_deadline;
  // Set by Enqueue: capacity was reserved for it.
  bool is_expected = false;
};

struct engine_grant {
  std::int64_t number = 0;
  std::string engine;
  separated_kind separated = separated_kind::kNone;
};

struct engine_refusal {
  std::int64_t number = 0;
  // Time until an engine can be expected to have capacity.
  std::chrono::milliseconds retry_after{0};
  // No engine holds its unit and may be selected.
  bool without_engine = false;
};

// What happened to reservations, see return_reservations.h.
struct return_counts {
  std::int64_t made = 0;
  std::int64_t redeemed = 0;
  std::int64_t lapsed = 0;
  // New requests that would have been added without the reservations.
  std::int64_t refusals = 0;
};

struct queue_decisions {
  std::vector<engine_grant> grants;
  std::vector<engine_refusal> refusals;
};

namespace detail {

// A granted request that the reports of its engine do not contain yet.
struct unreported_grant {
  std::int64_t number = 0;
  std::int64_t tokens_to_read = 0;
  std::int64_t tokens_to_hold = 0;
  base::time_point granted_at;
};

// Start-time fair queueing between workspaces at one engine, in milliseconds of
// prompt reading.
struct fair_shares {
  // Start tag of the last granted request.
  double virtual_time = 0;
  // Finish tag of each workspace's last granted request.
  std::map<std::string, double> finish;
};

// Reading of prompts that the reports do not show: hosts report a prompt as
// unread until its first event, which follows a few steps after the reading.
struct reading_progress {
  // Time spent on prompts that are reported as unread, at `at`.
  std::chrono::duration<double, std::milli> spent{0};
  base::time_point at;
  // Time per token of the last granted request; 0 if there is none.
  std::chrono::duration<double, std::milli> token_time{0};
};

struct known_engine {
  queue_engine state;
  std::vector<unreported_grant> grants;
  reading_progress reading;
  // By priority.
  std::map<std::int64_t, fair_shares> shares;
  // Units that it holds and that requests are queued for.
  std::set<std::string> units;
  // Its load, its units or their queues have changed since the last decision.
  bool changed = true;
  // When it will have read a prompt for which its first request waits.
  base::time_point read_at;
};

// Waiting requests of one unit, priority and workspace: those with a
// reservation, then the others, each by deadline.
struct request_flow {
  std::vector<queued_request> requests;
  // Time in which an engine reads their prompts.
  std::chrono::duration<double, std::milli> read_time{0};
};

// Read time of the requests that arrive, with exponential decay.
struct arriving_work {
  std::chrono::duration<double, std::milli> level{0};
  base::time_point at;
};

// Priority and workspace.
using flow_key = std::pair<std::int64_t, std::string>;

struct unit_queue {
  std::vector<std::string> engines;
  std::map<flow_key, request_flow> flows;
  std::map<flow_key, arriving_work> arriving;
  // Until when the capacity is assigned to refused callers.
  base::time_point returns_until;
  // When the last request was added; unset: none yet.
  std::optional<base::time_point> used_at;
};

}  // namespace detail

// Not thread-safe. Order of requests: priority, then fair share between
// workspaces at the engine, then requests with a reservation, then
// deadline, then arrival.
struct engine_queue {
  // Whether capacity is reserved for refused callers.
  bool reserves_returns = false;
  std::map<std::string, detail::unit_queue> units;
  std::map<std::string, detail::known_engine> engines;
  return_reservations reserved;
  // Since the caller last reset it.
  return_counts returns;
  base::time_point checked_at;
  base::time_point reviewed_at;
};

// Sets the state of an engine. Grants that the reports now contain are no
// longer added to them.
void SetEngine(engine_queue& queue,
               const std::string& name,
               const queue_engine& state,
               base::time_point now);

// Sets the engines that hold a unit and may be selected. Engines that hold no
// unit of the queue are dropped with what was granted at them. A unit is kept
// for some seconds after its last request, so that engines keep their state
// while their queues are empty for a moment.
void SetHolders(engine_queue& queue,
                const std::string& unit,
                std::vector<std::string> engines);

// Adds a request whose unit has holders. If it cannot be served in time behind
// those that go before it, it is not added, and the time until there is
// capacity is returned; the capacity is reserved if the caller can return then.
// A request with a reservation is always added. A request is refused because of
// reservations only if its host would reject it.
std::optional<engine_refusal> Enqueue(engine_queue& queue,
                                      queued_request request,
                                      base::time_point now);

// Returns the requests that are granted now, and those that can no longer be
// served in time, and removes both from the queue.
queue_decisions Decide(engine_queue& queue, base::time_point now);

// Removes a request, or what was granted to it: it is not sent.
void RemovePlace(engine_queue& queue, std::int64_t number);

// Number of waiting requests.
std::int64_t CountWaiting(const engine_queue& queue);

// Number of them that are streams to be resumed.
std::int64_t CountResumed(const engine_queue& queue);

// Number of groups into which the engines of a service are divided, each with a
// queue and an owner of its own. A power of two, so that it seldom changes.
std::int64_t CountGroups(std::int64_t engines);

// Group of an engine, from 0.
std::int64_t GroupOf(std::string_view instance, std::int64_t groups);

// Prompt tokens that are queued for each engine. A request that several engines
// can serve counts at each of them with its part.
std::map<std::string, std::int64_t> QueuedTokens(const engine_queue& queue);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_ENGINE_QUEUE_H_
