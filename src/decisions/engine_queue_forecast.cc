// SPDX-License-Identifier: MIT
#include "decisions/engine_queue_forecast.h"

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/decay.h"
#include "decisions/engine_queue_load.h"
#include "decisions/engine_queue_order.h"

namespace valeledge::decisions::detail {

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;

// Requests that arrive later and go before a waiting one delay it as well. The
// time over which their rate is estimated: about the objective of the routes
// whose requests wait most often.
constexpr milliseconds kArrivalWindow{1000};

// More urgent requests are assumed to take at most this share of an engine, so
// that a wrong estimate does not refuse everything.
constexpr double kMaxUrgentShare = 0.9;

constexpr int kArrivalRounds = 3;

// Shortest time in which the streams of an engine end on average.
constexpr milliseconds kMinStreamTime{1000};

// Work of another workspace of the same priority.
struct other_work {
  milliseconds queued{0};
  // Of callers that return before the request's turn.
  milliseconds returning{0};
  // Part of an engine's time that its later requests take.
  double arriving = 0;
  // Share relative to that of the request.
  double share = 1;
};

// Work that goes before a request at one engine.
struct preceding_work {
  milliseconds ahead{0};
  // Of callers that return before the request's turn.
  milliseconds returning{0};
  // Work of the request and of earlier ones of its workspace.
  milliseconds own{0};
  // Part of the engine's time that later requests of higher priority take.
  double urgent = 0;
  std::map<std::string_view, other_work> others;
};

void AddQueued(preceding_work& work,
               const unit_queue& unit,
               const queued_request& request) {
  const double part = EnginePart(unit);
  for (const auto& [key, flow] : unit.flows) {
    if (key.first > request.priority)
      break;
    if (key.first < request.priority) {
      work.ahead += flow.read_time * part;
      continue;
    }
    if (key.second != request.workspace) {
      other_work& other = work.others[key.second];
      other.queued += flow.read_time * part;
      other.share = flow.requests.front().share / request.share;
      continue;
    }
    for (const queued_request& each : flow.requests) {
      if (!IsEarlier(each, request))
        break;
      work.ahead += ReadTime(each) * part;
      work.own += ReadTime(each) * part;
    }
  }
}

void AddArriving(preceding_work& work,
                 const unit_queue& unit,
                 const queued_request& request,
                 base::time_point now) {
  for (const auto& [key, arriving] : unit.arriving) {
    const double rate =
        LevelAt(arriving, now) / kArrivalWindow * EnginePart(unit);
    if (key.first < request.priority)
      work.urgent += rate;
    else if (key.first == request.priority && key.second != request.workspace)
      work.others[key.second].arriving += rate;
  }
}

// Adds the work of the callers of one unit that return by then. The work of
// other workspaces of the same priority is subject to fair shares. A request
// for which capacity was reserved goes before later ones of its workspace.
void AddReserved(preceding_work& work,
                 const engine_queue& queue,
                 const std::string& name,
                 const queued_request& request,
                 base::time_point until) {
  const auto reserved = queue.reserved.units.find(name);
  if (reserved == queue.reserved.units.end())
    return;
  const double part = EnginePart(queue.units.at(name));
  for (const auto& [key, flow] : reserved->second) {
    const bool is_own = key.second == request.workspace;
    if (key.first > request.priority)
      break;
    if (key.first < request.priority || (is_own && !request.is_expected))
      work.returning += ReservedUntil(flow, until) * part;
    else if (!is_own)
      work.others[key.second].returning += ReservedUntil(flow, until) * part;
  }
}

// Sets the work of the callers that return by then.
void SetReserved(preceding_work& work,
                 const engine_queue& queue,
                 const known_engine& engine,
                 const queued_request& request,
                 base::time_point until) {
  work.returning = milliseconds(0);
  for (auto& [workspace, other] : work.others)
    other.returning = milliseconds(0);
  for (const std::string& name : engine.units)
    AddReserved(work, queue, name, request, until);
}

// Expected time until an engine can begin with a request, from the work that
// goes before it. Until then each other workspace of the same priority gets at
// most as much as its own, in proportion to their shares.
milliseconds TimeToTurn(const engine_queue& queue,
                        const known_engine& engine,
                        const queued_request& request,
                        base::time_point now,
                        bool counts_reserved) {
  preceding_work work;
  work.own = ReadTime(request);
  for (const std::string& name : engine.units) {
    AddQueued(work, queue.units.at(name), request);
    AddArriving(work, queue.units.at(name), request, now);
  }
  const milliseconds backlog =
      request.weight.time_per_token *
      static_cast<double>(LoadFor(engine, request, now).unread_tokens);
  const double left = 1 - std::min(work.urgent, kMaxUrgentShare);
  milliseconds wait{0};
  // The longer the wait, the more requests arrive or return meanwhile; their
  // work is bounded, and a few rounds come close.
  for (int round = 0; round < kArrivalRounds; ++round) {
    if (counts_reserved && !queue.reserved.units.empty()) {
      const milliseconds turn = backlog + wait;
      SetReserved(
          work, queue, engine, request,
          now + std::chrono::duration_cast<base::time_point::duration>(turn));
    }
    milliseconds ahead = work.ahead + work.returning;
    for (const auto& [workspace, other] : work.others)
      ahead += std::min(
          milliseconds(other.queued + other.returning + wait * other.arriving),
          work.own * other.share);
    wait = ahead / left;
  }
  return backlog + wait;
}

std::optional<milliseconds> BestResponse(const engine_queue& queue,
                                         const queued_request& request,
                                         base::time_point now,
                                         bool counts_reserved) {
  std::optional<milliseconds> best;
  for (const std::string& name : queue.units.at(request.unit).engines) {
    if (IsAvoided(request, name))
      continue;
    const known_engine& engine = queue.engines.at(name);
    const milliseconds turn =
        TimeToTurn(queue, engine, request, now, counts_reserved);
    const milliseconds response =
        std::max((turn + ReadTime(request)) * engine.state.load.slowdown,
                 ExpectedWait(LoadFor(engine, request, now), request.weight));
    if (!best || response < *best)
      best = response;
  }
  return best;
}

}  // namespace

