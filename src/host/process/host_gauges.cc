// SPDX-License-Identifier: MIT
#include "host/process/host_gauges.h"

#include <chrono>
#include <cstdint>
#include <string_view>
#include <utility>

#include "base/logging.h"
#include "decisions/key_freshness.h"

namespace valeledge::host {

namespace {

using std::chrono::milliseconds;

// Reported in metrics for an unknown age.
constexpr std::int32_t kUnknownAge = -1;

}  // namespace

void UpdateGauges(host_core& core, const gauge_sources& sources) {
  const auto set = [&core](std::string_view name, std::int64_t value) {
    core.metrics.Gauge(name).Set(value);
  };
  set("valeledge_active_requests", sources.callers.active_requests());
  set("valeledge_caller_connections", sources.callers.connections());
  set("valeledge_hosts", core.hosts);
  set("valeledge_backend_servers",
      static_cast<std::int64_t>(core.servers.servers().size()));
  const server_registry& servers = core.servers;
  set("valeledge_limited_servers", servers.Count(&known_server::IsLimited));
  set("valeledge_leaving_servers", servers.Count(&known_server::SaysLeaving));
  set("valeledge_backing_off_servers",
      servers.Count(&known_server::IsBackingOff));
  set("valeledge_lost_paths", sources.paths.CountLost());
  set("valeledge_configuration_version",
      core.configuration == nullptr ? 0 : core.configuration->version);
  set("valeledge_store_revision", sources.mirror.revision());
  set("valeledge_store_age_ms",
      sources.mirror.Age().value_or(milliseconds(kUnknownAge)).count());
  set("valeledge_held_requests",
      static_cast<std::int64_t>(decisions::CountQuarantined(
          core.quarantine, std::chrono::steady_clock::now())));
  set("valeledge_held_prompt_parts",
      static_cast<std::int64_t>(
          decisions::QuarantinedCombinations(core.prompts,
                                             std::chrono::steady_clock::now())
              .size()));
  set("valeledge_copy_behind_ms", sources.snapshots.StaleFor().count());
  const auto freshness =
      decisions::DataAge(core.freshness, base::boot_clock::now());
  set("valeledge_key_certainty_ms",
      freshness.value_or(milliseconds(kUnknownAge)).count());
  set("valeledge_lease_term", sources.lease.CertainTerm());
  set("valeledge_peer_bytes", sources.peers.bytes());
  set("valeledge_peer_call_overruns", sources.peers.overrun_calls());
  for (const auto& [kind, bytes] : sources.peers.sent_bytes())
    core.metrics.Gauge("valeledge_told_bytes", kind).Set(bytes);
  for (const auto& [kind, memory] :
       {std::pair{"requests", core.request_memory},
        std::pair{"responses", core.response_memory},
        std::pair{"frames", core.peer_memory}}) {
    core.metrics.Gauge("valeledge_message_bytes", kind).Set(memory->held());
    core.metrics.Gauge("valeledge_messages_given_up", kind)
        .Set(memory->given_up());
  }
  set("valeledge_idle_connections", core.http.idle_connections());
  set("valeledge_opened_connections", core.http.opened_connections());
  set("valeledge_skipped_responses", core.http.skipped_responses());
  set("valeledge_store_bytes", sources.store.bytes());
  set("valeledge_log_lines_dropped", base::LinesDropped());
}

}  // namespace valeledge::host
