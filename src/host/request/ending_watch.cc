// SPDX-License-Identifier: MIT
#include "host/request/ending_watch.h"

#include <string>

#include "base/identifier.h"
#include "base/logging.h"
#include "host/request/request_digest.h"

namespace valeledge::host {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

decisions::broken_attempt BrokenAttemptOf(const attempt_progress& progress,
                                          const base::error& failed) {
  decisions::broken_attempt out;
  out.connection_lost = failed.connection_lost;
  if (progress.first_part_at) {
    out.answering = duration_cast<milliseconds>(
        std::chrono::steady_clock::now() - *progress.first_part_at);
  }
  return out;
}

}  // namespace

std::uint64_t ending_watch::Digest() {
  if (!digest_)
    digest_ = DigestOf(request_);
  return *digest_;
}

std::optional<base::error> ending_watch::HeldBack() {
  if (core_.quarantine.suspects.empty())
    return std::nullopt;
  const auto held = decisions::HeldFor(core_.quarantine, Digest(),
                                       std::chrono::steady_clock::now());
  if (!held)
    return std::nullopt;
  auto error =
      base::MakeError(base::result_code::kHeldBack, base::outcome::kNotRun,
                      "request " + base::HexText(Digest()) +
                          " is held back: backend servers ended under it");
  error.retry_after = *held;
  return error;
}

void ending_watch::AttemptFailed(const routed_request& routed,
                                 const known_server& server,
                                 const attempt_progress& progress,
                                 const base::error& failed) {
  if (!failed.connection_lost)
    return;
  const std::string_view reached = ReachedName(progress);
  core_.metrics.Counter("valeledge_broken_off_total", reached).Add();
  core_.log.Write(base::log_weight::kTrouble,
                  base::log_event::kAttemptBrokenOff, routed.head.id,
                  {{"request", routed.head.id},
                   {"digest", base::HexText(Digest())},
                   {"route", routed.route->name},
                   {"server", server.entry.instance},
                   {"reached", std::string(reached)},
                   {"after_ms", MillisecondsSince(progress.sent)}});
  if (!decisions::IsSuspect(BrokenAttemptOf(progress, failed)))
    return;
  const auto now = std::chrono::steady_clock::now();
  core_.server_crashed(Digest(), {server.key, progress.sent, now});
}

void ending_watch::AnsweredWell() {
  // Most of the time nothing is suspected, and nothing is worked out.
  if (!core_.quarantine.suspects.empty())
    core_.suspect_completed(Digest());
}

}  // namespace valeledge::host
