// SPDX-License-Identifier: MIT
// State shared by all requests of one host. Must be used on the host's thread
// only.
#ifndef VALELEDGE_HOST_PROCESS_HOST_CORE_H_
#define VALELEDGE_HOST_PROCESS_HOST_CORE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "base/memory_budget.h"
#include "base/metrics.h"
#include "catalog/configuration.h"
#include "decisions/key_freshness.h"
#include "decisions/planned_stop.h"
#include "decisions/prompt_quarantine.h"
#include "decisions/quarantine.h"
#include "decisions/quarantine_trial.h"
#include "decisions/stream_origin.h"
#include "decisions/stream_separation.h"
#include "host/constants.h"
#include "host/external_protocol.h"
#include "host/host_settings.h"
#include "host/process/demand_tracker.h"
#include "host/process/engine_place.h"
#include "host/process/limit_wait.h"
#include "host/process/request_log.h"
#include "host/process/retry_budgets.h"
#include "host/process/server_registry.h"
#include "host/process/slot_handle.h"
#include "host/trial_reply.h"
#include "net/http_client.h"

namespace valeledge::host {

class path_monitor;

// What is known of the lease holder, which plans loads.
struct holder_view {
  // When its last update arrived.
  base::time_point heard_at;
  // It sends no orders before this.
  base::time_point orders_from;
};

struct host_core {
  host_core(boost::asio::io_context& context_in,
            host_settings settings_in,
            external_protocol protocol_in)
      : context(context_in),
        settings(std::move(settings_in)),
        protocol(std::move(protocol_in)),
        servers(settings.zone, settings.zone_regions),
        request_memory(std::make_shared<base::memory_budget>(
            settings.memory_bytes / kRequestMemoryDivisor)),
        response_memory(std::make_shared<base::memory_budget>(
            settings.memory_bytes / kResponseMemoryDivisor)),
        peer_memory(std::make_shared<base::memory_budget>(
            settings.memory_bytes / kPeerMemoryDivisor)),
        http(context, response_memory, protocol.request_id_field) {
    servers.SetStreamSeparation(settings.features.stream_separation);
  }

