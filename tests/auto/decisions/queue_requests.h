// SPDX-License-Identifier: MIT
// Requests in the queue for engines, and the engines that they wait for.
#ifndef VALELEDGE_TESTS_AUTO_DECISIONS_QUEUE_REQUESTS_H_
#define VALELEDGE_TESTS_AUTO_DECISIONS_QUEUE_REQUESTS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>

#include "decisions/engine_queue.h"

namespace valeledge::test {

using namespace std::chrono_literals;
using decisions::engine_queue;
using decisions::queue_engine;
using decisions::queued_request;

inline constexpr double kTokensPerMs = 38.7;
inline constexpr std::chrono::duration<double, std::milli> kTokenTime{
    1 / kTokensPerMs};
// Uncached part of the prompts of the audit and draft routes: 75 ms of reading.
inline constexpr std::int64_t kPrompt = 2890;

// Time from the end of the reading of a prompt to its first event.
inline constexpr std::chrono::milliseconds kFirstEventDelay{35};

inline constexpr std::chrono::milliseconds kObjective{800};
inline constexpr std::chrono::milliseconds kDeadline{6000};

inline const base::time_point kStart = base::time_point() + 1h;

inline queued_request Request(std::int64_t number,
                              std::int64_t priority,
                              std::string workspace,
                              base::time_point now,
                              std::chrono::milliseconds objective) {
  queued_request request;
  request.number = number;
  request.unit = "m";
  request.priority = priority;
  request.workspace = std::move(workspace);
  request.arrived = now;
  request.deadline = now + objective;
  request.weight = {kPrompt, kPrompt + 50, kTokenTime, {}};
  request.max_event_gap = 400ms;
  return request;
}

// A request whose caller can be refused, and told when to return.
inline queued_request RefusableRequest(
    std::int64_t number,
    std::int64_t priority,
    std::string workspace,
    base::time_point now,
    std::chrono::milliseconds objective = kObjective) {
  queued_request request =
      Request(number, priority, std::move(workspace), now, objective);
  request.caller_deadline = now + kDeadline;
  return request;
}

inline constexpr std::int64_t kReturnedFrom = 100'000;

// The request with which the caller of another one returns.
inline queued_request Returning(queued_request request, base::time_point now) {
  request.number += kReturnedFrom;
  request.arrived = now;
  request.deadline = now + kObjective;
  return request;
}

inline bool HasReturned(const queued_request& request) {
  return request.number > kReturnedFrom;
}

inline queue_engine Engine(std::int64_t unread_tokens, std::int64_t sent = 0) {
  queue_engine engine;
  engine.load.slots = 32;
  engine.load.running = unread_tokens > 0 ? 1 : 0;
  engine.load.unread_tokens = unread_tokens;
  engine.load.token_memory = 167'040;
  engine.requests_sent = sent;
  return engine;
}

inline engine_queue OneEngine(std::int64_t unread_tokens) {
  engine_queue queue;
  SetHolders(queue, "m", {"e1"});
  SetEngine(queue, "e1", Engine(unread_tokens), kStart);
  return queue;
}

}  // namespace valeledge::test

#endif  // VALELEDGE_TESTS_AUTO_DECISIONS_QUEUE_REQUESTS_H_
