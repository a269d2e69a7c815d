// SPDX-License-Identifier: MIT
#ifndef VALELEDGE_HOST_PROCESS_OWNER_CALLS_H_
#define VALELEDGE_HOST_PROCESS_OWNER_CALLS_H_

#include <chrono>
#include <functional>

#include <boost/asio/awaitable.hpp>

#include "base/endpoint.h"
#include "base/error.h"
#include "wire/generated/messages_types.h"

namespace valeledge::host {

// Calls to the hosts that own a limit, a queue or the slots of a service; made
// on the host's thread.
struct owner_calls {
  std::function<boost::asio::awaitable<base::result<wire::envelope>>(
      base::endpoint where,
      wire::envelope call,
      std::chrono::microseconds timeout)>
      call;
  // Reports that an owner did not respond.
  std::function<void(const base::endpoint& owner)> suspect;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_OWNER_CALLS_H_
