// SPDX-License-Identifier: MIT
#include "host/process/limit_updates.h"

#include <cmath>
#include <cstdint>
#include <string>

#include "base/logging.h"

namespace valeledge::host {

namespace {

using base::log_event;
using decisions::limit_change;

constexpr std::string_view kCategory = "limits";
constexpr std::string_view kCounter = "valeledge_server_limits_total";

// Converts a rate to thousandths of a request per second.
std::int64_t MilliRequestsPerSecond(double rate) {
  constexpr double kMaxRate = 1e15;
  return std::llround(std::fmin(rate * 1000, kMaxRate));
}

// `from_peer`: the change was reported by another host.
void LogChange(host_core& core,
               const known_server& server,
               limit_change change,
               bool from_peer) {
  const std::string& instance = server.entry.instance;
  if (change == limit_change::kWithdrawn) {
    core.metrics.Counter(kCounter, "withdrawn").Add();
    base::Log(kCategory, log_event::kServerLimitEnded,
              {{"server", instance}, {"told", std::int64_t{from_peer}}});
    return;
  }
  const bool is_new = change == limit_change::kAdvertised;
  core.metrics.Counter(kCounter, is_new ? "advertised" : "changed").Add();
  base::Log(kCategory, log_event::kServerLimitSeen,
            {{"server", instance},
             {"service", server.entry.service},
             {"milli_a_second",
              MilliRequestsPerSecond(server.advertised.limit->rate)},
             {"new", std::int64_t{is_new}},
             {"told", std::int64_t{from_peer}}});
}

void RecordUnreadable(host_core& core, known_server& server) {
  core.metrics.Counter(kCounter, "unreadable").Add();
  if (!server.limit_unreadable) {
    base::Log(kCategory, log_event::kServerLimitUnreadable,
              {{"server", server.entry.instance}});
  }
  server.limit_unreadable = true;
}

}  // namespace

void ApplyResponseLimit(host_core& core,
                        known_server& server,
                        const response_metadata& response,
                        base::time_point sent) {
  // The address may belong to another instance by now.
  if (response.misdirected)
    return;
  if (response.limit_unreadable) {
    RecordUnreadable(core, server);
    return;
  }
  // Refusals of a busy server may lack the limit field.
  if (!response.limit && response.not_run)
    return;
  const decisions::limit_observation observation{
      response.limit, sent, std::chrono::steady_clock::now()};
  const limit_change change =
      decisions::Observe(server.advertised, observation);
  if (change == limit_change::kNone)
    return;
  LogChange(core, server, change, false);
  if (core.limit_changed)
    core.limit_changed(server);
}

void MergeReportedLimit(host_core& core,
                        known_server& server,
                        const decisions::limit_report& report) {
  const limit_change change = decisions::Merge(server.advertised, report);
  if (change != limit_change::kNone)
    LogChange(core, server, change, true);
}

}  // namespace valeledge::host
