// SPDX-License-Identifier: MIT
// Test fixture: requests with a short time-out at a host whose services do not
// reply in time.
#ifndef VALELEDGE_TESTS_AUTO_HOST_DEADLINE_WORLD_H_
#define VALELEDGE_TESTS_AUTO_HOST_DEADLINE_WORLD_H_

#include <chrono>
#include <memory>
#include <string>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "relay_world.h"

namespace valeledge::test {

struct deadline_world : relay_world {
  deadline_world() {
    for (catalog::route& route : configuration.routes)
      route.timeout = route_timeout;
    AddServer("i-1", first.address());
  }

  // Makes the allocator of slots reply too late.
  void DelaySlots() {
    core->acquire_slot = [this](host::slot_request)
        -> boost::asio::awaitable<
            base::result<std::shared_ptr<host::slot_handle>>> {
      co_await Delay();
      co_return base::NotRun(base::result_code::kOverloaded, "no free slot");
    };
  }

  // Waits beyond the deadline of any request.
  boost::asio::awaitable<void> Delay() {
    boost::asio::steady_timer timer(context, delay);
    co_await timer.async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
  }

  std::chrono::milliseconds route_timeout{300};
  std::chrono::milliseconds delay{1500};
};

}  // namespace valeledge::test

#endif  // VALELEDGE_TESTS_AUTO_HOST_DEADLINE_WORLD_H_
