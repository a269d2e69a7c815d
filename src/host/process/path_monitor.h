// SPDX-License-Identifier: MIT
// Watches whether this host reaches the backend servers of each service, and
// finds other hosts that do while it does not.
#ifndef VALELEDGE_HOST_PROCESS_PATH_MONITOR_H_
#define VALELEDGE_HOST_PROCESS_PATH_MONITOR_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/error.h"
#include "decisions/path_health.h"
#include "decisions/relay_peers.h"
#include "host/process/known_server.h"
#include "wire/generated/messages_types.h"

namespace valeledge::host {

struct host_core;

// An attempt in progress at a backend server.
struct tracked_attempt {
  std::shared_ptr<known_server> server;
  // When it was begun, was sent, or last received data.
  base::time_point last_activity;
  bool is_connecting = true;
  // Whether the request may be sent again after it was sent.
  bool may_repeat = false;
  // Ends the attempt, which then fails.
  std::function<void()> interrupt;
};

// Dependencies of path_monitor, called on the host's thread.
struct path_callbacks {
  // Returns up to `count` other hosts, selected at random from this host's
  // availability zone or from all others.
  std::function<std::vector<base::endpoint>(bool same_zone, std::size_t count)>
      sample_peers;
  std::function<boost::asio::awaitable<base::result<wire::envelope>>(
      base::endpoint where,
      wire::envelope call,
      std::chrono::microseconds timeout)>
      call;
};

// How a request of this host can reach the servers of a service.
enum class path_state {
  kDirect,
  // It is being found out whether this or another host reaches the servers.
  kUndecided,
  // Through another host.
  kThroughPeer,
  // Neither directly nor, as far as this host knows, through another one.
  kUnreachable,
};

class path_monitor {
 public:
  path_monitor(host_core& core, path_callbacks callbacks)
      : core_(core), callbacks_(std::move(callbacks)) {}

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

  // Whether failures of the service's servers may be due to the path.
  bool IsSuspected(const std::string& service) const;
  // Whether connections that broke at the given time may be due to the path.
  bool MayBePathLoss(const std::string& service, base::time_point at) const;

  // Returns another host that reaches the servers while this one does not;
  // nothing if the path is not lost or no such host is known. `near`: one of
  // this availability zone is preferred.
  std::optional<decisions::relay_peer> ChooseRelay(const std::string& service,
                                                   bool near);
  void OnRelayFailed(const std::string& service,
                     const base::endpoint& relay_address);
  // `failed_before`: an attempt of the request has failed. Such a request does
  // not use up its attempts while the path is merely suspected.
  path_state StateOf(const std::string& service, bool failed_before);
  // Whether the path to any service with models has been lost for so long while
  // another host reaches its servers.
  bool CannotPlaceModels(std::chrono::milliseconds lost_for) const;

  // Answers another host: whether a server has served this one since the other
  // one's connections fail. If that is not known, probes are sent first.
  // `relay_port`: where this host takes relayed requests; 0 if it takes none.
  boost::asio::awaitable<wire::path_reply> HandleRequest(
      wire::path_question question,
      std::uint16_t relay_port);

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
    // Cancelled at the end of each round of probes; null until one is awaited.
    std::shared_ptr<boost::asio::steady_timer> round_ended;
    // Servers that have been probed in vain since any was reached.
    std::set<base::endpoint> unreached;
    decisions::relay_peers relays;
    // When other hosts were last asked, how many of them have not replied, and
    // whether all of a round have since the path was lost.
    base::time_point peers_asked_at;
    std::size_t peers_pending = 0;
    bool peers_known = false;
  };

  boost::asio::awaitable<void> TickLoop();
  void StartProbes(const std::string& service, base::time_point now);
  // Sends up to `wanted` probes.
  void StartRound(const std::string& service, std::size_t wanted);
  // Waits for the end of the present round of probes, or of a new one.
  boost::asio::awaitable<void> AwaitRound(std::string service);
  // Opens a connection to each of the servers, at the same time. `known`: the
  // number of servers of the service.
  void Probe(const std::string& service,
             const std::vector<base::endpoint>& servers,
             std::size_t known);
  void OnProbed(const std::string& service,
                const std::vector<base::endpoint>& probed,
                bool reached,
                std::size_t known);
  void OnRegained(const std::string& service);
  // Asks other hosts whether they reach the servers.
  void AskPeers(const std::string& service, base::time_point now);
  boost::asio::awaitable<void> AskPeer(std::string service,
                                       base::endpoint peer,
                                       bool same_zone);
  // Ends attempts that wait for the lost path, if their requests can be sent
  // through another host.
  void InterruptAttempts(const std::string& service, base::time_point now);
  // Addresses of the servers of a service in random order, those that have not
  // been probed in vain first.
  std::vector<base::endpoint> ServersToProbe(const std::string& service) const;
  bool AreAllUnreached(const std::string& service) const;

  host_core& core_;
  path_callbacks callbacks_;
  std::map<std::string, service_path, std::less<>> paths_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_PATH_MONITOR_H_
