// SPDX-License-Identifier: MIT
#include "decisions/engine_queue.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <tuple>
#include <utility>

#include "base/identifier.h"
#include "decisions/engine_admission.h"

namespace valeledge::decisions {

namespace {

using detail::known_engine;
using detail::request_flow;
using detail::unit_queue;
using milliseconds = std::chrono::duration<double, std::milli>;
using std::chrono::duration_cast;

// A granted request that no report contains after this time has not been sent,
// or its report was lost: hosts report all their loads within 250 ms.
constexpr std::chrono::milliseconds kMaxUnreported{250};

// Above this share of an engine's token memory requests may be preempted.
constexpr double kMaxTokenMemoryUse = 0.85;

// Interval at which engines are checked whose load has not changed: a request
// may have no time left to wait. The same as a host's interval without an
// owner.
constexpr std::chrono::milliseconds kCheckInterval{15};

// Interval at which all waiting requests are compared with the work before
// them. A refusal is the more useful the earlier it is, but for a model with
// 400 waiting requests the comparison takes milliseconds.
constexpr std::chrono::milliseconds kReviewInterval{100};

// Requests that arrive later and go before a waiting one delay it as well. The
// time over which their rate is estimated: about the objective of the routes
// whose requests wait most often.
constexpr milliseconds kArrivalWindow{1000};

// More urgent requests are assumed to take at most this share of an engine, so
// that a wrong estimate does not refuse everything.
constexpr double kMaxUrgentShare = 0.9;

constexpr int kArrivalRounds = 3;

// Less arriving work is forgotten: a tenth of a percent of an engine.
constexpr milliseconds kMinArrivals{1};

// A request is added if its response is expected within this share of its time.
// The rest covers prompts that take longer than expected: of requests that
// reach their turn with no time to spare most are refused after all.
constexpr double kAdmittedShare = 0.7;

// A waiting request is refused only if it would be late by this factor, since
// requests before it may be withdrawn or refused as well.
constexpr double kReviewTolerance = 1.25;

// Refused callers are assigned capacity at most this far ahead: the longest
// deadline of a route is 15 s, and callers use a third of what is left of it.
constexpr std::chrono::milliseconds kMaxReturn{5000};

// A caller that returns earlier is likely to meet the same queue.
constexpr std::chrono::milliseconds kMinReturn{100};

// Time from the end of the reading of a prompt to its first event: a few steps
// of the batch.
constexpr milliseconds kFirstEventDelay{35};

// Engines in one group. All of a service at 70 hosts with 140 engines; at 985
// hosts with 4,000 engines an owner then spends about a third of a core during
// a burst of 2.6 times the demand (docs/design/ENGINE-QUEUES.md).
constexpr std::int64_t kMaxGroupEngines = 160;

// A unit without requests is forgotten after this time, and with it the shares
// of workspaces at engines that hold no other unit. Longer than what a grant is
// counted for, and than the finish tags of a burst lie ahead.
constexpr std::chrono::seconds kUnitLifetime{10};

bool IsAvoided(const queued_request& request, const std::string& engine) {
  return std::ranges::find(request.avoid, engine) != request.avoid.end();
}

milliseconds ReadTime(const queued_request& request) {
  return request.weight.time_per_token *
         static_cast<double>(request.weight.prompt_tokens);
}

// Order within a flow.
bool IsEarlier(const queued_request& one, const queued_request& other) {
  return std::tie(one.deadline, one.arrived, one.number) <
         std::tie(other.deadline, other.arrived, other.number);
}

// The engine's load, including requests that were granted and not reported.
server_candidate LoadOf(const known_engine& engine) {
  server_candidate load = engine.state.load;
  for (const detail::unreported_grant& each : engine.grants) {
    ++load.running;
    load.unread_tokens += each.tokens_to_read;
    load.held_tokens += each.tokens_to_hold;
  }
  return load;
}

// Records the reading until now. A granted request that has not been reported
// has not been sent.
void AdvanceReading(known_engine& engine, base::time_point now) {
  detail::reading_progress& reading = engine.reading;
  const milliseconds unread =
      reading.token_time * static_cast<double>(engine.state.load.unread_tokens);
  reading.spent =
      std::min(milliseconds(reading.spent + (now - reading.at)), unread);
  reading.at = now;
}

// The load as a request would meet it: without a prompt of the request's size
// if the engine has had the time to read one since the last first event. No
// more than one, since an engine may be slower than expected.
server_candidate LoadFor(const known_engine& engine,
                         const queued_request& request,
                         base::time_point now) {
  server_candidate load = LoadOf(engine);
  const milliseconds spent = engine.reading.spent + (now - engine.reading.at);
  const bool has_read = engine.state.load.unread_tokens > 0 &&
                        engine.reading.token_time.count() > 0 &&
                        spent >= ReadTime(request) * load.slowdown;
  if (has_read)
    load.unread_tokens = std::max<std::int64_t>(
        load.unread_tokens - request.weight.prompt_tokens, 0);
  return load;
}

// Whether the request can run there without being queued or preempted.
bool HasRoom(const server_candidate& load, const queued_request& request) {
  const auto held =
      static_cast<double>(load.held_tokens + request.weight.held_tokens);
  const auto memory = static_cast<double>(load.token_memory);
  // An idle engine never gets more room.
  const bool fits =
      memory <= 0 || load.running == 0 || held <= kMaxTokenMemoryUse * memory;
  return load.running < load.slots && fits;
}

admission_decision DecideAt(const known_engine& engine,
                            const queued_request& request,
                            base::time_point now) {
  const server_candidate load = LoadFor(engine, request, now);
  engine_candidate turn;
  turn.waited = duration_cast<std::chrono::milliseconds>(now - request.arrived);
  turn.objective = duration_cast<std::chrono::milliseconds>(request.deadline -
                                                            request.arrived);
  turn.response_in = ExpectedWait(load, request.weight);
  turn.prompt_backlog =
      request.weight.time_per_token * static_cast<double>(load.unread_tokens);
  turn.max_event_gap = request.max_event_gap;
  turn.recheck_interval = kCheckInterval;
  const auto decided = DecideAdmission(turn);
  const bool must_wait =
      decided == admission_decision::kSend && !HasRoom(load, request) &&
      turn.waited + turn.response_in + kCheckInterval <= turn.objective;
  return must_wait ? admission_decision::kWait : decided;
}

double StartTag(const known_engine& engine, const detail::flow_key& flow) {
  const auto shares = engine.shares.find(flow.first);
  if (shares == engine.shares.end())
    return 0;
  const auto finish = shares->second.finish.find(flow.second);
  // A workspace that has been idle starts at the present virtual time.
  return finish == shares->second.finish.end()
             ? shares->second.virtual_time
             : std::max(shares->second.virtual_time, finish->second);
}

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
            return !IsAvoided(each, name) &&
                   DecideAt(engine, each, now) != admission_decision::kRefuse;
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
  const double start = StartTag(engine, {request.priority, request.workspace});
  detail::fair_shares& shares = engine.shares[request.priority];
  shares.virtual_time = start;
  shares.finish[request.workspace] =
      start + ReadTime(request).count() / request.share;
  // A workspace without a tag starts at the virtual time as well.
  std::erase_if(shares.finish,
                [&](const auto& each) { return each.second <= start; });
  engine.reading.token_time = request.weight.time_per_token;
  AdvanceReading(engine, now);
  engine.grants.push_back({request.number, request.weight.prompt_tokens,
                           request.weight.held_tokens, now});
}

void MarkChanged(engine_queue& queue, const unit_queue& unit) {
  for (const std::string& name : unit.engines)
    queue.engines.at(name).changed = true;
}

// Removes a request from its flow. Returns nothing if there is none with the
// number.
std::optional<queued_request> Take(engine_queue& queue,
                                   const std::string& unit,
                                   detail::flow_key key,
                                   std::int64_t number) {
  unit_queue& of = queue.units.at(unit);
  request_flow& flow = of.flows.at(key);
  const auto found =
      std::ranges::find(flow.requests, number, &queued_request::number);
  if (found == flow.requests.end())
    return std::nullopt;
  queued_request taken = std::move(*found);
  flow.requests.erase(found);
  flow.read_time -= ReadTime(taken);
  if (flow.requests.empty())
    of.flows.erase(key);
  return taken;
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
  Take(queue, request.unit, {request.priority, request.workspace},
       request.number);
  RecordGrant(engine, request, now);
  return engine_grant{request.number, name};
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

// Part of a unit's work that each of its engines does.
double EnginePart(const unit_queue& unit) {
  return 1.0 /
         static_cast<double>(std::max<std::size_t>(unit.engines.size(), 1));
}

milliseconds LevelAt(const detail::arriving_work& work, base::time_point now) {
  const milliseconds passed = now - work.at;
  return work.level * std::exp(-(passed / kArrivalWindow));
}

// Work of another workspace of the same priority.
struct other_work {
  milliseconds queued{0};
  // Part of an engine's time that its later requests take.
  double arriving = 0;
  // Share relative to that of the request.
  double share = 1;
};

// Work that goes before a request at one engine.
struct preceding_work {
  milliseconds ahead{0};
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

// Expected time until an engine can begin with a request, from the work that
// goes before it. Until then each other workspace of the same priority gets at
// most as much as its own, in proportion to their shares.
milliseconds TimeToTurn(const engine_queue& queue,
                        const known_engine& engine,
                        const queued_request& request,
                        base::time_point now) {
  preceding_work work;
  work.own = ReadTime(request);
  for (const std::string& name : engine.units) {
    AddQueued(work, queue.units.at(name), request);
    AddArriving(work, queue.units.at(name), request, now);
  }
  const double left = 1 - std::min(work.urgent, kMaxUrgentShare);
  milliseconds wait{0};
  // The longer the wait, the more requests arrive meanwhile; their work is
  // bounded, and a few rounds come close.
  for (int round = 0; round < kArrivalRounds; ++round) {
    milliseconds ahead = work.ahead;
    for (const auto& [workspace, other] : work.others)
      ahead += std::min(milliseconds(other.queued + wait * other.arriving),
                        work.own * other.share);
    wait = ahead / left;
  }
  const milliseconds backlog =
      request.weight.time_per_token *
      static_cast<double>(LoadFor(engine, request, now).unread_tokens);
  return backlog + wait;
}

// Expected time until the response starts, at the engine where that is first;
// nothing if no engine may be selected.
std::optional<milliseconds> ExpectedResponse(const engine_queue& queue,
                                             const queued_request& request,
                                             base::time_point now) {
  std::optional<milliseconds> best;
  for (const std::string& name : queue.units.at(request.unit).engines) {
    if (IsAvoided(request, name))
      continue;
    const known_engine& engine = queue.engines.at(name);
    const milliseconds turn = TimeToTurn(queue, engine, request, now);
    const milliseconds response =
        std::max((turn + ReadTime(request)) * engine.state.load.slowdown,
                 ExpectedWait(LoadFor(engine, request, now), request.weight));
    if (!best || response < *best)
      best = response;
  }
  return best;
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
      std::max(kMinReturn, duration_cast<std::chrono::milliseconds>(turn));
  unit_queue& unit = queue.units.at(request.unit);
  const auto at =
      std::min(std::max(earliest, unit.returns_until), now + kMaxReturn);
  unit.returns_until = at + duration_cast<base::time_point::duration>(
                                ReadTime(request) * EnginePart(unit));
  return {request.number,
          std::chrono::ceil<std::chrono::milliseconds>(at - now),
          !response.has_value()};
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
// of each flow have the earliest deadlines.
void RefuseLate(engine_queue& queue,
                base::time_point now,
                std::vector<engine_refusal>& refusals) {
  for (auto& [name, unit] : queue.units) {
    std::vector<queued_request> late;
    for (const auto& [key, flow] : unit.flows) {
      const auto end = std::ranges::find_if_not(
          flow.requests,
          [&](const auto& each) { return IsLate(queue, each, now); });
      late.insert(late.end(), flow.requests.begin(), end);
    }
    for (const queued_request& each : late) {
      Take(queue, name, {each.priority, each.workspace}, each.number);
      refusals.push_back(Refuse(queue, each, now));
    }
  }
}

// Refuses the waiting requests that cannot be in time behind those that go
// before them, the least urgent first: what is refused no longer delays the
// others.
void RefuseDisplaced(engine_queue& queue,
                     base::time_point now,
                     std::vector<engine_refusal>& refusals) {
  for (auto& [name, unit] : queue.units) {
    std::vector<queued_request> waiting;
    for (const auto& [key, flow] : unit.flows)
      std::ranges::copy(flow.requests, std::back_inserter(waiting));
    for (auto each = waiting.rbegin(); each != waiting.rend(); ++each) {
      const auto response = ExpectedResponse(queue, *each, now);
      const milliseconds left = each->deadline - now;
      if (response && *response <= left * kReviewTolerance)
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
  known_engine& known = queue.engines[name];
  AdvanceReading(known, now);
  const std::int64_t sent = std::clamp<std::int64_t>(
      state.requests_sent - known.state.requests_sent, 0,
      static_cast<std::int64_t>(known.grants.size()));
  known.grants.erase(known.grants.begin(), known.grants.begin() + sent);
  const server_candidate& before = known.state.load;
  const server_candidate& load = state.load;
  known.changed = known.changed || sent > 0 || load.running != before.running ||
                  load.unread_tokens != before.unread_tokens ||
                  load.held_tokens != before.held_tokens;
  const std::int64_t read = before.unread_tokens - load.unread_tokens;
  known.state = state;
  // A prompt that has had its first event was read before, and the next one was
  // not begun earlier. Without this bound differences between the expected and
  // the actual time of each prompt add up.
  if (read <= 0)
    return;
  const milliseconds left = known.reading.spent - known.reading.token_time *
                                                      static_cast<double>(read);
  known.reading.spent = std::clamp(left, milliseconds(0), kFirstEventDelay);
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
  const auto response = ExpectedResponse(queue, request, now);
  const milliseconds left = request.deadline - now;
  detail::arriving_work& arriving =
      unit.arriving[{request.priority, request.workspace}];
  arriving.level = LevelAt(arriving, now) + ReadTime(request);
  arriving.at = now;
  if (!response || *response > left * kAdmittedShare)
    return Refuse(queue, request, now);
  request_flow& flow = unit.flows[{request.priority, request.workspace}];
  flow.read_time += ReadTime(request);
  const auto after =
      std::ranges::upper_bound(flow.requests, request, IsEarlier);
  flow.requests.insert(after, std::move(request));
  MarkChanged(queue, unit);
  return std::nullopt;
}

queue_decisions Decide(engine_queue& queue, base::time_point now) {
  queue_decisions out;
  const bool check_all = now - queue.checked_at >= kCheckInterval;
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
  if (check_all)
    RefuseLate(queue, now, out.refusals);
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
    double tokens = 0;
    for (const auto& [key, flow] : unit.flows) {
      for (const queued_request& each : flow.requests)
        tokens += static_cast<double>(each.weight.prompt_tokens);
    }
    if (tokens <= 0)
      continue;
    for (const std::string& engine : unit.engines)
      out[engine] += std::max<std::int64_t>(
          static_cast<std::int64_t>(tokens * EnginePart(unit)), 1);
  }
  return out;
}

}  // namespace valeledge::decisions
