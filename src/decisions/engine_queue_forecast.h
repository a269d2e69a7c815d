// SPDX-License-Identifier: MIT
// When the response to a request of an engine_queue is expected, from the work
// that goes before it.
#ifndef VALELEDGE_DECISIONS_ENGINE_QUEUE_FORECAST_H_
#define VALELEDGE_DECISIONS_ENGINE_QUEUE_FORECAST_H_

#include <chrono>
#include <optional>

#include "base/duration.h"
#include "decisions/engine_queue.h"

namespace valeledge::decisions::detail {

// Part of a unit's work that each of its engines does.
double EnginePart(const unit_queue& unit);

// Read time of recent arrivals at `now`.
std::chrono::duration<double, std::milli> LevelAt(const arriving_work& work,
                                                  base::time_point now);

// Expected time until the response starts, at the engine where that is first;
// nothing if no engine may be selected. Callers for which capacity is reserved
// before the request's turn go before it.
std::optional<std::chrono::duration<double, std::milli>> ExpectedResponse(
    const engine_queue& queue,
    const queued_request& request,
    base::time_point now);

// The same if nothing were reserved.
std::optional<std::chrono::duration<double, std::milli>>
ExpectedWithoutReservations(const engine_queue& queue,
                            const queued_request& request,
                            base::time_point now);

// Whether a stream that is resumed can find room at an engine before its
// deadline, behind those that wait already. How long streams last is not known,
// so they are assumed to be short.
bool FindsRoomInTime(const engine_queue& queue,
                     const queued_request& request,
                     base::time_point now);

}  // namespace valeledge::decisions::detail

#endif  // VALELEDGE_DECISIONS_ENGINE_QUEUE_FORECAST_H_
