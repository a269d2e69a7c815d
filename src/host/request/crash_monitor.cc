// SPDX-License-Identifier: MIT
#include "host/request/crash_monitor.h"

#include <string>

#include "base/identifier.h"
#include "base/logging.h"
#include "host/request/request_digest.h"
#include "host/prompt_parts.h"

namespace valeledge::host {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

decisions::interrupted_attempt BrokenAttemptOf(const attempt_progress& progress,
                                               const base::error& failed) {
  decisions::interrupted_attempt out;
  out.connection_lost = failed.connection_lost;
  if (progress.first_body_at) {
    out.response_duration = duration_cast<milliseconds>(
        std::chrono::steady_clock::now() - *progress.first_body_at);
  }
  return out;
}

}  // namespace

std::uint64_t crash_monitor::Digest() {
  if (!digest_)
    digest_ = DigestOf(request_);
  return *digest_;
}

std::optional<base::error> crash_monitor::CheckQuarantine() {
  if (core_.quarantine.suspects.empty())
    return std::nullopt;
  const auto quarantined = decisions::RemainingQuarantine(
      core_.quarantine, Digest(), std::chrono::steady_clock::now());
  if (!quarantined)
    return std::nullopt;
  auto error = base::MakeError(
      base::result_code::kHeldBack, base::outcome::kNotRun,
      "request " + base::HexText(Digest()) +
          " is quarantined: backend servers crashed while running it");
  error.retry_after = *quarantined;
  return error;
}

void crash_monitor::OnAttemptFailed(const routed_request& routed,
                                    const known_server& server,
                                    const attempt_progress& progress,
                                    const base::error& failed) {
  if (!failed.connection_lost)
    return;
  const std::string_view reached = ProgressName(progress);
  core_.metrics.Counter("valeledge_broken_off_total", reached).Add();
  core_.log.Write(
      base::log_weight::kTrouble, base::log_event::kAttemptBrokenOff,
      routed.metadata.id,
      {{"request", routed.metadata.id},
       {"digest", base::HexText(Digest())},
       {"route", routed.route->name},
       {"prompt", PromptPartsText(SharedPromptParts(routed.metadata))},
       {"server", server.entry.instance},
       {"reached", std::string(reached)},
       {"after_ms", MillisecondsSince(progress.sent)}});
  if (!decisions::MayHaveCrashedServer(BrokenAttemptOf(progress, failed)))
    return;
  const auto now = std::chrono::steady_clock::now();
  core_.server_crashed(Digest(), {server.key, progress.sent, now});
}

void crash_monitor::OnSuccessfulResponse() {
  // Usually there are no suspects, and the digest need not be computed.
  if (!core_.quarantine.suspects.empty())
    core_.suspect_completed(Digest());
}

}  // namespace valeledge::host
