// SPDX-License-Identifier: MIT
#include "host/request/server_search.h"

#include <algorithm>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "decisions/engine_admission.h"
#include "decisions/replica_wait.h"
#include "host/constants.h"
#include "host/load_features.h"
#include "host/request/crash_monitor.h"
#include "host/request/load_wait.h"
#include "host/process/path_monitor.h"
#include "host/request/queued_selection.h"
#include "host/request/server_queries.h"
#include "host/request/slot_acquisition.h"
#include "host/request/stream_continuation.h"

namespace valeledge::host {

namespace {

namespace asio = boost::asio;
using base::result_code;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// Returns the time until which the request waits for a server before it is
// refused. The objective of a stream that has begun has been met or missed.
base::time_point RefusalCutoff(const routed_request& routed) {
  return routed.origin ? ResumeCutoff(routed)
                       : routed.arrived +
                             decisions::MaxWait(TimeOf(routed, routed.arrived));
}

// Whether the request waits for an engine with room rather than be rejected. A
// rejection may end a stream that is resumed: few engines have its version, and
// another attempt needs a retry from the budget.
bool WaitsForRoom(const routed_request& routed, base::time_point now) {
  return routed.origin && !routed.metadata.model.empty() &&
         now < ResumeCutoff(routed);
}

// Selects a server. While the request waits for room, a full engine is selected
// only to ask the owner of its queue.
std::optional<server_choice> SelectServer(host_core& core,
                                          const routed_request& routed,
                                          const server_query& query,
                                          bool may_queue,
                                          base::time_point now) {
  const catalog::service& service = *routed.service;
  if (!WaitsForRoom(routed, now))
    return core.servers.Choose(query, service, now, core.random);
  server_query with_room = query;
  with_room.avoids_full = true;
  auto choice = core.servers.Choose(with_room, service, now, core.random);
  if (choice || !may_queue || !core.acquire_engine)
    return choice;
  choice = core.servers.Choose(query, service, now, core.random);
  // Servers with a limit have no queue.
  if (choice && choice->server->IsLimited())
    choice.reset();
  return choice;
}

// Requests the adapter from the lease holder, and waits until it is loaded.
asio::awaitable<base::result<void>> RequestAdapter(
    host_core& core,
    const routed_request& routed) {
  const auto until = RefusalCutoff(routed);
  const auto timeout =
      duration_cast<milliseconds>(until - std::chrono::steady_clock::now());
  if (timeout.count() <= 0) {
    co_return base::NotRun(result_code::kNoBackendServer,
                           "no backend server has loaded the adapter yet");
  }
  const request_metadata& metadata = routed.metadata;
  std::optional<std::string> software;
  if (routed.origin)
    software = routed.origin->software;
  const auto holder =
      co_await core.request_adapter(routed.service->name, metadata.model,
                                    metadata.adapter, software, timeout);
  if (!holder)
    co_return tl::make_unexpected(holder.error());
  const auto server = core.servers.Find(*holder);
  if (server != nullptr) {
    const residency_override fact{true, std::chrono::steady_clock::now()};
    server->residency_overrides[KeyOf(
        AdapterUnit(metadata.model, metadata.adapter))] = fact;
  }
  co_return base::result<void>();
}

// Range of the factor by which a retry-after delay is multiplied, so that
// callers refused at the same time do not retry at the same time.
struct jitter_range {
  double min = 0.5;
  double max = 1.5;
};

// Before the end of a pause a caller would only be refused again.
constexpr jitter_range kAfterPause{1.0, 1.5};

// The owner of a queue assigns callers different times.
constexpr jitter_range kAfterQueue{1.0, 1.0};

// Returns the retry-after delay for a refused caller.
milliseconds RetryAfter(host_core& core,
                        const routed_request& routed,
                        milliseconds base_delay,
                        jitter_range jitter) {
  std::uniform_real_distribution<double> any(jitter.min, jitter.max);
  const auto jittered_delay =
      duration_cast<milliseconds>(base_delay * any(core.random));
  const milliseconds max_delay =
      decisions::MaxHonouredDelay(RemainingTime(routed));
  return std::max(std::min(jittered_delay, max_delay), milliseconds(0));
}

// Returns when the first server of the request may be used again if the request
// cannot wait that long, or nothing otherwise.
std::optional<server_release> LateRelease(host_core& core,
                                          const routed_request& routed,
                                          const server_query& query,
                                          base::time_point now) {
  const bool all_tried =
      !routed.failed_instances.empty() && !core.servers.AnyEligible(query, now);
  // This request does not return to servers that it has tried.
  if (all_tried)
    return core.servers.EarliestRelease(UntriedQueryOf(routed), now);
  const auto release = core.servers.EarliestRelease(query, now);
  if (!release || release->at < RefusalCutoff(routed))
    return std::nullopt;
  return release;
}

base::error PausedError(const server_release& release) {
  if (release.by_permit) {
    return base::MakeError(
        result_code::kServerLimit, base::outcome::kNotRun,
        "the backend servers for this request are at their limits");
  }
  return base::MakeError(result_code::kServerBackoff, base::outcome::kNotRun,
                         "the backend servers for this request have asked to "
                         "receive no requests for a while");
}

// Whether a replica that is being loaded will be available in time.
bool ReplicaArrivesInTime(host_core& core,
                          const routed_request& routed,
                          const server_query& query,
                          base::time_point now) {
  if (query.model.empty())
    return false;
  const auto model = AbsentModelOf(core, routed, query, now);
  return model.ready_in && decisions::ShouldWaitForReplica(model);
}

// How the request can reach servers. A relayed request is not relayed again.
path_state PathOf(host_core& core, const routed_request& routed) {
  if (core.paths == nullptr)
    return path_state::kDirect;
  const std::string& service = routed.service->name;
  if (routed.is_relayed) {
    return core.paths->IsLost(service) ? path_state::kUnreachable
                                       : path_state::kDirect;
  }
  return core.paths->StateOf(service, !routed.failed_instances.empty());
}

base::error PathLostError(host_core& core, const routed_request& routed) {
  auto unreachable =
      base::MakeError(result_code::kPathLost, base::outcome::kNotRun,
                      "this host reaches no backend server of the service");
  unreachable.retry_after =
      RetryAfter(core, routed, kPathRetryAfter, jitter_range());
  return unreachable;
}

// Whether any server of the software version that began the stream holds its
// model or is loading it. Models are not loaded for streams that are resumed.
bool CanContinue(const host_core& core,
                 const server_query& query,
                 base::time_point now) {
  return core.servers.AnyHolds(WithoutAdapter(query), now) ||
         (!query.model.empty() && core.servers.EarliestLoadDue(query, now));
}

}  // namespace

std::optional<server_choice> FindOtherServer(host_core& core,
                                             const routed_request& routed,
                                             const std::string& instance) {
  std::vector<std::string> avoid = routed.failed_instances;
  avoid.push_back(instance);
  server_query query = QueryOf(routed);
  query.avoid = &avoid;
  return core.servers.FindBest(query, *routed.service,
                               std::chrono::steady_clock::now(), core.random);
}

milliseconds RetryAfterRefusals(host_core& core, const routed_request& routed) {
  const auto now = std::chrono::steady_clock::now();
  // The caller's next attempt may use the servers that refused this one.
  const auto release =
      core.servers.EarliestRelease(UntriedQueryOf(routed), now);
  if (!release)
    return kShortRetryAfter;
  const auto pause = duration_cast<milliseconds>(release->at - now);
  return RetryAfter(core, routed, std::max(pause, kShortRetryAfter),
                    kAfterPause);
}

asio::awaitable<base::result<server_choice>> FindServer(
    host_core& core,
    const routed_request& routed,
    bool first_attempt,
    const net::http_responder& responder,
    request_trace& trace) {
  asio::steady_timer pause(core.context);
  std::optional<milliseconds> retry_after;
  jitter_range jitter;
  load_wait wait(core, routed, QueryOf(routed));
  bool is_absent = false;
  bool may_queue = true;
  bool has_placed_adapter = false;
  const auto is_withdrawn = [&] {
    return responder.caller_gone() ||
           (first_attempt && CheckStopDeadline(core, routed)) ||
           CheckPromptQuarantine(core, routed) ||
           PathOf(core, routed) != path_state::kDirect;
  };
  base::error reason =
      base::MakeError(result_code::kNoBackendServer, base::outcome::kNotRun,
                      "no backend server currently accepts this request");
  while (!responder.caller_gone()) {
    trace.wait = request_wait::kServer;
    const auto now = std::chrono::steady_clock::now();
    // A request may wait up to 8 s for a replica. If the host stops earlier,
    // its connection would be closed without a response.
    const auto leaving = CheckStopDeadline(core, routed);
    if (leaving && first_attempt)
      co_return tl::make_unexpected(*leaving);
    if (now >= routed.deadline)
      co_return tl::make_unexpected(NotSentInTimeError());
    if (auto quarantined = CheckPromptQuarantine(core, routed))
      co_return tl::make_unexpected(std::move(*quarantined));
    const path_state path = PathOf(core, routed);
    if (path == path_state::kUndecided) {
      trace.wait = request_wait::kPath;
      pause.expires_after(kPathRecheckInterval);
      co_await pause.async_wait(kAwait);
      continue;
    }
    if (path != path_state::kDirect)
      co_return tl::make_unexpected(PathLostError(core, routed));
    const server_query query = QueryOf(routed);
    if (routed.origin && !CanContinue(core, query, now)) {
      co_return tl::make_unexpected(NotResumableError(
          "no backend server of the software version that began the stream "
          "can continue it"));
    }
    auto choice = SelectServer(core, routed, query, may_queue, now);
    if (choice && !query.model.empty()) {
      const auto turn = TurnOf(routed, *choice, first_attempt, now);
      const auto decided = decisions::DecideAdmission(turn);
      if (may_queue && AsksForEngine(core, routed, *choice, decided)) {
        queue_question question;
        // The list holds for the whole wait, so an engine that is suspended
        // for a moment is not in it: later requests would go there first.
        question.excluded =
            ExcludedInstances(core, routed, now, decisions::AllowsRequestsSoon);
        question.is_withdrawn = is_withdrawn;
        trace.wait = request_wait::kEngineQueue;
        auto queued = co_await SelectInQueue(core, routed, query, *choice, turn,
                                             std::move(question));
        if (queued.outcome == queued_outcome::kGranted)
          co_return std::move(*queued.choice);
        if (queued.outcome == queued_outcome::kRefused) {
          reason =
              base::MakeError(result_code::kOverloaded, base::outcome::kNotRun,
                              "no backend server can respond in time");
          retry_after = queued.retry_after;
          jitter = kAfterQueue;
          break;
        }
        may_queue = queued.outcome == queued_outcome::kSearchAgain;
        continue;
      }
      if (decided == decisions::admission_decision::kRefuse) {
        reason =
            base::MakeError(result_code::kOverloaded, base::outcome::kNotRun,
                            "all backend servers for this request are busy");
        break;
      }
      if (decided == decisions::admission_decision::kWait) {
        wait.Begin();
        pause.expires_after(kSelectionRetryInterval);
        co_await pause.async_wait(kAwait);
        continue;
      }
    }
    if (choice) {
      trace.wait = request_wait::kSlot;
      auto secured =
          co_await AcquirePermitOrSlot(core, routed, std::move(*choice));
      if (!secured)
        co_return tl::make_unexpected(secured.error());
      if (*secured)
        co_return std::move(**secured);
      continue;
    }
    const auto release = LateRelease(core, routed, query, now);
    if (release && ReplicaArrivesInTime(core, routed, query, now)) {
      pause.expires_after(kSelectionRetryInterval);
      co_await pause.async_wait(kAwait);
      continue;
    }
    if (release) {
      reason = PausedError(*release);
      retry_after = duration_cast<milliseconds>(release->at - now);
      if (!release->by_permit)
        jitter = kAfterPause;
      break;
    }
    milliseconds recheck = kSelectionRetryInterval;
    const bool refusable = now >= RefusalCutoff(routed);
    const bool absent = !choice && !query.model.empty() &&
                        !core.servers.AnyHolds(WithoutAdapter(query), now);
    if (absent) {
      auto model = AbsentModelOf(core, routed, query, now);
      wait.AddPlan(query, now, model);
      if (!decisions::ShouldWaitForReplica(model)) {
        reason.message = "no replica of the model will be available in time";
        retry_after = decisions::TimeToReplica(model);
        is_absent = true;
        // Before the load has ended a caller would only be refused again.
        if (wait.IsPatient())
          jitter = kAfterPause;
        break;
      }
      wait.Begin();
      recheck = wait.RecheckInterval(model);
    } else if (!choice && refusable) {
      break;
    } else if (!choice && !core.servers.AnyHolds(query, now)) {
      if (routed.metadata.adapter.empty())
        break;
      trace.wait = request_wait::kAdapter;
      const auto placed = co_await RequestAdapter(core, routed);
      // The lease holder may reply at once, each time with an engine that this
      // host cannot use.
      if (placed && !std::exchange(has_placed_adapter, true))
        continue;
      if (!placed)
        reason.message = placed.error().message;
    }
    pause.expires_after(recheck);
    co_await pause.async_wait(kAwait);
  }
  reason.retry_after = RetryAfter(
      core, routed, retry_after.value_or(kDefaultRetryAfter), jitter);
  const auto now = std::chrono::steady_clock::now();
  if (is_absent && first_attempt &&
      decisions::CanRetryInTime(TimeOf(routed, now)))
    wait.ExpectReturn(*reason.retry_after);
  co_return tl::make_unexpected(reason);
}

}  // namespace valeledge::host
