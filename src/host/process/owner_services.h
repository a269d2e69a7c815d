// SPDX-License-Identifier: MIT
// Services that one host, chosen from the whole fleet, provides to the others:
// it owns the limits of some workspaces, allocates the slots of some plain
// services, and owns the queues for some engines.
#ifndef VALELEDGE_HOST_PROCESS_OWNER_SERVICES_H_
#define VALELEDGE_HOST_PROCESS_OWNER_SERVICES_H_

#include <boost/asio/awaitable.hpp>

#include "base/duration.h"
#include "host/process/engine_queue_client.h"
#include "host/process/engine_queue_groups.h"
#include "host/process/engine_queue_owner.h"
#include "host/process/host_core.h"
#include "host/process/peer_link.h"
#include "host/process/slot_allocator.h"
#include "host/process/workspace_limit_service.h"
#include "wire/generated/messages_types.h"

namespace valeledge::host {

class owner_services {
 public:
  // `core` and `peers` must outlive this object. The constructor installs the
  // services in the core for this host's own requests.
  owner_services(host_core& core, peer_link& peers);

  // A host that was not known before has joined.
  void OnMemberJoined();
  // Must be called several times a second.
  void Tick(base::time_point now);

  // Whether a call of another host is for these services.
  static bool Handles(const wire::envelope& call);
  // Returns the reply to such a call.
  boost::asio::awaitable<wire::envelope> HandleCall(wire::envelope call);

 private:
  workspace_limit_callbacks MakeLimitCallbacks();
  slot_allocator_links MakeSlotCallbacks();
  engine_queue_groups::owner_choice MakeQueueOwnerChoice();
  owner_calls MakeCalls();

  host_core& core_;
  peer_link& peers_;
  workspace_limit_service limits_;
  slot_allocator slots_;
  engine_queue_groups queue_groups_;
  engine_queue_owner queue_owner_;
  engine_queue_client queue_client_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_OWNER_SERVICES_H_
