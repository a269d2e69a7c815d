// SPDX-License-Identifier: MIT
#include "decisions/engine_queue.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

#include "base/identifier.h"
#include "decisions/engine_admission.h"
#include "decisions/engine_queue_forecast.h"
#include "decisions/engine_queue_load.h"
#include "decisions/engine_queue_order.h"
#include "decisions/engine_queue_separation.h"
#include "decisions/request_time.h"

namespace valeledge::decisions {

namespace {

using detail::DecideAt;
using detail::EnginePart;
using detail::ExpectedResponse;
using detail::ExpectedWithoutReservations;
using detail::Insert;
using detail::IsAvoided;
using detail::known_engine;
using detail::LevelAt;
using detail::LoadOf;
using detail::ranked_request;
using detail::ReadTime;
using detail::RecordShare;
using detail::StartTag;
using detail::Take;
using detail::unit_queue;
using milliseconds = std::chrono::duration<double, std::milli>;
using std::chrono::duration_cast;

// A granted request that no report contains after this time has not been sent,
// or its report was lost: hosts report all their loads within 250 ms.
constexpr std::chrono::milliseconds kMaxUnreported{250};

// Interval at which all waiting requests are compared with the work before
// them. A refusal is the more useful the earlier it is, but for a model with
// 400 waiting requests the comparison takes milliseconds.
constexpr std::chrono::milliseconds kReviewInterval{100};

// Less arriving work is forgotten: a tenth of a percent of an engine.
constexpr milliseconds kMinArrivals{1};

// A request is added if its response is expected within this share of its time.
// The rest covers prompts that take longer than expected: of requests that
// reach their turn with no time to spare most are refused after all.
constexpr double kAdmittedShare = 0.7;

// A waiting request is refused only if it would be late by this factor, since
// requests before it may be withdrawn or refused as well.
constexpr double kReviewTolerance = 1.25;

// At most this share of what engines can read until a time is reserved, so that
// a burst of refusals does not block new requests.
constexpr double kMaxReservedShare = 0.5;

// Capacity is reserved after at least this share of the longest delay that the
// caller honours: an earlier return meets the same burst, and its reservation
// displaces another request.
constexpr double kMinReturnShare = 0.75;

// Callers whose deadline is not known are assigned capacity at most this far
// ahead. Their host knows what they honour.
constexpr std::chrono::seconds kMaxUnknownReturn{5};

// A caller that returns earlier is likely to meet the same queue.
constexpr std::chrono::milliseconds kMinRetryAfter{100};

// Engines in one group: its owner decides on all of their requests, and that
// takes processor time during a burst (docs/design/ENGINE-QUEUES.md).
constexpr std::int64_t kMaxGroupEngines = 160;

// A unit without requests is forgotten after this time, and with it the shares
// of workspaces at engines that hold no other unit. Longer than what a grant is
// counted for, and than the finish tags of a burst lie ahead.
constexpr std::chrono::seconds kUnitLifetime{10};

// Returns the first request in the engine's order that it can serve in time.
std::optional<ranked_request> FirstAt(const engine_queue& queue,
                                      const std::string& name,
                                      const known_engine& engine,
                                      base::time_point now) {
  std::optional<ranked_request> first;
  for (const std::string& unit : engine.units) {
    for (const auto& [key, flow] : queue.units.at(unit).flows) {
      const double tag = StartTag(engine, key);
      const auto servable =
          std::ranges::find_if(flow.requests, [&](const queued_request& each) {
            if (IsAvoided(each, name))
              return false;
            const auto decided = DecideAt(engine, each, now);
            return decided == admission_decision::kWait ||
                   (decided == admission_decision::kSend &&
                    !detail::IsLeftToOther(queue, name, each, now));
          });
      if (servable == flow.requests.end())
        continue;
      const ranked_request ranked{key.first, tag, &*servable};
      if (!first || ranked.IsBefore(*first))
        first = ranked;
    }
  }
  return first;
}

void RecordGrant(known_engine& engine,
                 const queued_request& request,
                 base::time_point now) {
  RecordShare(engine, request);
  engine.reading.token_time = request.weight.time_per_token;
  detail::AdvanceReading(engine, now);
  engine.grants.push_back({request.number, request.weight.prompt_tokens,
                           request.weight.held_tokens, now});
}

void MarkChanged(engine_queue& queue, const unit_queue& unit) {
  for (const std::string& name : unit.engines)
    queue.engines.at(name).changed = true;
}

// Grants one request at an engine, if there is one and the engine has capacity.
std::optional<engine_grant> GrantOne(engine_queue& queue,
                                     const std::string& name,
                                     base::time_point now) {
  known_engine& engine = queue.engines.at(name);
  const auto first = FirstAt(queue, name, engine, now);
  if (!first)
    return std::nullopt;
  if (DecideAt(engine, *first->request, now) != admission_decision::kSend) {
    const milliseconds left =
        ReadTime(*first->request) * engine.state.load.slowdown -
        engine.reading.spent;
    engine.read_at =
        engine.reading.at + std::chrono::ceil<std::chrono::microseconds>(left);
    return std::nullopt;
  }
  const queued_request request = *first->request;
  const auto separated = detail::SeparatedAt(queue, name, request, now);
  Take(queue, request.unit, {request.priority, request.workspace},
       request.number);
  RecordGrant(engine, request, now);
  return engine_grant{request.number, name, separated};
}

// Grants at the engines that have changed. The one with the least to read is
// first, and each gets one request in each round.
std::vector<engine_grant> GrantAll(engine_queue& queue, base::time_point now) {
  std::vector<std::tuple<std::int64_t, double, std::string>> order;
  for (auto& [name, engine] : queue.engines) {
    if (!std::exchange(engine.changed, false) || engine.units.empty())
      continue;
    order.emplace_back(
        LoadOf(engine).unread_tokens,
        engine.state.pause_cost.count() * engine.state.load.slowdown, name);
  }
  std::ranges::sort(order);
  std::vector<engine_grant> grants;
  while (!order.empty()) {
    std::erase_if(order, [&](const auto& each) {
      const auto grant = GrantOne(queue, std::get<2>(each), now);
      if (grant)
        grants.push_back(*grant);
      return !grant;
    });
  }
  return grants;
}

// Longest delay that the caller of a request honours.
std::chrono::milliseconds LongestReturn(const queued_request& request,
                                        base::time_point now) {
  if (!request.caller_deadline)
    return kMaxUnknownReturn;
  return MaxHonouredDelay(
      duration_cast<std::chrono::milliseconds>(*request.caller_deadline - now));
}

// Read time that is reserved until a time at the engines of a unit, also by
// other units that they hold, for priorities at or above the given one.
milliseconds ReservedAt(const engine_queue& queue,
                        const unit_queue& unit,
                        std::int64_t priority,
                        base::time_point until) {
  milliseconds sum{0};
  for (const std::string& engine : unit.engines) {
    for (const std::string& name : queue.engines.at(engine).units)
      sum += ReservedReadTime(queue.reserved, name, priority, until) *
             EnginePart(queue.units.at(name));
  }
  return sum;
}

// Read time that the engines of a unit provide in a unit of time.
double ReadingRate(const engine_queue& queue, const unit_queue& unit) {
  double rate = 0;
  for (const std::string& name : unit.engines)
    rate += 1 / std::max(queue.engines.at(name).state.load.slowdown, 1.0);
  return rate;
}

// Reserves capacity for a refused caller at `earliest` or later. Returns the
// time, or nothing if the bound allows none at which the caller returns.
std::optional<base::time_point> Reserve(engine_queue& queue,
                                        const queued_request& request,
                                        base::time_point earliest,
                                        base::time_point now) {
  using ticks = base::time_point::duration;
  if (!queue.reserves_returns || request.sent_anyway ||
      !request.caller_deadline)
    return std::nullopt;
  const unit_queue& unit = queue.units.at(request.unit);
  const auto longest = LongestReturn(request, now);
  const auto latest = now + longest;
  const double rate = ReadingRate(queue, unit) * kMaxReservedShare;
  if (rate <= 0)
    return std::nullopt;
  const milliseconds needed =
      (ReservedAt(queue, unit, request.priority, latest) + ReadTime(request)) /
      rate;
  auto at =
      std::max({earliest, now + duration_cast<ticks>(longest * kMinReturnShare),
                now + std::chrono::ceil<ticks>(needed)});
  // Callers of one source return in turn.
  if (const auto last =
          LastReservation(queue.reserved, request.unit, request.priority,
                          request.workspace, latest))
    at = std::max(
        at, *last + duration_cast<ticks>(ReadTime(request) * EnginePart(unit)));
  if (at > latest)
    return std::nullopt;
  AddReservation(queue.reserved,
                 {request.unit, request.priority, request.workspace, at,
                  ReadTime(request), *request.caller_deadline});
  ++queue.returns.made;
  return at;
}

// Refuses a request. Its caller is assigned capacity after the callers refused
// before, so that they do not return together.
engine_refusal Refuse(engine_queue& queue,
                      const queued_request& request,
                      base::time_point now) {
  const auto response = ExpectedResponse(queue, request, now);
  const milliseconds turn =
      response ? *response - ReadTime(request) : milliseconds(0);
  const auto earliest =
      now +
      std::max(kMinRetryAfter, duration_cast<std::chrono::milliseconds>(turn));
  unit_queue& unit = queue.units.at(request.unit);
  // If no engine can be selected, the asking host does not reject the request
  // but selects by itself, so there is no caller to reserve for.
  const auto reserved =
      response ? Reserve(queue, request, earliest, now) : std::nullopt;
  const auto at = reserved.value_or(
      std::min(std::max(earliest, unit.returns_until),
               now + std::max(LongestReturn(request, now), kMinRetryAfter)));
  const auto until = at + duration_cast<base::time_point::duration>(
                              ReadTime(request) * EnginePart(unit));
  unit.returns_until = reserved ? std::max(unit.returns_until, until) : until;
  return {request.number,
          std::chrono::ceil<std::chrono::milliseconds>(at - now),
          !response.has_value()};
}

// Whether a request is refused if it can be in time only with reserved
// capacity. A refusal by the owner would only delay what its host sends anyway.
bool IsDelayedByReservations(const queued_request& request) {
  return !request.sent_anyway && request.caller_deadline.has_value();
}

// Whether an engine may be selected for a request.
bool HasEngine(const engine_queue& queue, const queued_request& request) {
  return std::ranges::any_of(
      queue.units.at(request.unit).engines,
      [&](const auto& name) { return !IsAvoided(request, name); });
}

// Whether the response would be late even if the request were sent now.
bool IsLate(const engine_queue& queue,
            const queued_request& request,
            base::time_point now) {
  return std::ranges::none_of(
      queue.units.at(request.unit).engines, [&](const std::string& name) {
        return !IsAvoided(request, name) &&
               DecideAt(queue.engines.at(name), request, now) !=
                   admission_decision::kRefuse;
      });
}

// Refuses the requests that would be late even if they were sent now. The first
// of each flow, with and without a reservation, have the earliest deadlines.
void RefuseLate(engine_queue& queue,
                base::time_point now,
                std::vector<engine_refusal>& refusals) {
  for (auto& [name, unit] : queue.units) {
    std::vector<queued_request> late;
    const auto add_late = [&](auto from, auto to) {
      const auto end = std::find_if_not(
          from, to, [&](const auto& each) { return IsLate(queue, each, now); });
      late.insert(late.end(), from, end);
    };
    for (const auto& [key, flow] : unit.flows) {
      const auto others =
          std::ranges::find(flow.requests, false, &queued_request::is_expected);
      add_late(flow.requests.begin(), others);
      add_late(others, flow.requests.end());
    }
    for (const queued_request& each : late) {
      Take(queue, name, {each.priority, each.workspace}, each.number);
      refusals.push_back(Refuse(queue, each, now));
    }
  }
}

// Refuses the waiting requests that cannot be in time behind those that go
// before them, the least urgent first: a refused request no longer delays the
// others. Requests with a reservation are not refused here, since their callers
// have returned at the time that they were given.
void RefuseDisplaced(engine_queue& queue,
                     base::time_point now,
                     std::vector<engine_refusal>& refusals) {
  for (auto& [name, unit] : queue.units) {
    std::vector<queued_request> waiting;
    for (const auto& [key, flow] : unit.flows)
      std::ranges::copy(flow.requests, std::back_inserter(waiting));
    for (auto each = waiting.rbegin(); each != waiting.rend(); ++each) {
      // It needs room rather than reading time, and waits until its deadline.
      if (each->resumes)
        continue;
      const auto response =
          IsDelayedByReservations(*each)
              ? ExpectedResponse(queue, *each, now)
              : ExpectedWithoutReservations(queue, *each, now);
      const milliseconds left = each->deadline - now;
      if (response &&
          (each->is_expected || *response <= left * kReviewTolerance))
        continue;
      Take(queue, name, {each->priority, each->workspace}, each->number);
      refusals.push_back(Refuse(queue, *each, now));
    }
  }
}

void ForgetIdleUnits(engine_queue& queue, base::time_point now) {
  for (auto& [name, unit] : queue.units) {
    std::erase_if(unit.arriving, [now](const auto& each) {
      return LevelAt(each.second, now) < kMinArrivals;
    });
  }
  std::vector<std::string> idle;
  for (const auto& [name, unit] : queue.units) {
    if (unit.flows.empty() && unit.used_at &&
        now - *unit.used_at >= kUnitLifetime)
      idle.push_back(name);
  }
  for (const std::string& name : idle) {
    SetHolders(queue, name, {});
    queue.units.erase(name);
  }
}

}  // namespace

void SetEngine(engine_queue& queue,
               const std::string& name,
               const queue_engine& state,
               base::time_point now) {
  detail::RecordReport(queue.engines[name], state, now);
}

void SetHolders(engine_queue& queue,
                const std::string& unit,
                std::vector<std::string> engines) {
  unit_queue& of = queue.units[unit];
  for (const std::string& name : of.engines)
    queue.engines.at(name).units.erase(unit);
  for (const std::string& name : engines) {
    queue.engines[name].units.insert(unit);
    queue.engines[name].changed = true;
  }
  of.engines = std::move(engines);
  std::erase_if(queue.engines,
                [](const auto& each) { return each.second.units.empty(); });
}

std::optional<engine_refusal> Enqueue(engine_queue& queue,
                                      queued_request request,
                                      base::time_point now) {
  unit_queue& unit = queue.units[request.unit];
  unit.used_at = now;
  queue.returns.lapsed += DropLapsed(queue.reserved, now);
  request.is_expected =
      request.caller_deadline && HasEngine(queue, request) &&
      RedeemReservation(queue.reserved,
                        {request.unit, request.priority, request.workspace, now,
                         ReadTime(request), *request.caller_deadline});
  queue.returns.redeemed += request.is_expected ? 1 : 0;
  const auto response = ExpectedWithoutReservations(queue, request, now);
  const milliseconds left = request.deadline - now;
  detail::arriving_work& arriving =
      unit.arriving[{request.priority, request.workspace}];
  // The work of a request with a reservation was counted as reserved.
  arriving.level = LevelAt(arriving, now) +
                   (request.is_expected ? milliseconds(0) : ReadTime(request));
  arriving.at = now;
  // The work of callers that return is known; the share that is kept free for
  // other changes is taken from the rest.
  const bool has_time =
      !request.resumes && response && *response <= left * kAdmittedShare;
  bool is_in_time =
      has_time &&
      (queue.reserved.units.empty() || !IsDelayedByReservations(request) ||
       *ExpectedResponse(queue, request, now) <= left);
  if (request.resumes && response)
    is_in_time = detail::FindsRoomInTime(queue, request, now);
  if (!response || (!is_in_time && !request.is_expected)) {
    queue.returns.refusals += has_time ? 1 : 0;
    return Refuse(queue, request, now);
  }
  Insert(unit, std::move(request));
  MarkChanged(queue, unit);
  return std::nullopt;
}

queue_decisions Decide(engine_queue& queue, base::time_point now) {
  queue_decisions out;
  const bool check_all = now - queue.checked_at >= kAdmissionRecheckInterval;
  for (auto& [name, engine] : queue.engines) {
    const auto lapsed = std::erase_if(engine.grants, [now](const auto& each) {
      return now - each.granted_at >= kMaxUnreported;
    });
    const bool has_read =
        now >= engine.read_at && engine.read_at != base::time_point();
    if (has_read)
      engine.read_at = {};
    engine.changed = engine.changed || check_all || lapsed > 0 || has_read;
  }
  if (check_all) {
    queue.returns.lapsed += DropLapsed(queue.reserved, now);
    RefuseLate(queue, now, out.refusals);
  }
  out.grants = GrantAll(queue, now);
  if (check_all)
    queue.checked_at = now;
  if (now - queue.reviewed_at < kReviewInterval)
    return out;
  queue.reviewed_at = now;
  RefuseDisplaced(queue, now, out.refusals);
  ForgetIdleUnits(queue, now);
  return out;
}

void RemovePlace(engine_queue& queue, std::int64_t number) {
  for (auto& [name, unit] : queue.units) {
    for (const auto& [key, flow] : unit.flows) {
      if (!Take(queue, name, key, number))
        continue;
      MarkChanged(queue, unit);
      return;
    }
  }
  for (auto& [name, engine] : queue.engines) {
    const auto removed = std::erase_if(
        engine.grants,
        [number](const auto& each) { return each.number == number; });
    engine.changed = engine.changed || removed > 0;
  }
}

std::int64_t CountWaiting(const engine_queue& queue) {
  std::int64_t count = 0;
  for (const auto& [name, unit] : queue.units) {
    for (const auto& [key, flow] : unit.flows)
      count += static_cast<std::int64_t>(flow.requests.size());
  }
  return count;
}

std::int64_t CountResumed(const engine_queue& queue) {
  std::int64_t count = 0;
  for (const auto& [name, unit] : queue.units) {
    for (const auto& [key, flow] : unit.flows) {
      // Their flows are the first ones.
      if (key.first != kResumedPriority)
        break;
      count += static_cast<std::int64_t>(flow.requests.size());
    }
  }
  return count;
}

std::int64_t CountGroups(std::int64_t engines) {
  std::int64_t groups = 1;
  while (engines > groups * kMaxGroupEngines)
    groups *= 2;
  return groups;
}

std::int64_t GroupOf(std::string_view instance, std::int64_t groups) {
  return static_cast<std::int64_t>(base::StableHash(instance) %
                                   static_cast<std::uint64_t>(groups));
}

std::map<std::string, std::int64_t> QueuedTokens(const engine_queue& queue) {
  std::map<std::string, std::int64_t> out;
  for (const auto& [name, unit] : queue.units) {
    const auto add = [&, &unit = unit](const std::string& engine,
                                       double tokens) {
      if (tokens > 0)
        out[engine] += std::max<std::int64_t>(
            static_cast<std::int64_t>(tokens * EnginePart(unit)), 1);
    };
    double tokens = 0;
    for (const auto& [key, flow] : unit.flows) {
      for (const queued_request& each : flow.requests) {
        const auto own = static_cast<double>(each.weight.prompt_tokens);
        if (!each.resumes) {
          tokens += own;
          continue;
        }
        // Engines of other software versions are left to other requests.
        for (const std::string& engine : unit.engines)
          add(engine, IsAvoided(each, engine) ? 0 : own);
      }
    }
    for (const std::string& engine : unit.engines)
      add(engine, tokens);
  }
  return out;
}

}  // namespace valeledge::decisions
