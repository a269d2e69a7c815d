// SPDX-License-Identifier: MIT
// What the requests of one host share. Lives on the host's thread.
#ifndef VALELEDGE_HOST_PROCESS_HOST_CORE_H_
#define VALELEDGE_HOST_PROCESS_HOST_CORE_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "base/metrics.h"
#include "catalog/configuration.h"
#include "decisions/key_certainty.h"
#include "decisions/quarantine.h"
#include "host/dialect.h"
#include "host/host_settings.h"
#include "host/process/dealt_place.h"
#include "host/process/demand_meter.h"
#include "host/process/request_log.h"
#include "host/process/retry_budgets.h"
#include "host/process/server_registry.h"
#include "net/http_client.h"

namespace valeledge::host {

struct host_core {
  host_core(boost::asio::io_context& context_in,
            host_settings settings_in,
            dialect protocol_in)
      : context(context_in),
        settings(std::move(settings_in)),
        protocol(std::move(protocol_in)),
        servers(settings.zone, settings.zone_regions),
        http(context) {}

  boost::asio::io_context& context;
  // Now, when the host was made.
  const base::time_point started = std::chrono::steady_clock::now();
  host_settings settings;
  const dialect protocol;
  base::metrics metrics;
  request_log log{metrics};
  server_registry servers;
  demand_meter demand;
  net::http_client http;
  std::mt19937_64 random{std::random_device{}()};
  // The configuration in force; null before the first one is known.
  std::shared_ptr<const catalog::configuration> configuration;
  // How old the certainty is with which this host knows which keys are good.
  decisions::key_certainty freshness;
  retry_budgets retries{settings, metrics, started};
  // Requests under which servers end.
  decisions::quarantine quarantine;
  // A server has ended while a request of this host was there; tells the
  // others.
  std::function<void(std::uint64_t digest, const decisions::server_end& end)>
      server_crashed;
  // A request that was suspected has been answered whole; tells the others.
  std::function<void(std::uint64_t digest)> suspect_completed;
  // Hosts that take requests, this one included.
  std::int64_t hosts = 1;
  // Whether a newer copy of the store has been known of for long that has not
  // come: what is not known here may exist.
  std::function<bool()> is_stale = [] { return false; };
  // Set once this host stops soon: what may last longer is refused.
  std::optional<base::time_point> stops_at;
  // What this host has under way at a server has changed; tells the others.
  std::function<void(const known_server& server)> load_changed;
  // Takes what a request counts from the limit of its workspace; the reason why
  // it may not be sent.
  std::function<boost::asio::awaitable<base::result<void>>(
      std::string workspace,
      double count)>
      acquire_limit;
  // A request that was taken from a limit has not run, and never will.
  std::function<void(const std::string& workspace, double count)> release_limit;
  // Waits for a place at a server of a plain service; nothing if this host
  // chooses by itself. Unset: it always does.
  std::function<boost::asio::awaitable<
      base::result<std::shared_ptr<dealt_place>>>(place_request request)>
      acquire_slot;
  // Asks for a permit to send one request to a server that advertises a limit;
  // false if there is none now. Unset: there never is.
  std::function<boost::asio::awaitable<bool>(
      std::shared_ptr<known_server> server,
      std::int64_t priority)>
      acquire_permit;
  // A response has changed what is known of a server's limit; tells the others.
  std::function<void(const known_server& server)> limit_changed;
  // Has an adapter loaded by the holder of the lease; the instance that holds
  // it then, or the reason why none does.
  std::function<boost::asio::awaitable<base::result<std::string>>(
      std::string service,
      std::string model,
      std::string adapter,
      std::chrono::milliseconds timeout)>
      request_adapter;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_HOST_CORE_H_
