// SPDX-License-Identifier: MIT
// Passes the records and calls of other hosts to the services that handle them.
#ifndef VALELEDGE_HOST_PROCESS_PEER_MESSAGES_H_
#define VALELEDGE_HOST_PROCESS_PEER_MESSAGES_H_

#include <cstdint>
#include <string_view>

#include <boost/asio/awaitable.hpp>

#include "host/process/engine_estimate_service.h"
#include "host/process/host_core.h"
#include "host/process/key_freshness_monitor.h"
#include "host/process/lease_succession.h"
#include "host/process/load_reports.h"
#include "host/process/owner_services.h"
#include "host/process/path_monitor.h"
#include "host/process/peer_link.h"
#include "host/process/placement_controller.h"
#include "host/process/prompt_quarantine_coordinator.h"
#include "host/process/quarantine_coordinator.h"
#include "host/process/server_limits.h"
#include "host/process/shutdown_controller.h"
#include "host/process/snapshot_service.h"
#include "host/process/stream_origin_service.h"
#include "membership/gossip.h"
#include "wire/generated/messages_types.h"

namespace valeledge::host {

// Key of the record with a server that has rejected a request.
inline constexpr std::string_view kFullRecord = "full";

// The services of one host that handle messages of other hosts.
struct peer_message_services {
  host_core& core;
  peer_link& peers;
  path_monitor& paths;
  snapshot_service& snapshots;
  quarantine_coordinator& quarantine;
  prompt_quarantine_coordinator& prompt_quarantine;
  key_freshness_monitor& freshness;
  owner_services& owned;
  lease_succession& succession;
  placement_controller& placement;
  server_limits& limits;
  stream_origin_service& stream_origins;
  engine_estimate_service& engine_estimates;
  load_reports& loads;
  const shutdown_controller& shutdown;
  // Where other hosts relay requests to; 0 if this could not be opened.
  std::uint16_t relay_port = 0;
};

// Handles a record that was received directly from another host.
void HandleRecord(const peer_message_services& services,
                  const membership::direct_record& record);

// Returns the reply to a call of another host.
boost::asio::awaitable<wire::envelope> HandleCall(
    const peer_message_services& services,
    wire::envelope call);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_PEER_MESSAGES_H_
