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
#include "host/constants.h"

namespace valeledge::host {

namespace {

namespace asio = boost::asio;
using base::result_code;
using decisions::limit_allowance;
using decisions::limit_verdict;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// A responsive owner replies within a few milliseconds.
constexpr milliseconds kOwnerTimeout{120};

// Delay of the second request to the owner if this host has no allowance of its
// own.
constexpr milliseconds kRetryDelay{150};

// Interval at which a request that waits for tokens checks whether its caller
// is still there and whether the owner is still the same.
constexpr milliseconds kWaitCheckInterval{50};

// No call to an owner takes longer: it waits for at most 30 s.
constexpr std::chrono::seconds kReplyMemory{60};

// An owner is typically available again within this time.
constexpr milliseconds kNoOwnerRetryAfter{400};

bool IsGranted(const std::optional<wire::limit_reply>& reply) {
  return reply &&
         reply->verdict == static_cast<std::int32_t>(limit_verdict::kGranted);
}

bool IsExceeded(const std::optional<wire::limit_reply>& reply) {
  return reply &&
         reply->verdict == static_cast<std::int32_t>(limit_verdict::kExceeded);
}

milliseconds TimeLeft(const limit_wait& wait) {
  const auto left = std::chrono::duration_cast<milliseconds>(
      wait.until - std::chrono::steady_clock::now());
  return std::max(left, milliseconds(0));
}

}  // namespace

workspace_limit_service::workspace_limit_service(
    host_core& core,
    workspace_limit_callbacks callbacks)
    : core_(core),
      callbacks_(std::move(callbacks)),
      own_(core, {callbacks_.owner, callbacks_.members}) {}

void workspace_limit_service::Tick(base::time_point now) {
  own_.Tick(now);
  std::erase_if(replied_at_, [now](const auto& each) {
    return now - each.second > kReplyMemory;
  });
}

void workspace_limit_service::OnMemberJoined(base::time_point now) {
  own_.OnMemberJoined(now);
}

wire::limit_reply workspace_limit_service::HandleRequest(
    const wire::limit_question& request) {
  return own_.HandleRequest(request);
}

asio::awaitable<wire::limit_reply> workspace_limit_service::HandleCall(
    wire::limit_question request) {
  return own_.HandleCall(std::move(request));
}

asio::awaitable<std::optional<wire::limit_reply>>
workspace_limit_service::RequestFromOwner(wire::limit_question request) {
  const auto owner = callbacks_.owner(request.workspace);
  if (!owner)
    co_return std::nullopt;
  if (*owner == core_.settings.peer_listen)
    co_return own_.HandleRequest(request);
  wire::envelope call;
  call.__set_limit_wanted(request);
  const auto sent_at = std::chrono::steady_clock::now();
  const auto reply =
      co_await callbacks_.call(*owner, std::move(call), kOwnerTimeout);
  if (reply)
    replied_at_[*owner] = std::chrono::steady_clock::now();
  else
    Suspect(*owner, sent_at);
  if (!reply || !reply->__isset.limit)
    co_return std::nullopt;
  co_return reply->limit;
}

// A question may stay open for seconds: its connection can be lost although
// the owner is well.
void workspace_limit_service::Suspect(const base::endpoint& owner,
                                      base::time_point sent_at) {
  const auto replied = replied_at_.find(owner);
  if (replied == replied_at_.end() || replied->second < sent_at)
    callbacks_.suspect(owner);
}

asio::awaitable<std::optional<wire::limit_reply>>
workspace_limit_service::RequestUnlessPending(wire::limit_question request) {
  owner_state& state = owner_states_[request.workspace];
  const bool is_probe = state.is_unresponsive;
  if (is_probe && state.has_pending_request)
    co_return std::nullopt;
  if (is_probe)
    state.has_pending_request = true;
  auto reply = co_await RequestWithRetry(std::move(request));
  if (is_probe)
    state.has_pending_request = false;
  state.is_unresponsive = !reply.has_value();
  co_return reply;
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

asio::awaitable<void> workspace_limit_service::CallOwner(
    base::endpoint owner,
    wire::limit_question request,
    microseconds timeout,
    std::shared_ptr<pending_question> pending) {
  const bool is_self = owner == core_.settings.peer_listen;
  std::optional<wire::limit_reply> reply;
  if (is_self) {
    reply = co_await own_.HandleCall(request);
  } else {
    wire::envelope call;
    call.__set_limit_wanted(request);
    const auto sent_at = std::chrono::steady_clock::now();
    const auto replied =
        co_await callbacks_.call(owner, std::move(call), timeout);
    if (replied)
      replied_at_[owner] = std::chrono::steady_clock::now();
    else if (!pending->is_abandoned)
      Suspect(owner, sent_at);
    if (replied && replied->__isset.limit)
      reply = replied->limit;
  }
  pending->is_done = true;
  pending->reply = reply;
  pending->poll.cancel();
  if (!pending->is_abandoned || !IsGranted(reply))
    co_return;
  detail::CountLimitWait(core_, "returned");
  wire::limit_question refund;
  refund.workspace = request.workspace;
  refund.count = -request.count;
  if (is_self) {
    own_.HandleRequest(refund);
    co_return;
  }
  // The owner that granted the tokens gets them back, whichever host owns the
  // limit now.
  wire::envelope call;
  call.__set_limit_wanted(refund);
  co_await callbacks_.call(owner, std::move(call), kOwnerTimeout);
}

std::optional<base::endpoint> workspace_limit_service::RecentOwner(
    const std::string& workspace) {
  owner_state& state = owner_states_[workspace];
  const auto now = std::chrono::steady_clock::now();
  if (now - state.owner_checked_at >= kWaitCheckInterval) {
    state.owner_checked_at = now;
    state.owner = callbacks_.owner(workspace);
  }
  return state.owner;
}

asio::awaitable<base::result<workspace_limit_service::question_result>>
workspace_limit_service::Ask(base::endpoint owner,
                             wire::limit_question request,
                             milliseconds patience,
                             const limit_wait& wait) {
  const std::string workspace = request.workspace;
  request.__set_priority(wait.priority);
  request.__set_patience_ms(patience.count());
  const auto pending = std::make_shared<pending_question>(core_.context);
  asio::co_spawn(
      core_.context,
      CallOwner(owner, std::move(request), patience + kOwnerTimeout, pending),
      asio::detached);
  while (!pending->is_done) {
    pending->poll.expires_after(kWaitCheckInterval);
    co_await pending->poll.async_wait(asio::as_tuple(asio::use_awaitable));
    if (pending->is_done)
      break;
    if (auto ended = wait.check()) {
      pending->is_abandoned = true;
      detail::CountLimitWait(core_, "abandoned");
      co_return tl::make_unexpected(std::move(*ended));
    }
    if (RecentOwner(workspace) != owner) {
      pending->is_abandoned = true;
      detail::CountLimitWait(core_, "owner_changed");
      co_return question_result{std::nullopt, true};
    }
  }
  co_return question_result{pending->reply, false};
}

asio::awaitable<base::result<std::optional<wire::limit_reply>>>
workspace_limit_service::RequestInTime(wire::limit_question request,
                                       limit_wait wait) {
  owner_state& state = owner_states_[request.workspace];
  while (const auto owner = callbacks_.owner(request.workspace)) {
    const bool is_probe = state.is_unresponsive;
    if (!is_probe || !state.has_pending_request) {
      // A probe of an owner that has not responded must not take long, since
      // no other request is sent meanwhile.
      const auto patience = is_probe ? milliseconds(0) : TimeLeft(wait);
      if (is_probe)
        state.has_pending_request = true;
      const auto asked = co_await Ask(*owner, request, patience, wait);
      if (is_probe)
        state.has_pending_request = false;
      if (!asked)
        co_return tl::make_unexpected(asked.error());
      state.is_unresponsive = !asked->reply && !asked->has_moved;
      const bool asks_again =
          asked->has_moved || (is_probe && IsExceeded(asked->reply));
      if (!asks_again && (IsGranted(asked->reply) || IsExceeded(asked->reply)))
        co_return asked->reply;
      if (asks_again && TimeLeft(wait).count() > 0)
        continue;
      if (IsExceeded(asked->reply))
        co_return asked->reply;
    }
    if (TimeLeft(wait) <= kRetryDelay)
      break;
    asio::steady_timer timer(core_.context, kRetryDelay);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    if (auto ended = wait.check())
      co_return tl::make_unexpected(std::move(*ended));
  }
  // No owner has decided in time.
  std::optional<wire::limit_reply> reply;
  if (state.allowance.rate <= 0)
    reply = co_await RequestUnlessPending(std::move(request));
  co_return reply;
}

asio::awaitable<base::result<void>> workspace_limit_service::Acquire(
    std::string workspace,
    double count,
    std::optional<limit_wait> wait) {
  owner_state& state = owner_states_[workspace];
  const auto now = std::chrono::steady_clock::now();
  decisions::NoteRequest(state.allowance, now);
  wire::limit_question request;
  request.workspace = workspace;
  request.count = count;
  request.host = core_.settings.name;
  request.usual = decisions::TypicalRate(state.allowance, now);
  if (wait) {
    const auto decided =
        co_await RequestInTime(std::move(request), std::move(*wait));
    if (!decided)
      co_return tl::make_unexpected(decided.error());
    co_return EvaluateReply(workspace, count, *decided);
  }
  const auto reply = co_await RequestUnlessPending(std::move(request));
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
