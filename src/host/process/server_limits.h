// SPDX-License-Identifier: MIT
// Keeps the rate limits that backend servers advertise over all hosts: asks the
// holder of the lease for each request to such a server, and grants permits
// while this host is the holder.
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

// Key of the record in which the holder tells which servers are limited.
inline constexpr std::string_view kLimitsRecord = "limits";

// What the limits need of the rest of the host; runs on the host's thread.
struct server_limit_callbacks {
  // The term in which this host certainly holds the lease, 0 if it does not.
  std::function<std::int64_t()> term;
  // The holder of the lease, as far as is known.
  std::function<std::optional<base::endpoint>()> holder;
  std::function<boost::asio::awaitable<base::result<wire::envelope>>(
      base::endpoint where,
      wire::envelope call,
      std::chrono::microseconds timeout)>
      call;
  // Sends news to all other hosts, or to those of this availability zone.
  std::function<void(wire::limit_news update)> broadcast;
  std::function<void(const wire::limit_news& update)> broadcast_in_zone;
};

class server_limits {
 public:
  // Requests of the host use the limits through the core from now on.
  server_limits(host_core& core, server_limit_callbacks callbacks);

  // Whether one request may be sent to a server that advertises a limit. If
  // not, the server says until when it is closed to requests.
  boost::asio::awaitable<bool> Acquire(std::shared_ptr<known_server> server,
                                       std::int64_t priority);

  // Another host asks for a permit.
  wire::permit_reply Grant(const wire::permit_request& request);
  // Another host has seen a change of a limit.
  void HandleLimitChange(const wire::server_limit& changed);
  // The holder of the lease tells which servers are limited.
  void HandleUpdate(wire::limit_news update);

  // Drops what this host no longer grants, and publishes the limits. Call
  // several times a second.
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
  // Limits that this host grants permits of, by instance, and in which term.
  std::map<std::string, decisions::server_limiter, std::less<>> limiters_;
  std::int64_t term_ = 0;
  base::time_point published_;
  bool changed_ = false;
  // The holder did not reply, and is left alone until then.
  base::time_point holder_unresponsive_until_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_SERVER_LIMITS_H_
