// SPDX-License-Identifier: MIT
#include "host/process/engine_queue_owner.h"

#include <algorithm>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/logging.h"
#include "host/constants.h"
#include "host/load_features.h"
#include "host/process/separation_reports.h"

namespace valeledge::host {

namespace {

namespace asio = boost::asio;
using base::log_event;
using detail::MakeReply;
using detail::queue_verdict;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view kCategory = "engine_queue";

// Interval at which the owner compares the queue with the reported loads: small
// against the time in which an engine reads a prompt (20 to 75 ms).
constexpr milliseconds kPassInterval{2};

// Interval at which the owner looks which engines belong to its groups, and
// which of them hold the queued models.
constexpr milliseconds kHolderInterval{100};

// How long an engine is reported to have a queue at least. Each change is sent
// to the hosts that receive its loads.
constexpr milliseconds kMinVisible{1000};

// Interval at which the engines that have a queue are reported again: datagrams
// can be lost, and not all hosts receive each of them.
constexpr milliseconds kReportInterval{1000};

// Maximum of queued tokens that are reported, about 100 ms of reading: hosts of
// older builds then wait, and do not refuse requests that are more urgent than
// those in the queue.
constexpr std::int64_t kMaxVisibleTokens = 4000;

// A queue that has been empty for this time is logged as ended.
constexpr milliseconds kQueueIdle{5000};

// Bounds of valid values in messages. Longest timeouts, prompts and gaps are
// far below.
constexpr std::int64_t kMaxPriority = 1000;
constexpr std::int64_t kMaxLeftMs = 60'000;
constexpr std::int64_t kMaxDeadlineMs = 3'600'000;
constexpr std::int64_t kMaxTokens = 10'000'000;
constexpr std::int64_t kMinTokenNs = 1'000;
constexpr std::int64_t kMaxTokenNs = 1'000'000;
constexpr std::int64_t kMaxEvents = 1'000'000;

// Hosts with few measurements state an initial time per token that is too high,
// so the lowest recent one is used; it rises by this factor with each question.
constexpr double kTokenTimeRise = 1.002;
constexpr std::size_t kMaxTokenTimes = 2000;

// Without an engine the host that asked decides whether the request waits until
// one has loaded the model.
wire::engine_place_reply Refusal(const decisions::engine_refusal& refusal) {
  if (refusal.without_engine)
    return MakeReply(queue_verdict::kNotOwner, refusal.number);
  auto reply = MakeReply(queue_verdict::kNotInTime, refusal.number);
  reply.retry_after_us =
      duration_cast<microseconds>(refusal.retry_after).count();
  return reply;
}

bool IsResumed(const wire::engine_place_question& question) {
  return question.__isset.resumes && question.resumes;
}

bool IsWithin(std::int64_t value, std::int64_t lowest, std::int64_t highest) {
  return value >= lowest && value <= highest;
}

// Whether requests of the queue may be sent to an engine. Servers that
// advertise a limit use permits, and those that tolerate few rejections or few
// requests while they are cold are selected by hosts.
bool IsSelectable(const known_server& server,
                  const catalog::service& service,
                  base::time_point now) {
  return server.TakesRequests() && !server.IsLimited() &&
         !server.rejections_tolerated && !server.IsCold(service, now) &&
         !decisions::IsPaused(server.notices, now) &&
         decisions::AllowsRequests(server.trust, now);
}

decisions::queue_engine EngineOf(const server_registry& servers,
                                 const known_server& server,
                                 const catalog::service& service,
                                 base::time_point now) {
  decisions::queue_engine engine;
  engine.load = server_registry::LoadOf(server, service);
  if (servers.SharesEstimates(service))
    engine.load.slowdown = decisions::CurrentFactor(server.estimate, now);
  engine.pause_cost = decisions::PauseCost(server.pace, now);
  engine.capacity = server.room.held;
  engine.requests_sent = server.requests_sent;
  if (servers.SeparatesStreams(service))
    engine.separated = server_registry::SeparatedOf(server, now);
  return engine;
}

}  // namespace

namespace detail {

wire::engine_place_reply MakeReply(queue_verdict verdict, std::int64_t number) {
  wire::engine_place_reply reply;
  reply.verdict = static_cast<std::int32_t>(verdict);
  reply.number = number;
  return reply;
}

}  // namespace detail

engine_queue_owner::engine_queue_owner(host_core& core,
                                       engine_queue_groups& groups)
    : core_(core), groups_(groups) {}

void engine_queue_owner::Count(std::string_view metric,
                               std::string_view label) {
  core_.metrics.Counter(metric, label).Add();
}

void engine_queue_owner::CountReturns(owned_queue& owned) {
  const auto counts = std::exchange(owned.queue.returns, {});
  const auto add = [this](std::string_view label, std::int64_t count) {
    if (count > 0)
      core_.metrics.Counter("valeledge_return_reservations_total", label)
          .Add(count);
  };
  add("made", counts.made);
  add("redeemed", counts.redeemed);
  add("lapsed", counts.lapsed);
  add("refusal", counts.refusals);
}

const catalog::service* engine_queue_owner::QueuedService(
    const std::string& name,
    const owned_queue& owned,
    base::time_point now) const {
  const bool is_resuming =
      owned.resumed_at && now - *owned.resumed_at < kMinVisible;
  return is_resuming ? groups_.ServiceWithEngines(name)
                     : groups_.EnabledService(name);
}

void engine_queue_owner::UpdateMembers(const std::string& service,
                                       owned_queue& owned,
                                       base::time_point now) {
  if (owned.members_at && now - *owned.members_at < kHolderInterval)
    return;
  owned.members_at = now;
  owned.members.clear();
  for (auto& [name, unit] : owned.units)
    unit.has_holders = false;
  const std::int64_t groups = groups_.GroupsOf(service);
  std::set<std::int64_t> own;
  for (std::int64_t group = 0; group < groups; ++group) {
    const auto candidates = groups_.Candidates(service, group);
    if (std::ranges::find(candidates, core_.settings.peer_listen) !=
        candidates.end())
      own.insert(group);
  }
  if (own.empty())
    return;
  for (const auto& [instance, server] : core_.servers.servers()) {
    if (server->entry.service == service &&
        own.contains(decisions::GroupOf(instance, groups)))
      owned.members.push_back(server);
  }
}

void engine_queue_owner::UpdateHolders(const catalog::service& service,
                                       owned_queue& owned,
                                       const std::string& unit,
                                       base::time_point now) {
  queued_unit& of = owned.units.at(unit);
  if (std::exchange(of.has_holders, true))
    return;
  std::vector<std::string> holders;
  for (const auto& server : owned.members) {
    if (IsSelectable(*server, service, now) &&
        server->Holds(of.model, of.adapter, now))
      holders.push_back(server->entry.instance);
  }
  if (holders.empty() && !owned.queue.units.contains(unit))
    return;
  decisions::SetHolders(owned.queue, unit, std::move(holders));
}

void engine_queue_owner::ReadCaller(const wire::engine_place_question& question,
                                    decisions::queued_request& request) {
  request.sent_anyway = question.__isset.sent_anyway && question.sent_anyway;
  if (IsWithin(question.deadline_ms, 1, kMaxDeadlineMs))
    request.caller_deadline =
        request.arrived + milliseconds(question.deadline_ms);
  else if (question.__isset.deadline_ms)
    Count("valeledge_engine_queue_bad_values_total", "deadline");
}

std::optional<decisions::queued_request> engine_queue_owner::ReadQuestion(
    const wire::engine_place_question& question,
    owned_queue& owned,
    base::time_point now) {
  const auto bad = [this](std::string_view field) {
    Count("valeledge_engine_queue_bad_values_total", field);
  };
  const bool usable = question.__isset.number && question.number > 0 &&
                      !owned.waiters.contains(question.number) &&
                      IsWithin(question.left_ms, 1, kMaxLeftMs) &&
                      IsWithin(question.tokens_to_read, 0, kMaxTokens) &&
                      IsWithin(question.tokens_to_hold, 0, kMaxTokens);
  if (!usable) {
    bad("question");
    return std::nullopt;
  }
  decisions::queued_request request;
  request.number = question.number;
  request.unit = AdapterUnit(question.model, question.adapter);
  // A request without a valid priority is served after the others.
  request.priority = kMaxPriority;
  if (IsWithin(question.priority, 0, kMaxPriority))
    request.priority = question.priority;
  else
    bad("priority");
  request.resumes = IsResumed(question);
  if (request.resumes)
    request.priority = decisions::kResumedPriority;
  request.workspace = question.workspace;
  request.arrived = now;
  request.deadline = now + milliseconds(question.left_ms);
  request.weight.prompt_tokens = question.tokens_to_read;
  request.weight.held_tokens = question.tokens_to_hold;
  request.max_event_gap = kDefaultEventGap;
  if (IsWithin(question.event_gap_ms, 1, kMaxLeftMs))
    request.max_event_gap = milliseconds(question.event_gap_ms);
  else if (question.__isset.event_gap_ms)
    bad("event_gap");
  if (question.__isset.expected_events) {
    request.is_separated = IsWithin(question.expected_events, 0, kMaxEvents);
    if (request.is_separated)
      request.expected_events = static_cast<double>(question.expected_events);
    else
      bad("expected_events");
  }
  request.typical_prefill = core_.servers.typical_prompt().prefill;
  const bool states_time =
      IsWithin(question.token_ns, kMinTokenNs, kMaxTokenNs);
  if (!states_time && question.__isset.token_ns)
    bad("token_time");
  const std::chrono::duration<double, std::milli> stated =
      states_time ? nanoseconds(question.token_ns) : kInitialTokenCost;
  auto& token_time =
      owned.token_times.try_emplace(question.model, stated).first->second;
  token_time = std::min(token_time * kTokenTimeRise, stated);
  request.weight.time_per_token = token_time;
  request.avoid = question.avoid;
  ReadCaller(question, request);
  return request;
}

asio::awaitable<wire::engine_place_reply> engine_queue_owner::HandleQuestion(
    wire::engine_place_question question) {
  const auto now = std::chrono::steady_clock::now();
  const auto not_owner = MakeReply(queue_verdict::kNotOwner, question.number);
  const std::string service_name = question.service_name;
  if (groups_.ServiceWithEngines(service_name) == nullptr)
    co_return not_owner;
  owned_queue& owned = queues_[service_name];
  if (IsResumed(question))
    owned.resumed_at = now;
  const catalog::service* service = QueuedService(service_name, owned, now);
  if (service == nullptr)
    co_return not_owner;
  UpdateMembers(service_name, owned, now);
  auto request = ReadQuestion(question, owned, now);
  if (!request || owned.members.empty())
    co_return not_owner;
  queued_unit& of = owned.units[request->unit];
  of.model = question.model;
  of.adapter = question.adapter;
  UpdateHolders(*service, owned, request->unit, now);
  const auto unit = owned.queue.units.find(request->unit);
  if (unit == owned.queue.units.end() || unit->second.engines.empty()) {
    Count("valeledge_engine_queue_decisions_total", "no_engine");
    co_return not_owner;
  }
  UpdateEngines(*service, owned, now);
  owned.queue.reserves_returns =
      IsEnabled(core_.settings.features.return_reservations, *service);
  const std::int64_t number = request->number;
  const auto lapse = request->deadline + kEngineReplyMargin;
  if (const auto refusal =
          decisions::Enqueue(owned.queue, std::move(*request), now)) {
    Count("valeledge_engine_queue_decisions_total", "refused");
    ++owned.refused;
    co_return Refusal(*refusal);
  }
  asio::steady_timer timer(core_.context, lapse);
  owned.waiters[number].timer = &timer;
  // In a burst the next comparison is near.
  if (!owned.loop_runs)
    Pass(service_name, owned, now);
  if (!owned.waiters.at(number).reply) {
    if (!std::exchange(owned.loop_runs, true))
      asio::co_spawn(core_.context, PassLoop(service_name), asio::detached);
    co_await timer.async_wait(kAwait);
  }
  auto reply = std::move(owned.waiters.at(number).reply);
  owned.waiters.erase(number);
  if (!reply) {
    decisions::RemovePlace(owned.queue, number);
    reply = Refusal({number, kShortRetryAfter});
  }
  co_return *reply;
}

void engine_queue_owner::HandleEnd(const wire::engine_place_end& end) {
  const auto found = queues_.find(end.service_name);
  if (found == queues_.end() || end.number <= 0)
    return;
  owned_queue& owned = found->second;
  decisions::RemovePlace(owned.queue, end.number);
  const auto waiting = owned.waiters.find(end.number);
  if (waiting != owned.waiters.end() && !waiting->second.reply) {
    Count("valeledge_engine_queue_decisions_total", "withdrawn");
    waiting->second.reply = Refusal({end.number, kShortRetryAfter});
    waiting->second.timer->cancel();
  }
  Pass(end.service_name, owned, std::chrono::steady_clock::now());
}

void engine_queue_owner::UpdateEngines(const catalog::service& service,
                                       owned_queue& owned,
                                       base::time_point now) {
  std::vector<std::string> names;
  for (const auto& [name, engine] : owned.queue.engines)
    names.push_back(name);
  for (const std::string& name : names) {
    if (const auto server = core_.servers.Find(name))
      decisions::SetEngine(owned.queue, name,
                           EngineOf(core_.servers, *server, service, now), now);
  }
}

void engine_queue_owner::Pass(const std::string& service_name,
                              owned_queue& owned,
                              base::time_point now) {
  if (decisions::CountResumed(owned.queue) > 0)
    owned.resumed_at = now;
  const catalog::service* service = QueuedService(service_name, owned, now);
  if (service == nullptr) {
    Disband(owned);
    Publish(owned, now);
    return;
  }
  UpdateMembers(service_name, owned, now);
  std::erase_if(owned.units, [&](const auto& each) {
    return !owned.queue.units.contains(each.first);
  });
  for (const auto& [unit, names] : owned.units)
    UpdateHolders(*service, owned, unit, now);
  // Questions may name models that no engine holds.
  if (owned.token_times.size() > kMaxTokenTimes)
    owned.token_times.clear();
  UpdateEngines(*service, owned, now);
  const auto decided = decisions::Decide(owned.queue, now);
  for (const decisions::engine_grant& each : decided.grants) {
    auto reply = MakeReply(queue_verdict::kGranted, each.number);
    reply.server = each.engine;
    if (each.separated != decisions::separated_kind::kNone)
      Count("valeledge_separated_grants_total", NameOf(each.separated));
    ++owned.granted;
    Respond(owned, std::move(reply), "granted");
  }
  for (const decisions::engine_refusal& each : decided.refusals) {
    ++owned.refused;
    Respond(owned, Refusal(each), "refused_waiting");
  }
  Publish(owned, now);
}

void engine_queue_owner::Disband(owned_queue& owned) {
  owned.queue.returns.lapsed +=
      decisions::CountReservations(owned.queue.reserved);
  CountReturns(owned);
  owned.queue = {};
  owned.units.clear();
  for (auto& [number, each] : owned.waiters) {
    if (each.reply)
      continue;
    each.reply = MakeReply(queue_verdict::kNotOwner, number);
    each.timer->cancel();
  }
}

void engine_queue_owner::Respond(owned_queue& owned,
                                 wire::engine_place_reply reply,
                                 std::string_view decision) {
  Count("valeledge_engine_queue_decisions_total", decision);
  const auto found = owned.waiters.find(reply.number);
  if (found == owned.waiters.end())
    return;
  found->second.reply = std::move(reply);
  found->second.timer->cancel();
}

// Newcomers elsewhere that see the queue ask its owner.
void engine_queue_owner::Publish(owned_queue& owned, base::time_point now) {
  const auto queued = decisions::QueuedTokens(owned.queue);
  for (const auto& [name, tokens] : queued) {
    const auto server = core_.servers.Find(name);
    if (server == nullptr)
      continue;
    server->own.queued_tokens = std::min(tokens, kMaxVisibleTokens);
    if (!owned.visible.try_emplace(name, now).second)
      continue;
    owned.is_report_due = true;
    core_.load_changed(*server);
  }
  std::erase_if(owned.visible, [&](const auto& each) {
    if (queued.contains(each.first) || now - each.second < kMinVisible)
      return false;
    if (const auto server = core_.servers.Find(each.first)) {
      server->own.queued_tokens = 0;
      core_.load_changed(*server);
    }
    owned.is_report_due = true;
    owned.cleared.insert(each.first);
    return true;
  });
}

void engine_queue_owner::ReportQueues(owned_queue& owned,
                                      base::time_point now) {
  const bool is_old =
      !owned.visible.empty() && now - owned.reported_at >= kReportInterval;
  if (!core_.queues_changed || (!owned.is_report_due && !is_old))
    return;
  std::vector<std::shared_ptr<known_server>> servers;
  const auto add = [&](const std::string& instance) {
    if (auto server = core_.servers.Find(instance))
      servers.push_back(std::move(server));
  };
  for (const auto& [name, since] : owned.visible)
    add(name);
  for (const std::string& name : owned.cleared) {
    if (!owned.visible.contains(name))
      add(name);
  }
  owned.cleared.clear();
  owned.is_report_due = false;
  owned.reported_at = now;
  core_.queues_changed(servers);
}

asio::awaitable<void> engine_queue_owner::PassLoop(std::string service) {
  owned_queue& owned = queues_[service];
  asio::steady_timer timer(core_.context);
  while (decisions::CountWaiting(owned.queue) > 0) {
    timer.expires_after(kPassInterval);
    co_await timer.async_wait(kAwait);
    Pass(service, owned, std::chrono::steady_clock::now());
  }
  owned.loop_runs = false;
}

void engine_queue_owner::Tick(base::time_point now) {
  groups_.Recount();
  for (auto& [service, owned] : queues_) {
    Pass(service, owned, now);
    ReportQueues(owned, now);
    CountReturns(owned);
    core_.metrics.Gauge("valeledge_return_reservations", service)
        .Set(decisions::CountReservations(owned.queue.reserved));
    const std::int64_t waiting = decisions::CountWaiting(owned.queue);
    core_.metrics.Gauge("valeledge_engine_queue_waiting", service).Set(waiting);
    if (waiting > 0)
      owned.used_at = now;
    if (waiting > 0 && !std::exchange(owned.in_use, true)) {
      base::Log(kCategory, log_event::kEngineQueueBegan,
                {{"service", service}, {"waiting", waiting}});
    }
    if (!owned.in_use || now - owned.used_at < kQueueIdle)
      continue;
    owned.in_use = false;
    base::Log(kCategory, log_event::kEngineQueueEnded,
              {{"service", service},
               {"granted", std::exchange(owned.granted, 0)},
               {"refused", std::exchange(owned.refused, 0)}});
  }
}

}  // namespace valeledge::host
