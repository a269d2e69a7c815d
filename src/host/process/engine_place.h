// SPDX-License-Identifier: MIT
// A request's place in a queue for the engines of a service.
#ifndef VALELEDGE_HOST_PROCESS_ENGINE_PLACE_H_
#define VALELEDGE_HOST_PROCESS_ENGINE_PLACE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "host/process/slot_handle.h"

namespace valeledge::host {

struct engine_place_request {
  std::string service;
  std::string model;
  // Empty for the base model.
  std::string adapter;
  std::string workspace;
  // 0 is the most urgent.
  std::int64_t priority = 0;
  // Time until the response has to start.
  std::chrono::milliseconds left{0};
  std::int64_t tokens_to_read = 0;
  std::int64_t tokens_to_hold = 0;
  // Time in which an engine reads one prompt token.
  std::chrono::duration<double, std::milli> token_time{0};
  std::chrono::milliseconds event_gap{0};
  // Number of events of its response; 0: unknown. Unset: the owner does not
  // separate the request.
  std::optional<double> expected_events;
  // Instances that must not be selected.
  std::vector<std::string> avoid;
  // The host sends the request also if the owner refuses it.
  bool sent_anyway = false;
  // Time until the caller's deadline; unset if nothing is reserved for it.
  std::optional<std::chrono::milliseconds> caller_left;
  // A stream that is resumed: only engines of its version may be selected.
  bool resumes = false;
  // The engine that this host would select; it determines the owner.
  std::string best;
  // Whether the request no longer waits. Called often while it does.
  std::function<bool()> is_withdrawn;
};

enum class engine_place_verdict {
  kGranted,
  // No engine can respond in time.
  kRefused,
  // No owner has responded.
  kNoOwner,
  kWithdrawn,
};

struct engine_place_result {
  engine_place_verdict verdict = engine_place_verdict::kNoOwner;
  // The granted engine. Its release without an attempt returns the place.
  std::shared_ptr<slot_handle> place;
  std::chrono::milliseconds retry_after{0};
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_ENGINE_PLACE_H_