  boost::asio::io_context& context;
  // Time at which this object was constructed.
  const base::time_point started = std::chrono::steady_clock::now();
  host_settings settings;
  const external_protocol protocol;
  base::metrics metrics;
  request_log log{metrics};
  server_registry servers;
  demand_tracker demand;
  // What all requests hold that are being received or served, all responses
  // that are being read or passed on, and all frames from or to other hosts.
  const std::shared_ptr<base::memory_budget> request_memory;
  const std::shared_ptr<base::memory_budget> response_memory;
  const std::shared_ptr<base::memory_budget> peer_memory;
  net::http_client http;
  std::mt19937_64 random{std::random_device{}()};
  // The active configuration; null until the first one has been received.
  std::shared_ptr<const catalog::configuration> configuration;
  // How recent this host's knowledge of valid caller keys is.
  decisions::key_freshness freshness;
  retry_budgets retries{settings, metrics, started};
  // Monitors the network path to the servers; null if it is not monitored.
  path_monitor* paths = nullptr;
  // Requests under which backend servers crash.
  decisions::quarantine quarantine;
  // Prompt parts under which backend servers crash.
  decisions::prompt_quarantine prompts;
  // Number of events of the streams of each route.
  std::map<std::string, decisions::stream_length> stream_lengths;
  // Requests that were sent to another engine to keep long streams apart from
  // long prompts, since they were last logged.
  std::int64_t separated_prompts = 0;
  std::int64_t separated_streams = 0;
  // Origins of streams that began at this host or that other hosts have sent.
  decisions::stream_origins origins;
  // Sends the origin of a stream to other hosts. If unset, no host gets it.
  std::function<void(std::uint64_t stream,
                     const decisions::stream_origin& origin)>
      publish_origin;
  // Returns what this host and others know about the origin of a stream of the
  // service. `stream`: unset if the caller does not name the attempt that began
  // it. If unset, only `origins` is known.
  std::function<boost::asio::awaitable<decisions::origin_evidence>(
      std::optional<std::uint64_t> stream,
      std::string service)>
      find_origin;
  // Publishes that a server crashed while a request of this host was in
  // progress there.
  // `parts`: the shared parts of its prompt.
  std::function<void(std::uint64_t digest,
                     const decisions::server_crash& end,
                     const decisions::prompt_parts& parts)>
      server_crashed;
  // Publishes that a suspected request has been responded to completely.
  std::function<void(std::uint64_t digest)> suspect_completed;
  // Publishes that a server has run a request with these prompt parts.
  std::function<void(const decisions::prompt_parts& parts)> prompt_served;
  // Whether a request with the quarantined combination may be sent as a trial.
  // If unset, none may.
  std::function<trial_reply(const decisions::prompt_parts& combination)>
      begin_prompt_trial;
  // Handles that a server has closed the connection of a trial.
  std::function<void(const decisions::server_trial& trial)>
      prompt_trial_interrupted;
  holder_view holder;
  // Number of hosts that accept requests, including this one.
  std::int64_t hosts = 1;
  // Whether a newer snapshot of the store has been known for long without being
  // received. If so, an entry that is missing here may exist.
  std::function<bool()> is_stale = [] { return false; };
  // Set during a stop.
  std::optional<decisions::planned_stop> stop;
  // Each ends one request under way with a response of this host.
  std::list<std::function<void()>> final_responses;
  // Records the outcome of an attempt at an engine for its shared estimate. If
  // unset, none is shared.
  std::function<void(known_server& server,
                     const decisions::engine_observation& observation)>
      engine_observed;
  // Publishes that this host's load on a server has changed.
  std::function<void(const known_server& server)> load_changed;
  // Publishes that a stream has ended at a server, to the owner of its queue.
  // If unset, the next periodic report contains it.
  std::function<void(const known_server& server)> stream_ended;
  // Waits in the queue of a model's engines until an engine is granted. If
  // unset, hosts select engines by themselves.
  std::function<boost::asio::awaitable<engine_place_result>(
      engine_place_request request)>
      acquire_engine;
  // Publishes to all hosts which servers have begun or ceased to have a queue
  // that this host owns. If unset, the periodic reports contain it.
  std::function<void(const std::vector<std::shared_ptr<known_server>>& servers)>
      queues_changed;
  // Returns the host that owns the queue of an engine; nothing if there is none
  // or it is this host.
  std::function<std::optional<base::endpoint>(const known_server& server)>
      queue_owner;
  // Charges the cost of a request to the limit of its workspace. Returns an
  // error if the request may not be sent. `wait`: if unset, this is decided at
  // once.
  std::function<boost::asio::awaitable<base::result<void>>(
      std::string workspace,
      double count,
      std::optional<limit_wait> wait)>
      acquire_limit;
  // Refunds the cost of a request that did not run and never will.
  std::function<void(const std::string& workspace, double count)> release_limit;
  // Waits for a slot at a server of a plain service. Returns null if this host
  // selects the server itself. If unset, it always does.
  std::function<boost::asio::awaitable<
      base::result<std::shared_ptr<slot_handle>>>(slot_request request)>
      acquire_slot;
  // Requests a permit to send one request to a server that advertises a limit.
  // Returns false if none is available now. If unset, none ever is.
  std::function<boost::asio::awaitable<bool>(
      std::shared_ptr<known_server> server,
      std::int64_t priority)>
      acquire_permit;
  // Publishes that a server that tolerates few rejections has rejected a
  // request.
  std::function<void(const known_server& server)> server_full;
  // Publishes that a response has changed the known limit of a server.
  std::function<void(const known_server& server)> limit_changed;
  // Requests the lease holder to load an adapter, on an engine of the software
  // version if one is given. Returns the instance that has loaded it, or an
  // error.
  std::function<boost::asio::awaitable<base::result<std::string>>(
      std::string service,
      std::string model,
      std::string adapter,
      std::optional<std::string> software,
      std::chrono::milliseconds timeout)>
      request_adapter;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_HOST_CORE_H_
