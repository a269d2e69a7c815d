// SPDX-License-Identifier: MIT
// How a gateway chooses a backend server alone: when no scheduler can be
// reached, and as the plain ways that scheduling is measured against.
#ifndef VALELEDGE_GATEWAY_PROCESS_FALLBACK_ROUTER_H_
#define VALELEDGE_GATEWAY_PROCESS_FALLBACK_ROUTER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "decisions/routing.h"
#include "node/node.h"
#include "table/snapshot.h"

namespace valeledge::gateway {

// A backend server chosen without a scheduler.
struct chosen_server {
  std::string name;
  std::string address;
  std::string cell;
};

// Keeps its own counts of what it sent; lives on the peers' thread.
class fallback_router {
 public:
  // Chooses by `strategy`: "random", "round_robin" or "two_choices" (the less
  // busy of two by own counts), among the servers that gossip says are ready.
  std::optional<chosen_server> Choose(std::string_view strategy,
                                      const table::snapshot& table,
                                      const node::member_view& view,
                                      decisions::unit_hash unit,
                                      const std::vector<std::string>& avoid);

  // An attempt at this server has ended.
  void EndAttempt(const std::string& server);

 private:
  std::map<std::string, std::int64_t> in_flight_;
  std::uint64_t next_index_ = 0;
  std::mt19937_64 random_{std::random_device{}()};
};

// The rows of the backend servers that gossip says are ready for a unit.
std::vector<const table::row*> ReadyServers(const table::snapshot& table,
                                            const node::member_view& view,
                                            decisions::unit_hash unit);

}  // namespace valeledge::gateway

#endif  // VALELEDGE_GATEWAY_PROCESS_FALLBACK_ROUTER_H_
