// SPDX-License-Identifier: MIT
#include "host/process/server_limits.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "base/boot_clock.h"
#include "host/process/limit_updates.h"

namespace valeledge::host {

namespace {

namespace asio = boost::asio;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// A responsive lease holder replies within a few milliseconds.
constexpr milliseconds kHolderTimeout{150};

// Permits received later than this are discarded, which bounds the number of
// valid permits when the lease holder changes.
constexpr milliseconds kMaxPermitAge{300};

// Delay until a limited server is tried again without a lease holder.
constexpr milliseconds kNoHolderRetryAfter{250};

// The lease holder repeats its update at this interval for hosts that missed
// it.
constexpr milliseconds kPublishInterval{1000};

// A withdrawn limit is published for this time.
constexpr milliseconds kWithdrawnPublishPeriod{3000};

// Limits the size of an update to one datagram.
constexpr std::size_t kMaxServersPerUpdate = 50;

// A limit counts as binding for this time after it has refused a request.
constexpr milliseconds kBindingPeriod{5000};

enum class permit_verdict : std::int32_t {
  kGranted = 0,
  kRefused = 1,
  kNotHolder = 2,
};

wire::permit_reply Reply(permit_verdict verdict) {
  wire::permit_reply reply;
  reply.verdict = static_cast<std::int32_t>(verdict);
  return reply;
}

wire::server_limit ReportOf(const known_server& server, base::time_point now) {
  wire::server_limit out;
  out.server = server.entry.instance;
  base::time_point since = server.advertised.withdrawn.value_or(now);
  if (const auto& limit = server.advertised.limit) {
    out.__set_rate(limit->rate);
    since = limit->received;
  }
  out.age_ms = duration_cast<milliseconds>(now - since).count();
  return out;
}

decisions::limit_report FromWire(const wire::server_limit& limit,
                                 base::time_point now) {
  decisions::limit_report report;
  if (limit.__isset.rate)
    report.rate = limit.rate;
  report.received = now - milliseconds(limit.age_ms);
  return report;
}

bool ShouldPublish(const known_server& server, base::time_point now) {
  const auto& withdrawn = server.advertised.withdrawn;
  return server.IsLimited() ||
         (withdrawn && now - *withdrawn < kWithdrawnPublishPeriod);
}

}  // namespace

server_limits::server_limits(host_core& core, server_limit_callbacks callbacks)
    : core_(core), callbacks_(std::move(callbacks)) {
  core_.acquire_permit = [this](std::shared_ptr<known_server> server,
                                std::int64_t priority) {
    return Acquire(std::move(server), priority);
  };
  core_.limit_changed = [this](const known_server& server) {
    OnLimitChanged(server);
  };
}

void server_limits::CountPermit(std::string_view how) {
  core_.metrics.Counter("valeledge_server_permits_total", how).Add();
}

asio::awaitable<std::optional<wire::permit_reply>> server_limits::RequestPermit(
    wire::permit_request request) {
  if (callbacks_.term() != 0)
    co_return Grant(request);
  const auto holder = callbacks_.holder();
  if (!holder || std::chrono::steady_clock::now() < holder_unresponsive_until_)
    co_return std::nullopt;
  wire::envelope call;
  call.__set_permit_wanted(request);
  const auto reply =
      co_await callbacks_.call(*holder, std::move(call), kHolderTimeout);
  if (reply && reply->__isset.permit)
    co_return reply->permit;
  holder_unresponsive_until_ =
      std::chrono::steady_clock::now() + kNoHolderRetryAfter;
  co_return std::nullopt;
}

asio::awaitable<bool> server_limits::Acquire(
    std::shared_ptr<known_server> server,
    std::int64_t priority) {
  wire::permit_request request;
  request.limit = ReportOf(*server, std::chrono::steady_clock::now());
  request.priority = priority;
  const auto requested_at = base::boot_clock::now();
  server->permit_pending = true;
  const auto reply = co_await RequestPermit(std::move(request));
  server->permit_pending = false;
  const auto now = std::chrono::steady_clock::now();
  const auto verdict = reply ? static_cast<permit_verdict>(reply->verdict)
                             : permit_verdict::kNotHolder;
  if (verdict == permit_verdict::kNotHolder) {
    CountPermit("no_holder");
    server->permit_retry_at = now + kNoHolderRetryAfter;
    co_return false;
  }
  MergeReportedLimit(core_, *server, FromWire(reply->limit, now));
  if (verdict == permit_verdict::kRefused) {
    CountPermit("refused");
    server->permit_retry_at = now + microseconds(reply->retry_after_us);
    co_return false;
  }
  const bool is_late = base::boot_clock::now() - requested_at > kMaxPermitAge;
  CountPermit(is_late ? "late" : "granted");
  co_return !is_late;
}

decisions::server_limiter& server_limits::LimiterOf(const known_server& server,
                                                    base::time_point now) {
  const double rate = server.advertised.limit->rate;
  const auto [found, is_new] = limiters_.try_emplace(
      server.entry.instance, decisions::MakeServerLimiter(rate, now));
  if (!is_new)
    decisions::SetRate(found->second, rate, now);
  return found->second;
}

wire::permit_reply server_limits::Grant(const wire::permit_request& request) {
  const std::int64_t term = callbacks_.term();
  if (term == 0)
    return Reply(permit_verdict::kNotHolder);
  // Another host may have granted permits between two terms.
  if (std::exchange(term_, term) != term)
    limiters_.clear();
  const auto now = std::chrono::steady_clock::now();
  const auto server = core_.servers.Find(request.limit.server);
  wire::permit_reply reply = Reply(permit_verdict::kRefused);
  reply.limit = request.limit;
  if (server == nullptr) {
    reply.retry_after_us = microseconds(kNoHolderRetryAfter).count();
    return reply;
  }
  HandleLimitChange(request.limit);
  reply.limit = ReportOf(*server, now);
  if (!server->IsLimited()) {
    reply.verdict = static_cast<std::int32_t>(permit_verdict::kGranted);
    return reply;
  }
  const auto verdict = decisions::TryAcquirePermit(LimiterOf(*server, now),
                                                   request.priority, now);
  if (verdict.granted) {
    reply.verdict = static_cast<std::int32_t>(permit_verdict::kGranted);
    return reply;
  }
  server->limit_binds_until = now + kBindingPeriod;
  reply.retry_after_us = microseconds(verdict.retry_after).count();
  return reply;
}

void server_limits::HandleLimitChange(const wire::server_limit& changed) {
  const auto server = core_.servers.Find(changed.server);
  if (server == nullptr)
    return;
  const auto before = server->advertised.limit;
  MergeReportedLimit(core_, *server,
                     FromWire(changed, std::chrono::steady_clock::now()));
  const auto& after = server->advertised.limit;
  changed_ = changed_ || before.has_value() != after.has_value() ||
             (after && before->rate != after->rate);
}

void server_limits::HandleUpdate(wire::limit_news update) {
  const auto now = std::chrono::steady_clock::now();
  for (const wire::server_limit& each : update.limits) {
    const auto server = core_.servers.Find(each.server);
    if (server != nullptr)
      MergeReportedLimit(core_, *server, FromWire(each, now));
  }
  if (!update.__isset.hand_on)
    return;
  update.__isset.hand_on = false;
  callbacks_.broadcast_in_zone(update);
}

void server_limits::OnLimitChanged(const known_server& server) {
  changed_ = true;
  if (callbacks_.term() != 0)
    return;
  asio::co_spawn(core_.context,
                 SendChange(ReportOf(server, std::chrono::steady_clock::now())),
                 asio::detached);
}

asio::awaitable<void> server_limits::SendChange(wire::server_limit changed) {
  const auto holder = callbacks_.holder();
  if (!holder)
    co_return;
  wire::envelope call;
  call.__set_limit_changed(changed);
  // A lost report is compensated for by the next permit request, which carries
  // the limit.
  co_await callbacks_.call(*holder, std::move(call), kHolderTimeout);
}

void server_limits::Tick(base::time_point now) {
  const std::int64_t term = callbacks_.term();
  if (std::exchange(term_, term) != term)
    limiters_.clear();
  if (term == 0)
    return;
  std::erase_if(limiters_, [this](const auto& each) {
    const auto server = core_.servers.Find(each.first);
    return server == nullptr || !server->IsLimited();
  });
  if (changed_ || now - published_ >= kPublishInterval)
    Publish(now);
}

void server_limits::Publish(base::time_point now) {
  published_ = now;
  changed_ = false;
  wire::limit_news update;
  const auto send = [&] {
    if (!update.limits.empty())
      callbacks_.broadcast(std::exchange(update, {}));
  };
  for (const auto& [instance, server] : core_.servers.servers()) {
    if (!ShouldPublish(*server, now))
      continue;
    update.limits.push_back(ReportOf(*server, now));
    if (update.limits.size() >= kMaxServersPerUpdate)
      send();
  }
  send();
}

}  // namespace valeledge::host
