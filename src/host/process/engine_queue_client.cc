// SPDX-License-Identifier: MIT
#include "host/process/engine_queue_client.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/logging.h"
#include "decisions/engine_queue.h"
#include "host/constants.h"

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

// Without a sign of life of the owner for this time, a host selects engines by
// itself. Owners reply when an engine is granted, so they are probed
// meanwhile: once for all questions, so that the cost does not depend on their
// number.
constexpr milliseconds kMaxSilence{250};
constexpr milliseconds kProbeInterval{120};
// Another reply this short a time ago takes the place of a probe.
constexpr milliseconds kRecentReply{60};

// How long an owner that did not respond is not asked. By then the membership
// suspects it if it does not respond to other hosts either.
constexpr milliseconds kSilentPause{2000};

// No request waits longer for an engine.
constexpr milliseconds kMaxCall = std::chrono::hours(1);

// Highest valid value in a reply. Longest timeouts are far below.
constexpr std::int64_t kMaxRetryAfterUs = 60'000'000;

wire::engine_place_question QuestionOf(engine_place_request request,
                                       std::int64_t number) {
  wire::engine_place_question question;
  question.service_name = std::move(request.service);
  question.model = std::move(request.model);
  question.priority = request.priority;
  question.workspace = std::move(request.workspace);
  question.left_ms = request.left.count();
  question.tokens_to_read = request.tokens_to_read;
  question.tokens_to_hold = request.tokens_to_hold;
  question.avoid = std::move(request.avoid);
  if (!request.adapter.empty())
    question.__set_adapter(request.adapter);
  question.__set_event_gap_ms(request.event_gap.count());
  question.__set_number(number);
  if (request.sent_anyway)
    question.__set_sent_anyway(true);
  if (request.resumes)
    question.__set_resumes(true);
  if (request.caller_left)
    question.__set_deadline_ms(request.caller_left->count());
  // Rounded up: 20.3 events are a long stream for the host.
  if (request.expected_events)
    question.__set_expected_events(
        static_cast<std::int64_t>(std::ceil(*request.expected_events)));
  question.__set_token_ns(
      duration_cast<nanoseconds>(request.token_time).count());
  return question;
}

wire::engine_place_end EndOf(const wire::engine_place_question& question) {
  wire::engine_place_end end;
  end.service_name = question.service_name;
  end.model = question.model;
  end.number = question.number;
  return end;
}

// The time to wait that a refusal states, if it is valid.
milliseconds RetryAfterOf(const wire::engine_place_reply& reply) {
  const bool is_valid =
      reply.retry_after_us >= 1 && reply.retry_after_us <= kMaxRetryAfterUs;
  return is_valid
             ? duration_cast<milliseconds>(microseconds(reply.retry_after_us))
             : kShortRetryAfter;
}

}  // namespace

engine_queue_client::engine_queue_client(host_core& core,
                                         engine_queue_groups& groups,
                                         engine_queue_owner& own,
                                         owner_calls links)
    : core_(core), groups_(groups), own_(own), links_(std::move(links)) {}

void engine_queue_client::Count(std::string_view metric,
                                std::string_view label) {
  core_.metrics.Counter(metric, label).Add();
}

std::optional<base::endpoint> engine_queue_client::FindOwner(
    const std::string& service,
    const std::string& instance,
    base::time_point now) {
  const std::int64_t groups = groups_.GroupsOf(service);
  for (const base::endpoint& each :
       groups_.Candidates(service, decisions::GroupOf(instance, groups))) {
    const auto known = owners_.find(each);
    if (known == owners_.end() || now >= known->second.silent_until)
      return each;
  }
  return std::nullopt;
}

std::optional<base::endpoint> engine_queue_client::OwnerOf(
    const known_server& server) {
  // Without the feature only streams that are resumed are queued.
  const bool may_be_queued =
      groups_.EnabledService(server.entry.service) != nullptr ||
      (server.HasQueue() &&
       groups_.ServiceWithEngines(server.entry.service) != nullptr);
  if (!may_be_queued)
    return std::nullopt;
  auto owner = FindOwner(server.entry.service, server.entry.instance,
                         std::chrono::steady_clock::now());
  return owner == core_.settings.peer_listen ? std::nullopt : owner;
}

asio::awaitable<void> engine_queue_client::Probe(base::endpoint owner) {
  asio::steady_timer timer(core_.context);
  while (true) {
    timer.expires_after(kProbeInterval);
    co_await timer.async_wait(kAwait);
    const known_owner& known = owners_[owner];
    if (known.pending == 0)
      break;
    if (std::chrono::steady_clock::now() - known.heard_at < kRecentReply)
      continue;
    wire::envelope call;
    // No place has this number.
    call.__set_engine_place_ended({});
    const auto reply =
        co_await links_.call(owner, std::move(call), kMaxSilence);
    if (reply)
      owners_[owner].heard_at = std::chrono::steady_clock::now();
  }
  owners_[owner].probing = false;
}

