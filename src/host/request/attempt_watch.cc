// SPDX-License-Identifier: MIT
#include "host/request/attempt_watch.h"

#include <algorithm>
#include <utility>

#include "base/logging.h"
#include "decisions/engine_estimate.h"
#include "host/constants.h"
#include "host/process/path_monitor.h"
#include "host/request/server_search.h"

namespace valeledge::host {

namespace {

using decisions::attempt_reason;
using decisions::attempt_verdict;
using decisions::attempt_wait;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr std::string_view kCounter = "valeledge_attempt_waits_total";

// Load changes of other hosts are known within one interval of their reports.
constexpr milliseconds kLoadKnownAfter = kLoadReportInterval;

// A denied retry is requested again after the time in which a host of the
// largest fleets earns a noticeable part of one.
constexpr milliseconds kDeniedInterval{100};

// Expected time at the engines of another host if this host knows none: half of
// the objective, since admission sends nothing that would be late, and at most
// what engines need for their longest prompts.
constexpr int kUnknownExpectedDivisor = 2;
constexpr milliseconds kMaxUnknownExpected{500};

// The other host may need the time of two attempts, since it makes a second one
// itself if an engine refuses the first.
constexpr int kAttemptsOfPeer = 2;

// Attempts are kept until 99 in 100 responses of their engine have started: the
// goal is fewer than 1 in 200 abandoned attempts that would have started, and
// leaving an engine also requires a better one and a retry.
constexpr double kSpreadQuantile = 0.99;

milliseconds WholeMilliseconds(std::chrono::duration<double, std::milli> time) {
  constexpr std::chrono::duration<double, std::milli> kMax =
      std::chrono::hours(1);
  return duration_cast<milliseconds>(std::min(time, kMax));
}

// The engine, or the host that relays the request, for log lines.
std::string TargetOf(const watched_attempt& attempt) {
  return attempt.server != nullptr ? attempt.server->entry.instance
                                   : base::ToString(attempt.peer);
}

// Whether an engine can start the request immediately.
bool HasCapacity(const server_choice& choice, const routed_request& routed) {
  const known_server& server = *choice.server;
  const auto memory = static_cast<double>(routed.service->engines.token_memory);
  const std::int64_t held = server.own.held_tokens + server.others.held_tokens +
                            routed.weight.held_tokens;
  const bool has_memory =
      memory <= 0 ||
      static_cast<double>(held) <= memory * decisions::kMaxTokenMemoryUse;
  return has_memory && !server.IsLimited() &&
         server.own.running + server.others.running < server.entry.slots;
}

}  // namespace

milliseconds FixedHeaderTimeout(const routed_request& routed) {
  // The other half is left for a second attempt.
  if (routed.origin)
    return MaxResumeWait(routed) / 2;
  return std::min(duration_cast<milliseconds>(routed.route->objective *
                                              kHeaderTimeoutFraction),
                  kMaxHeaderTimeout);
}

bool HasAdaptiveTimeout(const host_core& core, const routed_request& routed) {
  const bool is_enabled =
      IsEnabled(core.settings.features.adaptive_timeouts, *routed.service);
  // A stream that is resumed may be queued at one of the few engines of its
  // version, and another attempt needs a retry.
  return !routed.metadata.model.empty() &&
         (is_enabled || routed.origin.has_value());
}

milliseconds FirstEventLimit(const host_core& core,
                             const catalog::service& service,
                             const watched_attempt& attempt,
                             base::time_point now) {
  if (!core.servers.SharesEstimates(service))
    return decisions::FixedSpreadLimit(attempt.expected);
  return WholeMilliseconds(decisions::FirstEventQuantile(
      attempt.server->estimate,
      attempt.unscaled + decisions::kFirstEventOverhead, kSpreadQuantile, now));
}

void IncludeLaterLoad(const host_core& core,
                      const routed_request& routed,
                      milliseconds elapsed,
                      base::time_point now,
                      watched_attempt& attempt) {
  const known_server& server = *attempt.server;
  const double factor = core.servers.SharesEstimates(*routed.service)
                            ? decisions::CurrentFactor(server.estimate, now)
                            : server.trust.slowdown;
  const std::int64_t unread =
      server.own.unread_tokens + server.others.unread_tokens;
  const auto reading =
      routed.weight.time_per_token * static_cast<double>(unread);
  // An engine with other prompts has been reading them meanwhile. One that has
  // only this one may hang.
  const bool has_others = unread > routed.weight.prompt_tokens;
  const milliseconds read_for = has_others ? elapsed : milliseconds(0);
  attempt.expected = std::max(attempt.expected,
                              WholeMilliseconds(reading * factor) + read_for);
  // The time that has passed already contains the factor.
  attempt.unscaled = std::max(attempt.unscaled, reading + read_for / factor);
}

watched_attempt AttemptThroughHost(host_core& core,
                                   const routed_request& routed,
                                   const base::endpoint& peer) {
  watched_attempt attempt;
  attempt.peer = peer;
  const auto best = FindOtherServer(core, routed, {});
  attempt.expected =
      best ? WholeMilliseconds(best->expected)
           : std::min(routed.route->objective / kUnknownExpectedDivisor,
                      kMaxUnknownExpected);
  return attempt;
}

attempt_watch::attempt_watch(host_core& core,
                             const routed_request& routed,
                             retry_permit& permit,
                             watched_attempt attempt,
                             std::function<bool()> may_send_again)
    : core_(core),
      routed_(routed),
      permit_(permit),
      attempt_(std::move(attempt)),
      may_send_again_(std::move(may_send_again)),
      timer_(core.context) {}

void attempt_watch::Start(std::function<void()> abandon) {
  sent_at_ = std::chrono::steady_clock::now();
  abandon_ = std::move(abandon);
  ScheduleNext(kLoadKnownAfter);
}

void attempt_watch::OnStarted() {
  abandon_ = nullptr;
  timer_.cancel();
  if (std::exchange(was_kept_, false))
    Count("late_start");
}

void attempt_watch::ScheduleNext(milliseconds delay) {
  timer_.expires_after(delay);
  // The attempt may end between the expiry of the timer and this call.
  timer_.async_wait(
      [weak = weak_from_this()](boost::system::error_code failed) {
        const auto watch = weak.lock();
        if (watch != nullptr && !failed)
          watch->Ask();
      });
}

void attempt_watch::Ask() {
  if (!abandon_)
    return;
  const attempt_wait wait = MakeWait(std::chrono::steady_clock::now());
  const auto decided = decisions::DecideAttempt(wait);
  switch (decided.verdict) {
    case attempt_verdict::kKeep:
      if (decided.reason != attempt_reason::kWithinSpread)
        RecordKept(wait, NameOf(decided.reason));
      ScheduleNext(decided.recheck_in);
      return;
    case attempt_verdict::kAskForRetry:
      if (permit_.AcquireAhead(routed_.service->name,
                               std::chrono::steady_clock::now())) {
        Abandon(wait, decided.reason);
        return;
      }
      RecordKept(wait, "retry_budget");
      ScheduleNext(kDeniedInterval);
      return;
    case attempt_verdict::kGiveUp:
      // The time-out of the connection ends the attempt.
      return;
  }
}

void attempt_watch::Abandon(const attempt_wait& wait, attempt_reason reason) {
  Count(NameOf(reason));
  core_.log.Write(base::log_weight::kTrouble,
                  base::log_event::kAttemptAbandoned, routed_.metadata.id,
                  {{"request", routed_.metadata.id},
                   {"server", TargetOf(attempt_)},
                   {"reason", std::string(NameOf(reason))},
                   {"waited_ms", wait.waited.count()},
                   {"expected_ms", wait.expected.count()},
                   {"limit_ms", wait.spread_limit.count()},
                   {"other", other_},
                   {"other_expected_ms",
                    wait.other_expected.value_or(milliseconds(0)).count()},
                   {"left_ms", wait.deadline_left.count()}});
  has_abandoned_ = true;
  std::exchange(abandon_, nullptr)();
}

void attempt_watch::RecordKept(const attempt_wait& wait,
                               std::string_view reason) {
  if (std::exchange(was_kept_, true))
    return;
  Count("kept_" + std::string(reason));
  core_.log.Write(base::log_weight::kTrouble, base::log_event::kAttemptKept,
                  routed_.metadata.id,
                  {{"request", routed_.metadata.id},
                   {"server", TargetOf(attempt_)},
                   {"reason", std::string(reason)},
                   {"waited_ms", wait.waited.count()},
                   {"expected_ms", wait.expected.count()},
                   {"limit_ms", wait.spread_limit.count()},
                   {"left_ms", wait.deadline_left.count()}});
}

attempt_wait attempt_watch::MakeWait(base::time_point now) {
  UpdateExpected(now);
  attempt_wait wait;
  wait.waited = duration_cast<milliseconds>(now - sent_at_);
  wait.expected = attempt_.expected;
  wait.objective_left = duration_cast<milliseconds>(
      routed_.arrived + routed_.route->objective - now);
  wait.deadline_left = RemainingTime(routed_);
  if (attempt_.server != nullptr) {
    wait.spread_limit = FirstEventLimit(core_, *routed_.service, attempt_, now);
  } else {
    wait.spread_limit =
        kAttemptsOfPeer * decisions::FixedSpreadLimit(attempt_.expected);
  }
  // A whole response ends with its last token, which `expected` leaves out.
  const bool is_whole = routed_.route->kind != catalog::route_kind::kStream;
  if (is_whole || attempt_.server == nullptr)
    wait.spread_limit =
        std::max(wait.spread_limit, FixedHeaderTimeout(routed_));
  FindOther(wait);
  return wait;
}

void attempt_watch::FindOther(attempt_wait& wait) {
  if (!may_send_again_())
    return;
  if (attempt_.server == nullptr) {
    FindOtherPeer(wait);
    return;
  }
  // While the path to the servers may be lost, path_monitor ends attempts.
  const bool is_path_suspected =
      core_.paths != nullptr &&
      (core_.paths->IsLost(routed_.service->name) ||
       core_.paths->IsSuspected(routed_.service->name));
  if (is_path_suspected)
    return;
  const auto other =
      FindOtherServer(core_, routed_, attempt_.server->entry.instance);
  if (!other)
    return;
  wait.other_expected = WholeMilliseconds(other->expected);
  wait.other_has_capacity = HasCapacity(*other, routed_);
  wait.other_is_limited = other->server->IsLimited();
  other_ = other->server->entry.instance;
}

void attempt_watch::FindOtherPeer(attempt_wait& wait) {
  const auto peer = core_.paths->ChooseRelay(routed_.service->name, false);
  const bool is_other = peer && peer->relay_address != attempt_.peer;
  if (!is_other && core_.paths->IsLost(routed_.service->name))
    return;
  wait.other_expected = attempt_.expected;
  wait.other_has_capacity = true;
  other_ = is_other ? base::ToString(peer->relay_address) : std::string();
}

void attempt_watch::UpdateExpected(base::time_point now) {
  if (std::exchange(has_updated_expected_, true) || attempt_.server == nullptr)
    return;
  IncludeLaterLoad(core_, routed_, duration_cast<milliseconds>(now - sent_at_),
                   now, attempt_);
}

void attempt_watch::Count(std::string_view what) {
  core_.metrics.Counter(kCounter, what).Add();
}

}  // namespace valeledge::host
