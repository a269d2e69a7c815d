// SPDX-License-Identifier: MIT
// Selection of backend servers without a scheduler: the fallback while no
// scheduler is reachable, and baseline strategies for benchmarks.
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

// A backend server selected without a scheduler.
struct chosen_server {
  std::string name;
  std::string address;
  std::string cell;
};

// Counts the attempts it has in flight at each server. All functions run on the
// node's peer thread.
class fallback_router {
 public:
  // Selects one of the servers that are ready according to gossip. `strategy`:
  // "random", "round_robin" or "two_choices" (of two random servers the one
  // with fewer attempts of this gateway in flight).
  std::optional<chosen_server> Choose(std::string_view strategy,
                                      const table::snapshot& table,
                                      const node::member_view& view,
                                      decisions::unit_hash unit,
                                      const std::vector<std::string>& avoid);

  // Records that an attempt at this server has ended.
  void EndAttempt(const std::string& server);

 private:
  std::map<std::string, std::int64_t> in_flight_;
  std::uint64_t next_index_ = 0;
  std::mt19937_64 random_{std::random_device{}()};
};

// Returns the rows of the backend servers that are ready for a unit according
// to gossip.
std::vector<const table::row*> ReadyServers(const table::snapshot& table,
                                            const node::member_view& view,
                                            decisions::unit_hash unit);

}  // namespace valeledge::gateway

#endif  // VALELEDGE_GATEWAY_PROCESS_FALLBACK_ROUTER_H_
