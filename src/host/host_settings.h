// SPDX-License-Identifier: MIT
// What one host is told at its start.
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

namespace valeledge::host {

struct host_settings {
  // Unique among hosts; a restarted host keeps its name.
  std::string name;
  std::string zone;
  // The region of each availability zone.
  std::map<std::string, std::string> zone_regions;
  // Where callers connect.
  base::endpoint caller_listen;
  // Where the balancer asks whether this host serves.
  base::endpoint readiness_listen;
  // Where other hosts reach this one, by datagrams and by connections.
  base::endpoint peer_listen;
  // Hosts to begin with; any of them may be gone.
  std::vector<base::endpoint> seeds;
  base::endpoint store;
  // Where metrics are read; nowhere if not set.
  std::optional<base::endpoint> metrics_listen;

  // How long a new holder of the lease waits for the orders of the last one to
  // end.
  std::chrono::milliseconds handover_pause{3000};
  // Length of the lease whose holder gives orders to engines. Outages of the
  // store up to about this length stop no placement; after the loss of a holder
  // for good placement stops for this and the pause.
  std::chrono::milliseconds lease_length{10'000};
  // The whole system starts for the first time, as far as the settings know: a
  // host that is restarted early may still be told so.
  bool first_start = false;

  // Cores that this host may use, a fraction; 0 if that is not known.
  double cores = 0;
  // What this host's link carries, in bytes a second; 0 if that is not known.
  double link_bytes = 0;

  // The time between SIGTERM and SIGKILL.
  std::chrono::milliseconds stop_grace{8000};

  // Retries of all hosts together within `retry_window` stay under
  // `retry_ratio` times the requests plus `retry_slack`, which is at least one
  // for each host.
  double retry_ratio = 0.2;
  std::int64_t retry_slack = 0;
  std::chrono::milliseconds retry_window{10'000};

  // How soon what operators change of keys is in force.
  decisions::key_bounds keys;

  // One host for each plain service deals out the places of its servers; else
  // each host chooses by what it knows.
  bool deals_places = true;

  // How often backend servers write their entries, the first of them within
  // this of their start.
  std::chrono::milliseconds server_heartbeat{1200};

  // Loads from the weight store are counted over this window.
  std::chrono::milliseconds load_window{5000};
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_HOST_SETTINGS_H_
