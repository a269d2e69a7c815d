// SPDX-License-Identifier: MIT
// Watches whether this host reaches the backend servers of each service.
#ifndef VALELEDGE_HOST_PROCESS_PATH_MONITOR_H_
#define VALELEDGE_HOST_PROCESS_PATH_MONITOR_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "decisions/path_health.h"
#include "host/process/known_server.h"

namespace valeledge::host {

struct host_core;

// An attempt in progress at a backend server.
struct tracked_attempt {
  std::shared_ptr<known_server> server;
  // When it was begun, was sent, or last received data.
  base::time_point last_activity;
  bool is_connecting = true;
};

class path_monitor {
 public:
  explicit path_monitor(host_core& core) : core_(core) {}

  void Start();

  // Tracks an attempt until the returned object is destroyed.
  std::shared_ptr<tracked_attempt> Track(std::shared_ptr<known_server> server);

  // Record the progress of an attempt.
  void OnSent(tracked_attempt& attempt);
  void OnReceived(tracked_attempt& attempt);
  void OnConnectFailed(const tracked_attempt& attempt);
  // The connection broke while the response was awaited.
  void OnBrokenOff(const tracked_attempt& attempt);

  // Whether this host reaches no server of the service.
  bool IsLost(const std::string& service) const;

  // Number of services to which the path is lost.
  std::int64_t CountLost() const;

  // Starts the probes that are due. Called by the monitor several times a
  // second.
  void Tick(base::time_point now);

 private:
  struct service_path {
    decisions::path_health health;
    std::vector<std::weak_ptr<tracked_attempt>> attempts;
    bool is_probing = false;
  };

  boost::asio::awaitable<void> TickLoop();
  void StartProbes(const std::string& service, base::time_point now);
  // Opens a connection to each of the servers, at the same time. `known`: the
  // number of servers of the service.
  void Probe(const std::string& service,
             std::vector<base::endpoint> servers,
             std::size_t known);
  void OnProbed(const std::string& service,
                std::size_t tried,
                std::size_t reached,
                std::size_t known);
  // Addresses of the servers of a service, in random order.
  std::vector<base::endpoint> ServersOf(const std::string& service) const;

  host_core& core_;
  std::map<std::string, service_path, std::less<>> paths_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_PATH_MONITOR_H_
