// SPDX-License-Identifier: MIT
#include "host/process/workspace_limit_service.h"

#include <algorithm>
#include <random>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/duration.h"
#include "base/logging.h"
#include "host/constants.h"

namespace valeledge::host {

namespace {

namespace asio = boost::asio;
using base::log_event;
using base::result_code;
using decisions::limit_allowance;
using decisions::limit_verdict;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::string_view kCategory = "limits";

// Interval at which the usage of limits is logged.
constexpr milliseconds kUsageLogInterval{1000};

// A responsive owner replies within a few milliseconds.
constexpr milliseconds kOwnerTimeout{120};

// By this time after its start a host knows most of the other hosts.
constexpr std::chrono::seconds kStartupPeriod{10};

// Delay of the second request to the owner if this host has no allowance of its
// own.
constexpr milliseconds kRetryDelay{150};

// An owner is typically available again within this time.
constexpr milliseconds kNoOwnerRetryAfter{400};

wire::limit_reply ToReply(const decisions::limit_decision& answer) {
  wire::limit_reply reply;
  reply.verdict = static_cast<std::int32_t>(answer.verdict);
  reply.retry_after_us =
      std::chrono::duration_cast<microseconds>(answer.retry_after).count();
  return reply;
}

}  // namespace

workspace_limit_service::workspace_limit_service(
    host_core& core,
    workspace_limit_callbacks callbacks)
    : core_(core), callbacks_(std::move(callbacks)) {}

const catalog::workspace_limit* workspace_limit_service::FindLimit(
    const std::string& name) const {
  if (core_.configuration == nullptr)
    return nullptr;
  const auto& workspaces = core_.configuration->workspaces;
  const auto found =
      std::ranges::find(workspaces, name, &catalog::workspace::name);
  const bool limited = found != workspaces.end() && found->limit.IsSet();
  return limited ? &found->limit : nullptr;
}

bool workspace_limit_service::HasJustStarted(base::time_point now) const {
  return now - core_.started < kStartupPeriod;
}

bool workspace_limit_service::OwnsLimit(const std::string& workspace) const {
  const auto owner = callbacks_.owner(workspace);
  return owner && *owner == core_.settings.peer_listen;
}

void workspace_limit_service::Tick(base::time_point now) {
  std::erase_if(limiters_, [this](const auto& each) {
    return FindLimit(each.first) == nullptr || !OwnsLimit(each.first);
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

void workspace_limit_service::LogUsage(base::time_point now) {
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
}

// Hosts that start together discover each other within about a second. Until
// then each of them assumes that it owns all limits.
void workspace_limit_service::OnMemberJoined(base::time_point now) {
  if (!HasJustStarted(now))
    return;
  for (auto& [name, limiter] : limiters_)
    limiter.owned_since = now;
}

wire::limit_reply workspace_limit_service::HandleRequest(
    const wire::limit_question& request) {
  const auto limiter = limiters_.find(request.workspace);
  const auto* limit = FindLimit(request.workspace);
  if (limiter == limiters_.end() || limit == nullptr)
    return ToReply({});
  if (request.count < 0) {
    decisions::Release(limiter->second, -request.count);
    return ToReply({limit_verdict::kGranted});
  }
  const auto now = std::chrono::steady_clock::now();
  decisions::limit_members members = callbacks_.members();
  members.is_newly_started = HasJustStarted(now);
  return ToReply(
      decisions::TryAcquire(limiter->second, *limit, members,
                            {request.host, request.count, request.usual}, now));
}

asio::awaitable<std::optional<wire::limit_reply>>
workspace_limit_service::RequestFromOwner(wire::limit_question request) {
  const auto owner = callbacks_.owner(request.workspace);
  if (!owner)
    co_return std::nullopt;
  if (*owner == core_.settings.peer_listen)
    co_return HandleRequest(request);
  wire::envelope call;
  call.__set_limit_wanted(request);
  const auto reply =
      co_await callbacks_.call(*owner, std::move(call), kOwnerTimeout);
  if (!reply)
    callbacks_.suspect(*owner);
  if (!reply || !reply->__isset.limit)
    co_return std::nullopt;
  co_return reply->limit;
}

asio::awaitable<std::optional<wire::limit_reply>>
workspace_limit_service::RequestWithRetry(wire::limit_question request) {
  auto first = co_await RequestFromOwner(request);
  const limit_allowance& allowance = owner_states_[request.workspace].allowance;
  const bool owned = first && first->verdict != static_cast<std::int32_t>(
                                                    limit_verdict::kNotOwned);
  if (owned || allowance.rate > 0)
    co_return first;
  asio::steady_timer timer(core_.context, kRetryDelay);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  auto second = co_await RequestFromOwner(std::move(request));
  co_return second;
}

base::result<void> workspace_limit_service::EvaluateReply(
    const std::string& workspace,
    double count,
    const std::optional<wire::limit_reply>& reply) {
  const auto now = std::chrono::steady_clock::now();
  owner_state& state = owner_states_[workspace];
  const auto verdict = reply ? static_cast<limit_verdict>(reply->verdict)
                             : limit_verdict::kNotOwned;
  if (verdict == limit_verdict::kGranted) {
    decisions::NoteGranted(state.allowance, count, now);
    return {};
  }
  if (verdict == limit_verdict::kExceeded) {
    decisions::NoteExceeded(state.allowance, now);
    auto exceeded =
        base::MakeError(result_code::kWorkspaceLimit, base::outcome::kNotRun,
                        "the workspace has exceeded its limit");
    exceeded.retry_after =
        std::chrono::ceil<milliseconds>(microseconds(reply->retry_after_us));
    return tl::make_unexpected(std::move(exceeded));
  }
  std::uniform_real_distribution<double> distribution(0, 1);
  if (decisions::TryAcquireWithoutOwner(state.allowance, count,
                                        distribution(core_.random), now)) {
    core_.metrics.Counter("valeledge_limits_total", "without_owner").Add();
    return {};
  }
  auto no_owner =
      base::MakeError(result_code::kNoLimitOwner, base::outcome::kNotRun,
                      "no owner of the workspace limit can be reached");
  no_owner.retry_after = kNoOwnerRetryAfter;
  return tl::make_unexpected(std::move(no_owner));
}

asio::awaitable<base::result<void>> workspace_limit_service::Acquire(
    std::string workspace,
    double count) {
  owner_state& state = owner_states_[workspace];
  const auto now = std::chrono::steady_clock::now();
  decisions::NoteRequest(state.allowance, now);
  wire::limit_question request;
  request.workspace = workspace;
  request.count = count;
  request.host = core_.settings.name;
  request.usual = decisions::TypicalRate(state.allowance, now);
  const bool is_request_pending =
      state.is_unresponsive && state.has_pending_request;
  std::optional<wire::limit_reply> reply;
  if (!is_request_pending) {
    state.has_pending_request = true;
    reply = co_await RequestWithRetry(std::move(request));
    state.has_pending_request = false;
    state.is_unresponsive = !reply.has_value();
  }
  co_return EvaluateReply(workspace, count, reply);
}

void workspace_limit_service::Release(const std::string& workspace,
                                      double count) {
  wire::limit_question request;
  request.workspace = workspace;
  request.count = -count;
  asio::co_spawn(core_.context, RequestFromOwner(std::move(request)),
                 asio::detached);
}

}  // namespace valeledge::host
