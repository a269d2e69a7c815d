// SPDX-License-Identifier: MIT
// Settings of one host, fixed at start.
#ifndef VALELEDGE_HOST_HOST_SETTINGS_H_
#define VALELEDGE_HOST_HOST_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "decisions/key_freshness.h"
#include "host/load_features.h"

namespace valeledge::host {

struct host_settings {
  // Unique among hosts and kept across restarts.
  std::string name;
  std::string zone;
  // Maps each availability zone to its region.
  std::map<std::string, std::string> zone_regions;
  // Listens for callers.
  base::endpoint caller_listen;
  // Listens for readiness probes of the load balancer.
  base::endpoint readiness_listen;
  // Listens for other hosts, both datagrams and connections.
  base::endpoint peer_listen;
  // Listens for requests that other hosts relay; port 0: any free one. Callers
  // must not reach it.
  base::endpoint relay_listen;
  // Hosts contacted first to join the membership; any of them may be down.
  std::vector<base::endpoint> seeds;
  base::endpoint store;
  // Serves metrics; disabled if not set.
  std::optional<base::endpoint> metrics_listen;

  // How long a new lease holder waits for the orders of its predecessor to
  // end.
  std::chrono::milliseconds handover_pause{3000};
  // Duration of the lease whose holder sends orders to engines. Placement
  // continues through store outages of up to about this duration. After the
  // permanent loss of a lease holder it stops for this duration plus
  // `handover_pause`, unless the holder is succeeded earlier
  // (lease_succession).
  std::chrono::milliseconds lease_length{10'000};
  // The settings declare this the first start of the whole system. A host that
  // is restarted soon afterwards may still have this set.
  bool first_start = false;

  // Memory that this host's process may use, in bytes.
  std::int64_t memory_bytes = 256 * 1024 * 1024;
  // CPU cores available to this host, may be fractional; 0 if unknown.
  double cores = 0;
  // Bandwidth of this host's network link; 0 if unknown.
  double link_bytes_per_second = 0;

  // Time between SIGTERM and SIGKILL.
  std::chrono::milliseconds stop_grace{8000};

  // Within `retry_window`, all hosts together send fewer retries than
  // `retry_ratio` times the number of requests plus `retry_slack`, which is at
  // least one per host.
  double retry_ratio = 0.2;
  std::int64_t retry_slack = 0;
  std::chrono::milliseconds retry_window{10'000};

  // Upper bounds on the time until key changes by operators take effect.
  decisions::key_bounds keys;

  // One host per plain service allocates the slots of its servers. If false,
  // each host selects servers based on its own view.
  bool allocates_slots = true;

  // Interval at which backend servers write their entries. The first entry is
  // written within one interval of the server's start.
  std::chrono::milliseconds server_heartbeat{1200};

  // Engines reject orders whose fencing number is lower than one that they have
  // seen.
  bool engines_check_fences = false;

  // Features for high load.
  load_features features;

  // Window over which loads from the weight store are counted.
  std::chrono::milliseconds load_window{5000};
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_HOST_SETTINGS_H_
