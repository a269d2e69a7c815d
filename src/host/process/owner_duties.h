// SPDX-License-Identifier: MIT
// What one host, chosen among all, does for the others: it owns the limits of
// some workspaces, and deals out the places of some plain services.
#ifndef VALELEDGE_HOST_PROCESS_OWNER_DUTIES_H_
#define VALELEDGE_HOST_PROCESS_OWNER_DUTIES_H_

#include <boost/asio/awaitable.hpp>

#include "base/duration.h"
#include "host/process/host_core.h"
#include "host/process/limit_duty.h"
#include "host/process/peer_link.h"
#include "host/process/slot_allocator.h"
#include "wire/generated/messages_types.h"

namespace valeledge::host {

class owner_duties {
 public:
  // Both must outlive the duties. Requests of this host use them through the
  // core from now on.
  owner_duties(host_core& core, peer_link& peers);

  // Another host was not known before.
  void NoteNewMember();
  // Call several times a second.
  void Roll(base::time_point now);

  // Whether a call of another host is for these duties.
  static bool IsFor(const wire::envelope& call);
  // The reply to such a call.
  boost::asio::awaitable<wire::envelope> Answer(wire::envelope call);

 private:
  limit_links LimitLinks();
  slot_allocator_links PlaceLinks();

  host_core& core_;
  peer_link& peers_;
  limit_duty limits_;
  slot_allocator places_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_OWNER_DUTIES_H_
