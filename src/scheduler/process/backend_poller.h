// SPDX-License-Identifier: MIT
// Polls the backend servers of this scheduler's cells for their load.
#ifndef VALELEDGE_SCHEDULER_PROCESS_BACKEND_POLLER_H_
#define VALELEDGE_SCHEDULER_PROCESS_BACKEND_POLLER_H_

#include <atomic>
#include <functional>
#include <map>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "base/duty.h"
#include "base/endpoint.h"
#include "net/http_client.h"
#include "scheduler/process/cell_state.h"
#include "scheduler/process/scheduler_settings.h"

namespace valeledge::scheduler {

// A backend server to poll, and the cell that receives its reports.
struct polled_backend {
  std::string cell;
  std::string server;
  base::endpoint address;
  bool is_engine = true;

  bool operator==(const polled_backend&) const = default;
};

// Receives the result of a poll; called on the poller's thread.
using report_sink =
    std::function<void(const std::string& cell, const backend_report&)>;

// Runs on its own thread, `backends`.
class backend_poller {
 public:
  backend_poller(base::duty& backends,
                 const scheduler_settings& settings,
                 report_sink sink);

  // Total bytes transferred by polls. May be called from any thread.
  std::int64_t bytes() const { return bytes_.load(); }

  // Replaces the set of polled backend servers. Call on the poller's thread.
  void SetBackends(std::map<std::string, polled_backend> backends);

 private:
  boost::asio::awaitable<void> PollLoop(polled_backend backend);
  boost::asio::awaitable<backend_report> Poll(const polled_backend& backend);

  base::duty& poll_thread_;
  const scheduler_settings& settings_;
  report_sink sink_;
  net::http_client http_;
  std::atomic<std::int64_t> bytes_ = 0;
  std::map<std::string, polled_backend> backends_;
};

}  // namespace valeledge::scheduler

#endif  // VALELEDGE_SCHEDULER_PROCESS_BACKEND_POLLER_H_
