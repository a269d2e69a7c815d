// SPDX-License-Identifier: MIT
// Selection of an engine through the queue for the engines of its service.
#ifndef VALELEDGE_HOST_REQUEST_QUEUED_SELECTION_H_
#define VALELEDGE_HOST_REQUEST_QUEUED_SELECTION_H_

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "decisions/engine_admission.h"
#include "host/request/routed_request.h"

namespace valeledge::host {

enum class queued_outcome {
  // An engine was granted.
  kGranted,
  // No engine can respond in time.
  kRefused,
  // The request no longer waits; the search determines why.
  kSearchAgain,
  // This host selects an engine by itself.
  kSelectHere,
};

struct queued_selection {
  queued_outcome outcome = queued_outcome::kSelectHere;
  std::optional<server_choice> choice;
  std::chrono::milliseconds retry_after{0};
};

// A request's question to the owner of the queue.
struct queue_question {
  // Instances that must not be selected.
  std::vector<std::string> excluded;
  // Whether the request has stopped waiting.
  std::function<bool()> is_withdrawn;
};

// Whether the request asks the owner of the queue for an engine: others are
// waiting for the best engine, or it is a stream that is resumed and the engine
// is full. Where the feature is active, also if it would have to wait or be
// refused.
bool AsksForEngine(const host_core& core,
                   const routed_request& routed,
                   const server_choice& best,
                   decisions::admission_decision decided);

// Asks the owner for an engine and waits for its reply.
boost::asio::awaitable<queued_selection> SelectInQueue(
    host_core& core,
    const routed_request& routed,
    const server_query& query,
    const server_choice& best,
    const decisions::engine_candidate& turn,
    queue_question question);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_REQUEST_QUEUED_SELECTION_H_
