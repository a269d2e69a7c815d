// SPDX-License-Identifier: MIT
// Builds the callbacks through which the services of one host use each other.
// All arguments must outlive the callbacks, and are used only when these are
// called.
#ifndef VALELEDGE_HOST_PROCESS_HOST_CALLBACKS_H_
#define VALELEDGE_HOST_PROCESS_HOST_CALLBACKS_H_

#include "host/process/engine_estimate_service.h"
#include "host/process/host_core.h"
#include "host/process/key_freshness_monitor.h"
#include "host/process/lease_succession.h"
#include "host/process/path_monitor.h"
#include "host/process/peer_link.h"
#include "host/process/placement_controller.h"
#include "host/process/prompt_quarantine_coordinator.h"
#include "host/process/quarantine_coordinator.h"
#include "host/process/server_limits.h"
#include "host/process/store_mirror.h"
#include "host/process/store_update_handler.h"
#include "host/process/stream_origin_service.h"
#include "net/http_server.h"
#include "store/lease_keeper.h"

namespace valeledge::host {

// `relays` serves requests of other hosts' callers.
store_update_callbacks MakeStoreUpdateCallbacks(
    net::http_server& callers,
    net::http_server& relays,
    peer_link& peers,
    quarantine_coordinator& quarantine,
    prompt_quarantine_coordinator& prompt_quarantine);

server_limit_callbacks MakeServerLimitCallbacks(
    const store::lease_keeper& lease,
    lease_succession& succession,
    const placement_controller& placement,
    peer_link& peers);

path_callbacks MakePathCallbacks(peer_link& peers);

stream_origin_callbacks MakeStreamOriginCallbacks(const host_core& core,
                                                  peer_link& peers,
                                                  const store_mirror& mirror);

lease_succession_callbacks MakeLeaseSuccessionCallbacks(
    const store::lease_keeper& lease,
    peer_link& peers,
    const store_mirror& mirror);

engine_estimate_callbacks MakeEngineEstimateCallbacks(peer_link& peers);

prompt_quarantine_callbacks MakePromptQuarantineCallbacks(peer_link& peers);

quarantine_callbacks MakeQuarantineCallbacks(peer_link& peers);

key_freshness_callbacks MakeKeyFreshnessCallbacks(peer_link& peers,
                                                  const store_mirror& mirror);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_HOST_CALLBACKS_H_
