// SPDX-License-Identifier: MIT
// Waiting requests of an engine_queue in their order: priority, then fair share
// between workspaces at the engine, then those with a reservation, then
// deadline.
#ifndef VALELEDGE_DECISIONS_ENGINE_QUEUE_ORDER_H_
#define VALELEDGE_DECISIONS_ENGINE_QUEUE_ORDER_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

#include "decisions/engine_queue.h"

namespace valeledge::decisions::detail {

// Time in which an engine of the usual speed reads the prompt.
std::chrono::duration<double, std::milli> ReadTime(
    const queued_request& request);

// Whether the request must not be sent to the engine.
bool IsAvoided(const queued_request& request, const std::string& engine);

// Order within a flow.
bool IsEarlier(const queued_request& one, const queued_request& other);

// Adds a request to its flow.
void Insert(unit_queue& unit, queued_request request);

// Removes a request from its flow. Returns nothing if there is none with the
// number.
std::optional<queued_request> Take(engine_queue& queue,
                                   const std::string& unit,
                                   flow_key key,
                                   std::int64_t number);

// A waiting request, and its place in the order of an engine.
struct ranked_request {
  std::int64_t priority = 0;
  double start_tag = 0;
  const queued_request* request = nullptr;

  bool IsBefore(const ranked_request& other) const {
    const auto own = std::tie(priority, start_tag);
    const auto others = std::tie(other.priority, other.start_tag);
    return own < others ||
           (own == others && IsEarlier(*request, *other.request));
  }
};

// Virtual time at which the next request of a flow starts at an engine.
double StartTag(const known_engine& engine, const flow_key& flow);

// Charges the reading of a granted request to its workspace at the engine.
void RecordShare(known_engine& engine, const queued_request& request);

}  // namespace valeledge::decisions::detail

#endif  // VALELEDGE_DECISIONS_ENGINE_QUEUE_ORDER_H_
