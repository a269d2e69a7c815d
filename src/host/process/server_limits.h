// SPDX-License-Identifier: MIT
// Enforces the rate limits that backend servers advertise across all hosts:
// requests a permit from the lease holder for each request to such a server,
// and grants permits while this host is the lease holder.
#ifndef VALELEDGE_HOST_PROCESS_SERVER_LIMITS_H_
#define VALELEDGE_HOST_PROCESS_SERVER_LIMITS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>

#include "base/endpoint.h"
#include "decisions/server_limiter.h"
#include "host/process/host_core.h"
#include "wire/generated/messages_types.h"

namespace valeledge::host {

// Key of the record in which the lease holder publishes the limited servers.
inline constexpr std::string_view kLimitsRecord = "limits";

// Dependencies on other components; called on the host's thread.
struct server_limit_callbacks {
  // The term in which this host definitely holds the lease; 0 if it does not.
  std::function<std::int64_t()> term;
  // The lease holder, if known.
  std::function<std::optional<base::endpoint>()> holder;
  std::function<boost::asio::awaitable<base::result<wire::envelope>>(
      base::endpoint where,
      wire::envelope call,
      std::chrono::microseconds timeout)>
      call;
  // Sends an update to all other hosts, or to those of this availability zone.
  std::function<void(wire::limit_news update)> broadcast;
  std::function<void(const wire::limit_news& update)> broadcast_in_zone;
};

class server_limits {
 public:
  // The constructor installs the limits in the core for the host's requests.
  server_limits(host_core& core, server_limit_callbacks callbacks);

  // Whether one request may be sent to a server that advertises a limit. If
  // not, the server's `permit_retry_at` tells until when it receives no
  // requests.
  boost::asio::awaitable<bool> Acquire(std::shared_ptr<known_server> server,
                                       std::int64_t priority);

  // Handles another host's request for a permit.
  wire::permit_reply Grant(const wire::permit_request& request);
  // Handles a change of a limit that another host has observed.
  void HandleLimitChange(const wire::server_limit& changed);
  // Handles the lease holder's update about limited servers.
  void HandleUpdate(wire::limit_news update);

  // Discards limiters that are no longer needed and publishes the limits. Must
  // be called several times a second.
  void Tick(base::time_point now);

 private:
  boost::asio::awaitable<std::optional<wire::permit_reply>> RequestPermit(
      wire::permit_request request);
  boost::asio::awaitable<void> SendChange(wire::server_limit changed);
  void OnLimitChanged(const known_server& server);
  decisions::server_limiter& LimiterOf(const known_server& server,
                                       base::time_point now);
  void Publish(base::time_point now);
  void CountPermit(std::string_view how);

  host_core& core_;
  server_limit_callbacks callbacks_;
  // Limiters of the servers for which this host grants permits, by instance,
  // and the term they belong to.
  std::map<std::string, decisions::server_limiter, std::less<>> limiters_;
  std::int64_t term_ = 0;
  base::time_point published_;
  bool changed_ = false;
  // No requests are sent to the lease holder until then, since it did not
  // reply.
  base::time_point holder_unresponsive_until_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_SERVER_LIMITS_H_
