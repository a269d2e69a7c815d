// SPDX-License-Identifier: MIT
// The load that other hosts report at servers.
#ifndef VALELEDGE_HOST_PROCESS_REPORTED_LOADS_H_
#define VALELEDGE_HOST_PROCESS_REPORTED_LOADS_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "host/process/known_server.h"
#include "wire/generated/messages_types.h"

namespace valeledge::host {

using servers_by_key = std::map<unit_key, std::weak_ptr<known_server>>;

// Returns null if no server has the key.
std::shared_ptr<known_server> FindServer(const servers_by_key& servers,
                                         unit_key key);

// The load of this host at a server, as reported to the other hosts.
wire::server_load OwnLoad(const known_server& server);

// The last report of each host. The totals of all reports are kept in
// known_server::others.
class reported_loads {
 public:
  // Replaces all loads reported by a host.
  void Replace(const servers_by_key& servers,
               const std::string& host,
               const std::vector<wire::server_load>& loads);
  // Changes only the loads reported by a host at the given servers.
  void Update(const servers_by_key& servers,
              const std::string& host,
              const std::vector<wire::server_load>& loads);
  void Forget(const servers_by_key& servers, const std::string& host);
  // Adds the reported loads at a new server to its totals: hosts may have
  // reported loads at it before its entry was read.
  void AddTo(known_server& server) const;

 private:
  std::map<std::string, std::map<unit_key, server_usage>> loads_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_REPORTED_LOADS_H_
