// SPDX-License-Identifier: MIT
// Sets the gauges that are computed whenever the metrics of a host are read.
#ifndef VALELEDGE_HOST_PROCESS_HOST_GAUGES_H_
#define VALELEDGE_HOST_PROCESS_HOST_GAUGES_H_

#include "host/process/host_core.h"
#include "host/process/path_monitor.h"
#include "host/process/peer_link.h"
#include "host/process/snapshot_service.h"
#include "host/process/store_mirror.h"
#include "net/http_server.h"
#include "store/kv_client.h"
#include "store/lease_keeper.h"

namespace valeledge::host {

// The services of a host from which gauges are read.
struct gauge_sources {
  const net::http_server& callers;
  const path_monitor& paths;
  const store_mirror& mirror;
  const snapshot_service& snapshots;
  const store::lease_keeper& lease;
  const peer_link& peers;
  const store::kv_client& store;
};

void UpdateGauges(host_core& core, const gauge_sources& sources);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_HOST_GAUGES_H_
