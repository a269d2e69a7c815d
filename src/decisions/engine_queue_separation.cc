// SPDX-License-Identifier: MIT
#include "decisions/engine_queue_separation.h"

#include <chrono>

#include "decisions/engine_admission.h"
#include "decisions/engine_queue_forecast.h"
#include "decisions/engine_queue_load.h"
#include "decisions/engine_queue_order.h"
#include "decisions/server_cost.h"

namespace valeledge::decisions::detail {

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;

// A lower cost is no reason to wait for another engine: requests are compared
// again only after kAdmissionRecheckInterval.
constexpr milliseconds kMinCost = kAdmissionRecheckInterval;

// A request at one engine.
struct separated_offer {
  milliseconds wait{0};
  milliseconds cost{0};
};

separated_offer OfferAt(const known_engine& engine,
                        const queued_request& request,
                        base::time_point now) {
  separated_offer offer;
  offer.wait = ExpectedWait(LoadFor(engine, request, now), request.weight);
  separated_engine at = *engine.state.separated;
  at.slowdown = engine.state.load.slowdown;
  at.backlog = request.weight.time_per_token *
               static_cast<double>(engine.state.load.unread_tokens);
  at.expected_wait = offer.wait;
  offer.cost = SeparationCost(
      at, {ReadTime(request), request.typical_prefill, request.expected_events,
           request.max_event_gap, request.deadline - now});
  return offer;
}

// Whether the cost may change at which engine the request is served.
bool IsSeparable(const engine_queue& queue,
                 const known_engine& engine,
                 const queued_request& request) {
  return engine.state.separated &&
         queue.units.at(request.unit).engines.size() > 1 &&
         (IsLongStream(request.expected_events) ||
          IsLongPrompt(ReadTime(request), engine.state.load.slowdown,
                       request.max_event_gap));
}

// Waiting work of the unit without the request, for each of its engines.
milliseconds WaitingWork(const unit_queue& unit,
                         const queued_request& request) {
  milliseconds work{0};
  for (const auto& [key, flow] : unit.flows)
    work += flow.read_time;
  return (work - ReadTime(request)) * EnginePart(unit);
}

}  // namespace

bool IsLeftToOther(const engine_queue& queue,
                   const std::string& name,
                   const queued_request& request,
                   base::time_point now) {
  const known_engine& engine = queue.engines.at(name);
  if (!IsSeparable(queue, engine, request))
    return false;
  const separated_offer here = OfferAt(engine, request, now);
  const unit_queue& unit = queue.units.at(request.unit);
  const milliseconds waiting = WaitingWork(unit, request);
  if (here.cost < kMinCost || waiting >= here.wait + here.cost)
    return false;
  for (const std::string& other_name : unit.engines) {
    const known_engine& other = queue.engines.at(other_name);
    if (other_name == name || IsAvoided(request, other_name) ||
        !other.state.separated ||
        DecideAt(other, request, now) == admission_decision::kRefuse)
      continue;
    const separated_offer there = OfferAt(other, request, now);
    if (waiting + there.wait + there.cost < here.wait + here.cost)
      return true;
  }
  return false;
}

separated_kind SeparatedAt(const engine_queue& queue,
                           const std::string& name,
                           const queued_request& request,
                           base::time_point now) {
  if (!queue.engines.at(name).state.separated)
    return separated_kind::kNone;
  for (const std::string& other_name : queue.units.at(request.unit).engines) {
    const known_engine& other = queue.engines.at(other_name);
    if (other_name == name || IsAvoided(request, other_name) ||
        !IsLeftToOther(queue, other_name, request, now) ||
        DecideAt(other, request, now) != admission_decision::kSend)
      continue;
    return IsLongPrompt(ReadTime(request), other.state.load.slowdown,
                        request.max_event_gap)
               ? separated_kind::kLongPrompt
               : separated_kind::kLongStream;
  }
  return separated_kind::kNone;
}

}  // namespace valeledge::decisions::detail
