// SPDX-License-Identifier: MIT
// Acquires what a request needs before it is sent to the backend server that
// was selected for it.
#ifndef VALELEDGE_HOST_REQUEST_SLOT_ACQUISITION_H_
#define VALELEDGE_HOST_REQUEST_SLOT_ACQUISITION_H_

#include <optional>

#include <boost/asio/awaitable.hpp>

#include "host/request/routed_request.h"

namespace valeledge::host {

// Acquires a permit if the chosen server advertises a limit, or a slot if its
// slots are allocated centrally. Returns nothing if another server must be
// chosen.
boost::asio::awaitable<base::result<std::optional<server_choice>>>
AcquirePermitOrSlot(host_core& core,
                    const routed_request& routed,
                    server_choice choice);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_REQUEST_SLOT_ACQUISITION_H_
