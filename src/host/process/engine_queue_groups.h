// SPDX-License-Identifier: MIT
// The groups into which the engines of a service are divided, and which hosts
// may own the queue of each.
#ifndef VALELEDGE_HOST_PROCESS_ENGINE_QUEUE_GROUPS_H_
#define VALELEDGE_HOST_PROCESS_ENGINE_QUEUE_GROUPS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "host/process/host_core.h"

namespace valeledge::host {

class engine_queue_groups {
 public:
  // Returns the hosts that may own a queue, best first, without those that are
  // suspected; may include this host. Called on the host's thread.
  using owner_choice =
      std::function<std::vector<base::endpoint>(const std::string& subject)>;

  // `core` must outlive this object.
  engine_queue_groups(host_core& core, owner_choice owners);

  // The service if it has engines; otherwise null.
  const catalog::service* ServiceWithEngines(const std::string& name) const;
  // The service if the feature is active for it and it has engines; otherwise
  // null.
  const catalog::service* EnabledService(const std::string& name) const;
  // Number of groups of a service's engines.
  std::int64_t GroupsOf(const std::string& service);
  // Hosts that may own the queue of a group, best first.
  std::vector<base::endpoint> Candidates(const std::string& service,
                                         std::int64_t group) const;
  // Counts the engines again when they are needed next. To be called several
  // times a second.
  void Recount();

 private:
  host_core& core_;
  owner_choice owners_;
  // Number of groups of each service's engines.
  std::map<std::string, std::int64_t> groups_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_ENGINE_QUEUE_GROUPS_H_
