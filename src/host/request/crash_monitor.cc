// SPDX-License-Identifier: MIT
#include "host/request/crash_monitor.h"

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>

#include "base/identifier.h"
#include "base/logging.h"
#include "decisions/quarantine_trial.h"
#include "host/prompt_parts.h"
#include "host/request/request_digest.h"

namespace valeledge::host {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Maximum number of responses of one server that wait for confirmation.
constexpr std::size_t kMaxUnconfirmed = 16;

// Time since the first data of the response; empty if there was none.
std::optional<milliseconds> ResponseDuration(const attempt_progress& progress) {
  if (!progress.first_body_at)
    return std::nullopt;
  return duration_cast<milliseconds>(std::chrono::steady_clock::now() -
                                     *progress.first_body_at);
}

// Whether the response has lasted longer than a server that the request crashes
// would have run.
bool HasOutlasted(const attempt_progress& progress) {
  const auto duration = ResponseDuration(progress);
  return duration && *duration >= decisions::kEarlyResponseWindow;
}

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

}  // namespace

std::optional<base::error> CheckPromptQuarantine(const host_core& core,
                                                 const routed_request& routed) {
  const auto now = std::chrono::steady_clock::now();
  const bool is_trial =
      now - routed.arrived < decisions::kTrialValidity && !routed.trial.empty();
  const auto verdict = decisions::FindQuarantine(
      core.prompts, routed.shared_parts, now,
      is_trial ? routed.trial : decisions::prompt_parts());
  if (!verdict)
    return std::nullopt;
  auto error = base::MakeError(
      base::result_code::kQuarantined, base::outcome::kNotRun,
      "prompt parts " + PromptPartsText(verdict->combination) +
          " are quarantined: backend servers crashed under requests with them");
  error.retry_after = verdict->remaining;
  return error;
}

std::uint64_t crash_monitor::Digest() {
  if (!digest_)
    digest_ = DigestOf(request_);
  return *digest_;
}

std::optional<base::error> crash_monitor::CheckQuarantine() {
  if (auto error = CheckPromptQuarantine(core_, routed_))
    return error;
  if (core_.quarantine.suspects.empty())
    return std::nullopt;
  const auto quarantined = decisions::RemainingQuarantine(
      core_.quarantine, Digest(), std::chrono::steady_clock::now());
  if (!quarantined)
    return std::nullopt;
  auto error = base::MakeError(
      base::result_code::kQuarantined, base::outcome::kNotRun,
      "request " + base::HexText(Digest()) +
          " is quarantined: backend servers crashed while running it");
  error.retry_after = *quarantined;
  return error;
}

void crash_monitor::OnAttemptFailed(const known_server& server,
                                    const attempt_progress& progress,
                                    const base::error& failed) {
  if (!failed.connection_lost)
    return;
  const std::string_view reached = ProgressName(progress);
  core_.metrics.Counter("valeledge_broken_off_total", reached).Add();
  core_.log.Write(base::log_weight::kTrouble,
                  base::log_event::kAttemptBrokenOff, routed_.metadata.id,
                  {{"request", routed_.metadata.id},
                   {"digest", base::HexText(Digest())},
                   {"route", routed_.route->name},
                   {"prompt", PromptPartsText(routed_.shared_parts)},
                   {"server", server.entry.instance},
                   {"reached", std::string(reached)},
                   {"after_ms", MillisecondsSince(progress.sent)}});
  if (!decisions::MayHaveCrashedServer(
          {failed.connection_lost, ResponseDuration(progress)}))
    return;
  const auto now = std::chrono::steady_clock::now();
  if (!routed_.metadata.prompt.empty()) {
    decisions::RecordOutcome(core_.prompts, routed_.shared_parts, server.key,
                             now);
  }
  ReportInterruptedTrial(server);
  core_.server_crashed(Digest(), {server.key, progress.sent, now},
                       routed_.shared_parts);
}

void crash_monitor::OnResponseHeader(known_server& server,
                                     base::time_point sent) {
  if (server.unconfirmed.empty())
    return;
  std::vector<unconfirmed_response> confirmed;
  std::erase_if(server.unconfirmed, [&](unconfirmed_response& each) {
    if (each.ended_at > sent)
      return false;
    confirmed.push_back(std::move(each));
    return true;
  });
  for (const unconfirmed_response& each : confirmed) {
    ClearRequest(each.digest);
    ClearParts(each.parts);
  }
}

void crash_monitor::OnData(const attempt_progress& progress) {
  if (!HasOutlasted(progress) || outlasted_since_ == progress.first_body_at)
    return;
  outlasted_since_ = progress.first_body_at;
  RecordRun();
  ClearParts(routed_.shared_parts);
}

void crash_monitor::OnWholeResponse(known_server& server,
                                    const attempt_progress& progress,
                                    int status,
                                    bool is_framed) {
  const bool has_run = is_framed || HasOutlasted(progress);
  const bool is_recorded =
      progress.first_body_at && outlasted_since_ == progress.first_body_at;
  if (has_run && IsSuccess(status) && !is_recorded)
    RecordRun();
  // Usually there are no suspects, and the digest need not be computed.
  const bool any = !core_.quarantine.suspects.empty() ||
                   !core_.prompts.suspects.empty() ||
                   !core_.prompts.combinations.empty();
  if (!any)
    return;
  const decisions::prompt_parts parts =
      IsSuccess(status) ? routed_.shared_parts : decisions::prompt_parts();
  if (has_run) {
    ClearRequest(Digest());
    ClearParts(parts);
    return;
  }
  server.unconfirmed.push_back({Digest(), parts,
                                std::chrono::steady_clock::now(),
                                server.entry.heartbeats});
  if (server.unconfirmed.size() > kMaxUnconfirmed)
    server.unconfirmed.erase(server.unconfirmed.begin());
}

void crash_monitor::RecordRun() {
  if (routed_.metadata.prompt.empty())
    return;
  decisions::RecordOutcome(core_.prompts, routed_.shared_parts, std::nullopt,
                           std::chrono::steady_clock::now());
}

void crash_monitor::ReportInterruptedTrial(const known_server& server) {
  if (!routed_.trial.empty() && core_.prompt_trial_interrupted)
    core_.prompt_trial_interrupted({routed_.trial, server.key});
}

void crash_monitor::ClearRequest(std::uint64_t digest) {
  if (!core_.quarantine.suspects.empty())
    core_.suspect_completed(digest);
}

void crash_monitor::ClearParts(const decisions::prompt_parts& parts) {
  const bool any =
      !core_.prompts.suspects.empty() || !core_.prompts.combinations.empty();
  if (!parts.empty() && any)
    core_.prompt_served(parts);
}

}  // namespace valeledge::host