asio::awaitable<void> engine_queue_client::Ask(
    base::endpoint owner,
    wire::engine_place_question question,
    std::shared_ptr<asked> state) {
  const wire::engine_place_end end = EndOf(question);
  base::result<wire::engine_place_reply> reply =
      MakeReply(queue_verdict::kNotOwner, question.number);
  if (owner == core_.settings.peer_listen) {
    reply = co_await own_.HandleQuestion(std::move(question));
  } else {
    const auto timeout =
        std::clamp(milliseconds(question.left_ms), milliseconds(0), kMaxCall) +
        2 * kEngineReplyMargin;
    wire::envelope call;
    call.engine_place_wanted = std::move(question);
    call.__isset.engine_place_wanted = true;
    const auto received = co_await links_.call(owner, std::move(call), timeout);
    if (!received)
      reply = tl::make_unexpected(received.error());
    else if (received->__isset.engine_place)
      reply = received->engine_place;
  }
  if (reply)
    owners_[owner].heard_at = std::chrono::steady_clock::now();
  const bool granted = reply && reply->verdict == static_cast<std::int32_t>(
                                                      queue_verdict::kGranted);
  if (state->abandoned && granted)
    End(owner, end);
  state->reply = std::move(reply);
  state->timer.cancel();
}

void engine_queue_client::OnSilent(const base::endpoint& owner,
                                   const std::string& service,
                                   base::time_point now) {
  Count("valeledge_engine_queue_replies_total", "silent");
  known_owner& known = owners_[owner];
  if (now < known.silent_until)
    return;
  known.silent_until = now + kSilentPause;
  links_.suspect(owner);
  base::Log(kCategory, log_event::kEngineQueueSilent,
            {{"service", service}, {"owner", base::ToString(owner)}});
}

void engine_queue_client::End(const base::endpoint& owner,
                              wire::engine_place_end end) {
  if (owner == core_.settings.peer_listen)
    own_.HandleEnd(end);
  else
    asio::co_spawn(core_.context, SendEnd(owner, std::move(end)),
                   asio::detached);
}

asio::awaitable<void> engine_queue_client::SendEnd(base::endpoint owner,
                                                   wire::engine_place_end end) {
  wire::envelope call;
  call.engine_place_ended = std::move(end);
  call.__isset.engine_place_ended = true;
  co_await links_.call(std::move(owner), std::move(call), kEngineReplyMargin);
}

engine_place_result engine_queue_client::ToResult(
    const base::endpoint& owner,
    const wire::engine_place_end& end,
    const wire::engine_place_reply& reply) {
  engine_place_result result;
  switch (static_cast<queue_verdict>(reply.verdict)) {
    case queue_verdict::kGranted:
      result.verdict = engine_place_verdict::kGranted;
      result.place = std::make_shared<slot_handle>(
          reply.server, [this, owner, end](slot_outcome, microseconds took) {
            // The load reports show a request that was sent.
            if (took.count() == 0)
              End(owner, end);
          });
      Count("valeledge_engine_queue_replies_total", "granted");
      return result;
    case queue_verdict::kNotInTime:
      result.verdict = engine_place_verdict::kRefused;
      result.retry_after = RetryAfterOf(reply);
      Count("valeledge_engine_queue_replies_total", "refused");
      return result;
    case queue_verdict::kNotOwner:
      break;
  }
  Count("valeledge_engine_queue_replies_total", "not_owner");
  return result;
}

asio::awaitable<engine_place_result> engine_queue_client::Acquire(
    engine_place_request request) {
  auto now = std::chrono::steady_clock::now();
  const std::string service = request.service;
  const auto is_withdrawn = std::move(request.is_withdrawn);
  const auto owner = FindOwner(service, request.best, now);
  if (!owner) {
    Count("valeledge_engine_queue_replies_total", "no_owner");
    co_return engine_place_result();
  }
  const auto number = static_cast<std::int64_t>(core_.random() >> 1) | 1;
  auto question = QuestionOf(std::move(request), number);
  const wire::engine_place_end end = EndOf(question);
  const bool is_own = *owner == core_.settings.peer_listen;
  known_owner& known = owners_[*owner];
  if (known.pending++ == 0)
    known.heard_at = now;
  if (!is_own && !std::exchange(known.probing, true))
    asio::co_spawn(core_.context, Probe(*owner), asio::detached);
  const auto state = std::make_shared<asked>(core_.context);
  asio::co_spawn(core_.context, Ask(*owner, std::move(question), state),
                 asio::detached);
  engine_place_result result;
  while (true) {
    state->timer.expires_after(kSelectionRetryInterval);
    if (!state->reply)
      co_await state->timer.async_wait(kAwait);
    now = std::chrono::steady_clock::now();
    const bool failed = state->reply && !*state->reply;
    if (state->reply && !failed) {
      result = ToResult(*owner, end, **state->reply);
      break;
    }
    const bool silent =
        failed || (!is_own && now - known.heard_at >= kMaxSilence);
    const bool withdrawn = !silent && is_withdrawn && is_withdrawn();
    if (!silent && !withdrawn)
      continue;
    state->abandoned = true;
    if (silent)
      OnSilent(*owner, service, now);
    else
      Count("valeledge_engine_queue_replies_total", "withdrawn");
    if (withdrawn)
      result.verdict = engine_place_verdict::kWithdrawn;
    // An owner that was suspended would count the request when it goes on.
    if (!failed)
      End(*owner, end);
    break;
  }
  --known.pending;
  co_return result;
}

}  // namespace valeledge::host
