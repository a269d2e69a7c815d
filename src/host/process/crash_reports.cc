// SPDX-License-Identifier: MIT
#include "host/process/crash_reports.h"

#include <chrono>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/endpoint.h"

namespace valeledge::host {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// A server crash is reported after this delay, in which it turns out whether
// the connections of other servers broke as well.
constexpr milliseconds kCrashReportDelay{100};

}  // namespace

crash_reports::crash_reports(host_core& core,
                             const path_monitor& paths,
                             quarantine_coordinator& quarantine,
                             prompt_quarantine_coordinator& prompt_quarantine)
    : core_(core),
      paths_(paths),
      quarantine_(quarantine),
      prompt_quarantine_(prompt_quarantine) {
  core_.server_crashed = [this](std::uint64_t digest,
                                const decisions::server_crash& end,
                                const decisions::prompt_parts& parts) {
    asio::co_spawn(core_.context, ReportCrash(digest, end, parts),
                   asio::detached);
  };
  core_.prompt_served = [this](const decisions::prompt_parts& parts) {
    prompt_quarantine_.OnServed(parts);
  };
  core_.begin_prompt_trial = [this](const decisions::prompt_parts& parts) {
    return prompt_quarantine_.BeginTrial(parts);
  };
  core_.prompt_trial_interrupted =
      [this](const decisions::server_trial& trial) {
        prompt_quarantine_.OnTrialInterrupted(trial);
      };
  core_.suspect_completed = [this](std::uint64_t digest) {
    quarantine_.OnCompletedResponse(digest);
  };
}

asio::awaitable<void> crash_reports::ReportCrash(
    std::uint64_t digest,
    decisions::server_crash crash,
    decisions::prompt_parts parts) {
  const auto server = core_.servers.FindKey(crash.server);
  asio::steady_timer timer(core_.context, kCrashReportDelay);
  co_await timer.async_wait(kAwait);
  const bool is_path = server != nullptr &&
                       paths_.MayBePathLoss(server->entry.service, crash.at);
  if (is_path)
    core_.metrics.Counter("valeledge_crash_reports_dropped_total").Add();
  else
    quarantine_.OnServerCrash(digest, crash);
  // Several servers may crash together under requests with one part.
  const bool is_lost =
      server != nullptr && paths_.IsLost(server->entry.service);
  if (!is_lost && !parts.empty()) {
    const std::int32_t engine =
        server == nullptr ? 0 : KeyOf(base::ToString(server->entry.address));
    prompt_quarantine_.OnServerCrash({crash.server, crash.at, parts, engine});
  }
}

}  // namespace valeledge::host
