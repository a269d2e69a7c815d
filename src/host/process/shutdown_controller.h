// SPDX-License-Identifier: MIT
// Stops a host gracefully: notifies other hosts, accepts requests that end in
// time while callers still send them, and responds to all of them.
#ifndef VALELEDGE_HOST_PROCESS_SHUTDOWN_CONTROLLER_H_
#define VALELEDGE_HOST_PROCESS_SHUTDOWN_CONTROLLER_H_

#include <functional>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/signal_set.hpp>

#include "host/process/host_core.h"
#include "net/http_server.h"

namespace valeledge::host {

class shutdown_controller {
 public:
  // `relays` serves requests of other hosts' callers. `on_started` is called
  // once, when the stop begins. The event loop is stopped at its end.
  shutdown_controller(host_core& core,
                      net::http_server& callers,
                      net::http_server& relays,
                      std::function<void()> on_started);

  // Starts waiting for SIGTERM and SIGINT.
  void Start();
  // Whether this host is stopping and must not take on responsibilities.
  bool stopping() const { return stopping_; }

 private:
  boost::asio::awaitable<void> AwaitSignal();
  boost::asio::awaitable<void> Stop();
  // Waits until the moment, or until no request is under way.
  boost::asio::awaitable<void> WaitUntil(base::time_point moment,
                                         bool ends_when_idle);
  // Ends what is still under way with a response of this host.
  void RespondToAll();
  std::int64_t ActiveRequests() const {
    return callers_.active_requests() + relays_.active_requests();
  }

  host_core& core_;
  net::http_server& callers_;
  net::http_server& relays_;
  std::function<void()> on_started_;
  boost::asio::signal_set signals_;
  bool stopping_ = false;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_SHUTDOWN_CONTROLLER_H_
