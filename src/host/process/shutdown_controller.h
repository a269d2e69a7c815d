// SPDX-License-Identifier: MIT
// The graceful stop of a host: others are told, what is under way ends, and new
// requests are answered while callers still come.
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
  // `begun` runs once, when the stop has begun. The event loop ends with it.
  shutdown_controller(host_core& core,
                      net::http_server& callers,
                      std::function<void()> on_started);

  // Waits for SIGTERM or SIGINT from now on.
  void Start();
  // Whether this host stops: it takes no duties any more.
  bool stopping() const { return stopping_; }

 private:
  boost::asio::awaitable<void> AwaitSignal();
  boost::asio::awaitable<void> Stop();

  host_core& core_;
  net::http_server& callers_;
  std::function<void()> on_started_;
  boost::asio::signal_set signals_;
  bool stopping_ = false;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_SHUTDOWN_CONTROLLER_H_
