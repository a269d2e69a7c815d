// SPDX-License-Identifier: MIT
// Settings that every program of the system shares.
#ifndef VALELEDGE_NODE_NODE_SETTINGS_H_
#define VALELEDGE_NODE_NODE_SETTINGS_H_

#include <chrono>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "membership/gossip.h"
#include "settings/schema.h"

namespace valeledge::node {

// Who the process is, whom it talks to, how it logs and stops.
struct node_settings {
  std::string id;
  std::string zone;
  base::endpoint peer_listen;
  base::endpoint admin_listen;
  std::vector<base::endpoint> seeds;
  membership::gossip_settings gossip;

  base::endpoint key_value;
  base::endpoint host_list;
  std::chrono::microseconds platform_timeout = std::chrono::seconds(2);
  std::chrono::microseconds host_list_interval = std::chrono::seconds(5);
  std::int64_t watchers_per_zone = 2;

  std::string log_format = "text";
  std::string log_level = "info";

  std::chrono::microseconds stop_deadline = std::chrono::seconds(60);
  // New work is still taken for this long after leaving was announced, so
  // that callers that have not heard of it are not refused.
  std::chrono::microseconds leave_notice = std::chrono::milliseconds(500);
};

// Adds the shared keys to a program's schema.
void Describe(node_settings& settings, settings::schema_builder& schema);

}  // namespace valeledge::node

#endif  // VALELEDGE_NODE_NODE_SETTINGS_H_
