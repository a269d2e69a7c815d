// SPDX-License-Identifier: MIT
#include "host/process/workspace_limit_owner.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/logging.h"

namespace valeledge::host {

namespace {

namespace asio = boost::asio;
using base::log_event;
using decisions::limit_verdict;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::string_view kCategory = "limits";

// Interval at which the usage of limits is logged.
constexpr milliseconds kUsageLogInterval{1000};

// By this time after its start a host knows most of the other hosts.
constexpr std::chrono::seconds kStartupPeriod{10};

wire::limit_reply ToReply(const decisions::limit_decision& answer) {
  wire::limit_reply reply;
  reply.verdict = static_cast<std::int32_t>(answer.verdict);
  reply.retry_after_us =
      std::chrono::duration_cast<microseconds>(answer.retry_after).count();
  return reply;
}

decisions::limit_request ToRequest(const wire::limit_question& question) {
  const bool is_rate = std::isfinite(question.usual) && question.usual >= 0;
  return {question.host, question.count, is_rate ? question.usual : 0};
}

}  // namespace

namespace detail {

void CountLimitWait(host_core& core, std::string_view reason) {
  core.metrics.Counter("valeledge_limit_waits_total", reason).Add();
}

}  // namespace detail

workspace_limit_owner::workspace_limit_owner(host_core& core,
                                             limit_owner_callbacks callbacks)
    : core_(core), callbacks_(std::move(callbacks)) {}

const catalog::workspace_limit* workspace_limit_owner::FindLimit(
    const std::string& name) const {
  if (core_.configuration == nullptr)
    return nullptr;
  const auto& workspaces = core_.configuration->workspaces;
  const auto found =
      std::ranges::find(workspaces, name, &catalog::workspace::name);
  const bool limited = found != workspaces.end() && found->limit.IsSet();
  return limited ? &found->limit : nullptr;
}

bool workspace_limit_owner::HasJustStarted(base::time_point now) const {
  return now - core_.started < kStartupPeriod;
}

bool workspace_limit_owner::OwnsLimit(const std::string& workspace) const {
  const auto owner = callbacks_.owner(workspace);
  return owner && *owner == core_.settings.peer_listen;
}

void workspace_limit_owner::Tick(base::time_point now) {
  std::erase_if(limiters_, [this](const auto& each) {
    const bool is_lost =
        FindLimit(each.first) == nullptr || !OwnsLimit(each.first);
    if (is_lost)
      CloseQueue(each.first);
    return is_lost;
  });
  if (core_.configuration == nullptr)
    return;
  LogUsage(now);
  for (const catalog::workspace& each : core_.configuration->workspaces) {
    if (each.limit.IsSet() && !limiters_.contains(each.name) &&
        OwnsLimit(each.name)) {
      limiters_.emplace(each.name, decisions::MakeLimiter(
                                       each.limit, HasJustStarted(now), now));
    }
  }
}

void workspace_limit_owner::LogUsage(base::time_point now) {
  if (now - logged_at_ < kUsageLogInterval)
    return;
  logged_at_ = now;
  for (auto& [name, limiter] : limiters_) {
    const double asked = std::exchange(limiter.requested, 0);
    const double granted = std::exchange(limiter.granted, 0);
    if (asked <= 0)
      continue;
    base::Log(kCategory, log_event::kLimitSeen,
              {{"workspace", name},
               {"version", core_.configuration->version},
               {"asked", static_cast<std::int64_t>(asked)},
               {"granted", static_cast<std::int64_t>(granted)},
               {"rate", static_cast<std::int64_t>(limiter.bucket.rate)},
               {"left", static_cast<std::int64_t>(limiter.bucket.level)}});
  }
  for (auto& [name, owned] : queues_)
    LogQueue(name, owned, now);
}

void workspace_limit_owner::LogQueue(const std::string& workspace,
                                     owned_queue& owned,
                                     base::time_point now) {
  const auto granted = std::exchange(owned.granted, 0);
  const auto refused = std::exchange(owned.refused, 0);
  const auto dropped = std::exchange(owned.dropped, 0);
  const auto waiting = static_cast<std::int64_t>(owned.queue.waiting.size());
  if (granted + refused + dropped + waiting == 0)
    return;
  const double urgent = decisions::UrgentDemand(owned.queue, now);
  base::Log(kCategory, log_event::kLimitQueueSeen,
            {{"workspace", workspace},
             {"waiting", waiting},
             {"granted", granted},
             {"refused", refused},
             {"dropped", dropped},
             {"urgent_demand", static_cast<std::int64_t>(urgent)}});
}

// Hosts that start together discover each other within about a second. Until
// then each of them assumes that it owns all limits.
void workspace_limit_owner::OnMemberJoined(base::time_point now) {
  if (!HasJustStarted(now))
    return;
  for (auto& [name, limiter] : limiters_)
    limiter.owned_since = now;
}

decisions::limit_members workspace_limit_owner::Members(base::time_point now) {
  decisions::limit_members members = callbacks_.members();
  members.is_newly_started = HasJustStarted(now);
  return members;
}

wire::limit_reply workspace_limit_owner::HandleRequest(
    const wire::limit_question& request) {
  const auto limiter = limiters_.find(request.workspace);
  const auto* limit = FindLimit(request.workspace);
  if (limiter == limiters_.end() || limit == nullptr)
    return ToReply({});
  // Such a count would remain in the state of the limit.
  if (!decisions::IsValidCost(request.count)) {
    detail::CountLimitWait(core_, "invalid");
    return ToReply({});
  }
  const auto owned = queues_.find(request.workspace);
  if (request.count < 0) {
    decisions::Release(limiter->second, -request.count);
    ServeOwned(request.workspace);
    return ToReply({limit_verdict::kGranted});
  }
  const auto now = std::chrono::steady_clock::now();
  if (owned != queues_.end())
    decisions::RecordDirectDemand(owned->second.queue, *limit, request.count,
                                  now);
  return ToReply(decisions::TryAcquire(limiter->second, *limit, Members(now),
                                       ToRequest(request), now));
}

std::optional<decisions::token_wait> workspace_limit_owner::ReadWait(
    const wire::limit_question& request) {
  if (!request.__isset.priority && !request.__isset.patience_ms)
    return std::nullopt;
  std::optional<std::int64_t> priority;
  std::optional<std::int64_t> patience_ms;
  if (request.__isset.priority)
    priority = request.priority;
  if (request.__isset.patience_ms)
    patience_ms = request.patience_ms;
  auto wait = decisions::ReadTokenWait(priority, patience_ms);
  if (!wait)
    detail::CountLimitWait(core_, "invalid");
  return wait;
}

asio::awaitable<wire::limit_reply> workspace_limit_owner::HandleCall(
    wire::limit_question request) {
  const auto limiter = limiters_.find(request.workspace);
  const auto* limit = FindLimit(request.workspace);
  const auto wait = ReadWait(request);
  const bool may_wait =
      wait && limiter != limiters_.end() && limit != nullptr &&
      decisions::IsValidCost(request.count) && request.count >= 0;
  if (!may_wait)
    co_return HandleRequest(request);
  const auto now = std::chrono::steady_clock::now();
  owned_queue& owned =
      queues_.try_emplace(request.workspace, core_.context).first->second;
  const decisions::limit_members members = Members(now);
  const auto number =
      decisions::Enqueue(owned.queue, limiter->second, *limit, members,
                         ToRequest(request), *wait, now);
  if (!number) {
    ++owned.refused;
    detail::CountLimitWait(core_, "refused");
    co_return ToReply(number.error());
  }
  const auto queued = std::make_shared<queued_request>(core_.context);
  owned.requests[*number] = queued;
  ServeOwned(request.workspace, members);
  if (!queued->decision) {
    queued->done.expires_at(base::time_point::max());
    co_await queued->done.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  co_return ToReply(queued->decision.value_or(decisions::limit_decision()));
}

void workspace_limit_owner::ServeOwned(const std::string& workspace) {
  const auto owned = queues_.find(workspace);
  if (owned != queues_.end() && !owned->second.queue.waiting.empty())
    ServeOwned(workspace, Members(std::chrono::steady_clock::now()));
}

void workspace_limit_owner::ServeOwned(
    const std::string& workspace,
    const decisions::limit_members& members) {
  const auto limiter = limiters_.find(workspace);
  const auto owned = queues_.find(workspace);
  const auto* limit = FindLimit(workspace);
  if (limiter == limiters_.end() || owned == queues_.end() || limit == nullptr)
    return;
  const auto now = std::chrono::steady_clock::now();
  for (const auto& [number, decision] : decisions::ServeQueue(
           owned->second.queue, limiter->second, *limit, members, now)) {
    const bool granted = decision.verdict == limit_verdict::kGranted;
    ++(granted ? owned->second.granted : owned->second.dropped);
    detail::CountLimitWait(core_, granted ? "granted" : "dropped");
    const auto queued = owned->second.requests.extract(number).mapped();
    queued->decision = decision;
    queued->done.cancel();
  }
  const auto next =
      decisions::NextServing(owned->second.queue, limiter->second, now);
  if (!next)
    return;
  owned->second.next.expires_at(*next);
  owned->second.next.async_wait(
      [this, workspace](const boost::system::error_code& cancelled) {
        if (!cancelled)
          ServeOwned(workspace);
      });
}

// This host does not own the limit any more: the hosts ask the next owner.
void workspace_limit_owner::CloseQueue(const std::string& workspace) {
  const auto owned = queues_.find(workspace);
  if (owned == queues_.end())
    return;
  for (const auto& [number, queued] : owned->second.requests) {
    queued->decision = decisions::limit_decision();
    queued->done.cancel();
    detail::CountLimitWait(core_, "owner_changed");
  }
  queues_.erase(owned);
}

}  // namespace valeledge::host
