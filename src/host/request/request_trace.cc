// SPDX-License-Identifier: MIT
#include "host/request/request_trace.h"

#include <algorithm>
#include <chrono>

#include "base/logging.h"
#include "host/constants.h"

namespace valeledge::host {

namespace {

using base::log_event;
using base::log_weight;

std::string UnitOf(const routed_request& routed) {
  return AdapterUnit(routed.metadata.model, routed.metadata.adapter);
}

std::int64_t MillisecondsUntil(base::time_point when) {
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(
      when - std::chrono::steady_clock::now());
  return std::max<std::int64_t>(left.count(), 0);
}

// A request that ends later than this after its deadline is counted as late.
constexpr std::chrono::milliseconds kLateTolerance{100};

void RecordIfLate(host_core& core,
                  const routed_request& routed,
                  const request_trace& trace) {
  if (routed.route != nullptr && -RemainingTime(routed) >= kLateTolerance)
    RecordLate(core, routed, trace);
}

// Counts requests by route, so that the share of those that are refused as
// quarantined is known for each.
void CountRequestOfRoute(host_core& core, const routed_request& routed) {
  if (routed.route != nullptr) {
    core.metrics.Counter("valeledge_route_requests_total", routed.route->name)
        .Add();
  }
}

}  // namespace

std::string_view NameOf(request_wait wait) {
  switch (wait) {
    case request_wait::kStreamOrigin:
      return "stream_origin";
    case request_wait::kTrial:
      return "trial";
    case request_wait::kWorkspaceTokens:
      return "workspace_tokens";
    case request_wait::kPath:
      return "path";
    case request_wait::kServer:
      return "server";
    case request_wait::kEngineQueue:
      return "engine_queue";
    case request_wait::kSlot:
      return "slot";
    case request_wait::kAdapter:
      return "adapter";
    case request_wait::kResponseHeader:
      return "response_header";
    case request_wait::kResponseBody:
      return "response_body";
  }
  return "unknown";
}

void RecordLate(host_core& core,
                const routed_request& routed,
                const request_trace& trace) {
  core.metrics.Counter("valeledge_late_requests_total", routed.route->name)
      .Add();
  core.metrics.Counter("valeledge_late_waits_total", NameOf(trace.wait)).Add();
  core.log.Write(log_weight::kTrouble, log_event::kRequestLate,
                 routed.metadata.id,
                 {{"request", routed.metadata.id},
                  {"route", routed.route->name},
                  {"waits_for", std::string(NameOf(trace.wait))},
                  {"late_ms", -RemainingTime(routed).count()},
                  {"after_ms", MillisecondsSince(routed.arrived)}});
}

bool HasAttemptsLeft(const request_trace& trace) {
  return trace.attempts - trace.unreachable < kAttemptLimit &&
         trace.relays < kMaxRelays;
}

void RecordEventGap(const routed_request& routed, request_trace& trace) {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  const auto now = std::chrono::steady_clock::now();
  if (trace.response_started) {
    const auto gap = duration_cast<milliseconds>(now - trace.last_event_at);
    trace.max_event_gap = std::max(trace.max_event_gap, gap);
  } else {
    trace.first_event_delay = duration_cast<milliseconds>(now - routed.arrived);
  }
  trace.last_event_at = now;
}

void LogAttemptSent(host_core& core,
                    const routed_request& routed,
                    const request_trace& trace,
                    const server_choice& choice,
                    const attempt_metadata& attempt_fields) {
  const known_server& server = *choice.server;
  if (!attempt_fields.resume_after.empty()) {
    core.metrics
        .Counter("valeledge_resumed_streams_total",
                 trace.response_started ? "host" : "caller")
        .Add();
  }
  core.log.Write(
      log_weight::kOrdinary, log_event::kAttemptSent, routed.metadata.id,
      {{"request", routed.metadata.id},
       {"route", routed.route->name},
       {"workspace", attempt_fields.workspace},
       {"unit", UnitOf(routed)},
       {"version", routed.configuration->version},
       {"server", server.entry.instance},
       {"software", server.entry.software},
       {"attempt", trace.attempts},
       {"resumes_after", attempt_fields.resume_after},
       {"resumes", routed.metadata.resumed_attempt},
       {"begun_at", routed.origin ? routed.origin->software : std::string()},
       {"expected_ms", static_cast<std::int64_t>(choice.expected.count())},
       {"reading_ahead_ms",
        static_cast<std::int64_t>(choice.prefill_ahead.count())},
       {"running", server.own.running + server.others.running},
       {"dealt", std::int64_t{choice.slot != nullptr}},
       {"limited", std::int64_t{server.IsLimited()}},
       {"says_leaving", std::int64_t{server.SaysLeaving()}},
       {"backoff_ms", MillisecondsUntil(server.notices.backoff_until)},
       {"after_ms", MillisecondsSince(routed.arrived)},
       {"left_ms",
        static_cast<std::int64_t>(attempt_fields.deadline.count())}});
}

void LogAttemptRelayed(host_core& core,
                       const routed_request& routed,
                       const request_trace& trace,
                       const base::endpoint& peer) {
  core.metrics.Counter("valeledge_relayed_requests_total", "sent").Add();
  core.log.Write(log_weight::kOrdinary, log_event::kAttemptRelayed,
                 routed.metadata.id,
                 {{"request", routed.metadata.id},
                  {"route", routed.route->name},
                  {"unit", UnitOf(routed)},
                  {"version", routed.configuration->version},
                  {"peer", base::ToString(peer)},
                  {"relay", trace.relays},
                  {"resumes_after", trace.last_event_id},
                  {"resumes", routed.metadata.resumed_attempt},
                  {"after_ms", MillisecondsSince(routed.arrived)}});
}

void LogAttemptFailed(host_core& core,
                      const routed_request& routed,
                      const request_trace& trace,
                      const std::string& target,
                      const base::error& failed) {
  const bool not_run = failed.what_ran == base::outcome::kNotRun;
  core.log.Write(log_weight::kTrouble, log_event::kAttemptFailed,
                 routed.metadata.id,
                 {{"request", routed.metadata.id},
                  {"server", target},
                  {"attempt", trace.attempts},
                  {"not_run", std::int64_t{not_run}},
                  {"reason", failed.message}});
}

void LogServerFailure(host_core& core,
                      const routed_request& routed,
                      const request_trace& trace,
                      const std::string& target) {
  const std::string status = std::to_string(trace.server_status);
  core.metrics.Counter("valeledge_server_failures_total", status).Add();
  LogAttemptFailed(
      core, routed, trace, target,
      base::MakeError(base::result_code::kOutcomeUnknown,
                      base::outcome::kUnknown,
                      "the backend server responded with status " + status));
}

void LogAttemptNotRun(host_core& core,
                      const routed_request& routed,
                      const request_trace& trace,
                      const std::string& target,
                      not_run_evidence evidence,
                      const response_metadata& response) {
  core.metrics.Counter("valeledge_attempts_not_run_total", NameOf(evidence))
      .Add();
  core.log.Write(log_weight::kTrouble, log_event::kAttemptNotRun,
                 routed.metadata.id,
                 {{"request", routed.metadata.id},
                  {"server", target},
                  {"attempt", trace.attempts},
                  {"relay", trace.relays},
                  {"evidence", std::string(NameOf(evidence))},
                  {"status", std::int64_t{trace.server_status}},
                  {"instance", response.instance},
                  {"signed", std::int64_t{response.is_signed}},
                  {"connection", trace.connection},
                  {"after_ms", MillisecondsSince(routed.arrived)}});
}

void LogCompleted(host_core& core,
                  const routed_request& routed,
                  const request_trace& trace,
                  const std::string& target,
                  bool caller_left) {
  core.metrics.Distribution("valeledge_request_seconds")
      .Record(std::chrono::steady_clock::now() - routed.arrived);
  core.metrics
      .Counter("valeledge_requests_total",
               caller_left ? "caller_left" : "answered")
      .Add();
  CountRequestOfRoute(core, routed);
  if (!caller_left)
    RecordIfLate(core, routed, trace);
  core.log.Write(
      log_weight::kOrdinary,
      caller_left ? log_event::kCallerLeft : log_event::kRequestServed,
      routed.metadata.id,
      {{"request", routed.metadata.id},
       {"server", target},
       {"status", std::int64_t{trace.server_status}},
       {"sends", trace.attempts},
       {"unit", UnitOf(routed)},
       {"last_event", trace.last_event_id},
       {"first_event_ms", trace.first_event_delay.count()},
       {"widest_pause_ms", trace.max_event_gap.count()},
       {"after_ms", MillisecondsSince(routed.arrived)}});
}

void LogRefused(host_core& core,
                const routed_request& routed,
                const request_trace& trace,
                const base::error& failed) {
  core.metrics.CountRefusal(failed.code);
  core.metrics.Counter("valeledge_requests_total", "failed").Add();
  CountRequestOfRoute(core, routed);
  RecordIfLate(core, routed, trace);
  const bool has_route = routed.route != nullptr;
  if (has_route && failed.code == base::result_code::kQuarantined) {
    core.metrics
        .Counter("valeledge_quarantine_refusals_total", routed.route->name)
        .Add();
  }
  const bool has_version = routed.configuration != nullptr;
  core.log.Write(log_weight::kTrouble, log_event::kRequestRefused,
                 routed.metadata.id,
                 {{"request", routed.metadata.id},
                  {"route", has_route ? routed.route->name : std::string()},
                  {"workspace", WorkspaceName(routed)},
                  {"unit", UnitOf(routed)},
                  {"version", has_version ? routed.configuration->version : 0},
                  {"code", static_cast<std::int64_t>(failed.code)},
                  {"outcome", std::string(base::ToString(failed.what_ran))},
                  {"sends", trace.attempts},
                  {"started", std::int64_t{trace.response_started}},
                  {"after_ms", MillisecondsSince(routed.arrived)},
                  {"reason", failed.message}});
}

}  // namespace valeledge::host