double EnginePart(const unit_queue& unit) {
  return 1.0 /
         static_cast<double>(std::max<std::size_t>(unit.engines.size(), 1));
}

std::chrono::duration<double, std::milli> LevelAt(const arriving_work& work,
                                                  base::time_point now) {
  return work.level * base::DecayFactor(now - work.at, kArrivalWindow);
}

std::optional<std::chrono::duration<double, std::milli>> ExpectedResponse(
    const engine_queue& queue,
    const queued_request& request,
    base::time_point now) {
  return BestResponse(queue, request, now, true);
}

std::optional<std::chrono::duration<double, std::milli>>
ExpectedWithoutReservations(const engine_queue& queue,
                            const queued_request& request,
                            base::time_point now) {
  return BestResponse(queue, request, now, false);
}

bool FindsRoomInTime(const engine_queue& queue,
                     const queued_request& request,
                     base::time_point now) {
  const unit_queue& unit = queue.units.at(request.unit);
  const milliseconds left = request.deadline - now;
  double places = 0;
  std::vector<std::string_view> usable;
  for (const std::string& name : unit.engines) {
    if (IsAvoided(request, name))
      continue;
    usable.push_back(name);
    const known_engine& engine = queue.engines.at(name);
    const server_candidate load = LoadOf(engine);
    const std::int64_t free =
        std::max(load.slots, engine.state.capacity) - load.running;
    places += static_cast<double>(free) +
              static_cast<double>(load.running) * (left / kMinStreamTime);
  }
  std::int64_t ahead = 0;
  for (const auto& [key, flow] : unit.flows) {
    if (key.first > kResumedPriority)
      break;
    ahead += std::ranges::count_if(flow.requests, [&](const auto& each) {
      return std::ranges::any_of(usable, [&](std::string_view name) {
        return !IsAvoided(each, std::string(name));
      });
    });
  }
  return static_cast<double>(ahead) < places;
}

}  // namespace valeledge::decisions::detail
