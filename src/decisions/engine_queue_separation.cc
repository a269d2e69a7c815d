// SPDX-License-Identifier: MIT
#include "decisions/engine_queue_separation.h"

#include <algorithm>
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

  milliseconds Sum() const { return wait + cost; }
};

separated_offer OfferAt(const known_engine& engine,
                        const queued_request& request,
                        base::time_point now) {
  const server_candidate load = LoadFor(engine, request, now);
  separated_offer offer;
  offer.wait = ExpectedWait(load, request.weight);
  separated_engine at = *engine.state.separated;
  at.slowdown = load.slowdown;
  at.backlog =
      request.weight.time_per_token * static_cast<double>(load.unread_tokens);
  at.expected_wait = offer.wait;
  offer.cost = SeparationCost(
      at, {ReadTime(request), request.typical_prefill, request.expected_events,
           request.max_event_gap, request.deadline - now});
  return offer;
}

bool IsLongPromptAt(const known_engine& engine, const queued_request& request) {
  return IsLongPrompt(ReadTime(request), engine.state.load.slowdown,
                      request.max_event_gap);
}

// Whether the cost may change at which engine the request is served.
bool IsSeparable(const known_engine& engine, const queued_request& request) {
  return request.is_separated && engine.state.separated &&
         (IsLongStream(request.expected_events) ||
          IsLongPromptAt(engine, request));
}

// Work of the unit that goes before the request, for each of its engines. More
// than `enough` is not counted.
milliseconds WorkBefore(const unit_queue& unit,
                        const queued_request& request,
                        milliseconds enough) {
  const double part = EnginePart(unit);
  const flow_key own(request.priority, request.workspace);
  milliseconds work{0};
  for (const auto& [key, flow] : unit.flows) {
    if (key.first > request.priority)
      break;
    if (key != own) {
      work += flow.read_time;
      continue;
    }
    for (const queued_request& each : flow.requests) {
      if (!IsEarlier(each, request) || work * part > enough)
        break;
      work += ReadTime(each);
    }
  }
  // Rounding leaves the read time of a flow slightly below 0. An engine would
  // then leave a request to an identical one.
  return std::max(work * part, milliseconds(0));
}

}  // namespace

bool IsLeftToOther(const engine_queue& queue,
                   const std::string& name,
                   const queued_request& request,
                   base::time_point now) {
  const known_engine& engine = queue.engines.at(name);
  const unit_queue& unit = queue.units.at(request.unit);
  if (!IsSeparable(engine, request) || unit.engines.size() <= 1)
    return false;
  const separated_offer here = OfferAt(engine, request, now);
  if (here.cost < kMinCost)
    return false;
  const milliseconds before = WorkBefore(unit, request, here.Sum());
  if (before >= here.Sum())
    return false;
  for (const std::string& other_name : unit.engines) {
    const known_engine& other = queue.engines.at(other_name);
    if (other_name == name || IsAvoided(request, other_name) ||
        !other.state.separated ||
        DecideAt(other, request, now) == admission_decision::kRefuse)
      continue;
    if (before + OfferAt(other, request, now).Sum() < here.Sum())
      return true;
  }
  return false;
}

separated_kind SeparatedAt(const engine_queue& queue,
                           const std::string& name,
                           const queued_request& request,
                           base::time_point now) {
  const known_engine& engine = queue.engines.at(name);
  if (!request.is_separated || !engine.state.separated)
    return separated_kind::kNone;
  const unit_queue& unit = queue.units.at(request.unit);
  const separated_offer here = OfferAt(engine, request, now);
  for (const std::string& other_name : unit.engines) {
    const known_engine& other = queue.engines.at(other_name);
    if (other_name == name || IsAvoided(request, other_name) ||
        !IsSeparable(other, request) ||
        DecideAt(other, request, now) != admission_decision::kSend)
      continue;
    const separated_offer there = OfferAt(other, request, now);
    if (there.cost < kMinCost ||
        WorkBefore(unit, request, there.Sum()) + here.Sum() >= there.Sum())
      continue;
    return IsLongPromptAt(other, request) ? separated_kind::kLongPrompt
                                          : separated_kind::kLongStream;
  }
  return separated_kind::kNone;
}

}  // namespace valeledge::decisions::detail
