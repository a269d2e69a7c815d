// SPDX-License-Identifier: MIT
#include "host/process/host.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

#include "base/logging.h"
#include "decisions/cold_start.h"
#include "decisions/lease_delay.h"
#include "host/constants.h"
#include "host/process/engine_estimate_service.h"
#include "host/process/host_core.h"
#include "host/process/key_freshness_monitor.h"
#include "host/process/lease_succession.h"
#include "host/process/load_reports.h"
#include "host/process/owner_services.h"
#include "host/process/path_monitor.h"
#include "host/process/peer_link.h"
#include "host/process/placement_controller.h"
#include "host/process/prompt_quarantine_coordinator.h"
#include "host/process/quarantine_coordinator.h"
#include "host/process/response_updates.h"
#include "host/process/server_limits.h"
#include "host/process/settings_reloader.h"
#include "host/process/shutdown_controller.h"
#include "host/process/snapshot_service.h"
#include "host/process/store_mirror.h"
#include "host/process/store_update_handler.h"
#include "host/process/stream_origin_service.h"
#include "host/request/http_forwarding.h"
#include "host/request/relay.h"
#include "net/http_server.h"
#include "store/constants.h"
#include "store/lease_keeper.h"
#include "wire/codec.h"

namespace valeledge::host {

namespace {

namespace asio = boost::asio;
using base::log_event;
using std::chrono::milliseconds;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view kCategory = "host";

// Followers of the store in each availability zone, preferably hosts with wide
// links: on a link of 10 Mbit/s a configuration of 4,250 routes takes 0.8 s to
// receive from the store, and each compressed snapshot of it takes 0.04 s to
// send.
constexpr std::string_view kStoreFollowerSubject = "follow/store";
constexpr std::size_t kFollowersPerZone = 1;

// Candidates for reading the store on behalf of other hosts. One of them reads;
// the next one is tried if it does not respond.
constexpr std::string_view kStoreReaderSubject = "read/store";
constexpr std::size_t kReaders = 4;

// Subject of the hosts that watch the lease holder.
constexpr std::string_view kLeaseWitnessSubject = "lease/witness";

// Key of the record with a server that has rejected a request.
constexpr std::string_view kFullRecord = "full";

// Reported in metrics for an unknown age.
constexpr std::int32_t kUnknownAge = -1;

// Space for the header fields that hosts add to a relayed request.
constexpr std::int64_t kRelayFieldBytes = 4 * 1024;

// A server crash is reported after this delay, in which it turns out whether
// the connections of other servers broke as well.
constexpr milliseconds kCrashReportDelay{100};

// Any newer entry of a server is known within this time of the last response of
// the store.
constexpr milliseconds kMaxServerListAge{2000};

// The lease is released after this time without a path to the engines or
// without replies from most witnesses.
constexpr milliseconds kMaxUnableHolder{1000};

// By this time after its start a host knows the other hosts.
constexpr milliseconds kDiscoveryPeriod{5000};

// Upper bound on the delay of log lines, so that an engineer who follows the
// log sees recent events.
constexpr milliseconds kLogFlushInterval{1000};

class host {
 public:
  host(asio::io_context& context,
       host_settings settings,
       external_protocol protocol,
       const store_factory& make_store,
       settings_reader reload_settings);

  base::result<void> Start();

 private:
  store_update_callbacks MakeStoreUpdateCallbacks();
  void HandleRecord(const membership::direct_record& record);
  bool FollowsStore();
  bool ReceivesLoadAtOnce(const std::string& instance);
  decisions::cold_share ColdShare();
  bool IsReady() const;
  server_limit_callbacks MakeServerLimitCallbacks();
  path_callbacks MakePathCallbacks();
  stream_origin_callbacks MakeStreamOriginCallbacks();
  lease_succession_callbacks MakeLeaseSuccessionCallbacks();
  engine_estimate_callbacks MakeEngineEstimateCallbacks();
  void AnnounceFull(const known_server& server);
  bool IsServerListCurrent() const;
  asio::awaitable<void> ReportCrash(std::uint64_t digest,
                                    decisions::server_crash crash,
                                    decisions::prompt_parts parts);
  void HandlePromptUpdate(const std::string& value);
  prompt_quarantine_callbacks MakePromptQuarantineCallbacks();
  void UpdateGauges();
  asio::awaitable<wire::envelope> HandleCall(wire::envelope call);
  asio::awaitable<void> ReportLoop();

  host_core core_;
  std::unique_ptr<store::kv_client> store_;
  store_update_handler store_updates_;
  store_mirror mirror_;
  peer_link peers_;
  path_monitor paths_;
  snapshot_service snapshots_;
  quarantine_coordinator quarantine_;
  prompt_quarantine_coordinator prompt_quarantine_;
  key_freshness_monitor freshness_;
  owner_services owner_services_;
  store::lease_keeper lease_;
  lease_succession succession_;
  placement_controller placement_;
  server_limits server_limits_;
  stream_origin_service stream_origins_;
  engine_estimate_service engine_estimates_;
  load_reports loads_;
  net::http_server callers_;
  net::http_server relays_;
  net::http_server readiness_;
  net::http_server metrics_;
  shutdown_controller shutdown_;
  settings_reloader reloader_;
  std::int64_t max_hosts_ = 1;
  // Where other hosts relay requests to; 0 if this could not be opened.
  std::uint16_t relay_port_ = 0;
};

host::host(asio::io_context& context,
           host_settings settings,
           external_protocol protocol,
           const store_factory& make_store,
           settings_reader reload_settings)
    : core_(context, std::move(settings), std::move(protocol)),
      store_(make_store(context, core_.settings)),
      store_updates_(core_, MakeStoreUpdateCallbacks()),
      mirror_(context,
              *store_,
              core_.protocol.keys.watched_prefix,
              {[this] { return FollowsStore(); },
               [this](const auto& key, const auto& value) {
                 store_updates_.Put(key, value);
               },
               [this](const auto& key, bool lapsed) {
                 store_updates_.Remove(key, lapsed);
               },
               [this](auto requested_at) {
                 freshness_.OnMirrorComplete(requested_at);
               },
               [this](std::int64_t revision) {
                 peers_.AnnounceRevision(revision);
                 snapshots_.OnRevisionAdvanced();
                 freshness_.OnRevisionAdvanced();
               },
               [this] { return peers_.KnowsOthers(); }}),
      peers_(context,
             core_.settings,
             {[this](const auto& record) { HandleRecord(record); },
              [this] { core_.hosts = peers_.CountServing(); },
              [this] { owner_services_.OnMemberJoined(); },
              [this](const base::endpoint& peer, bool same_zone) {
                snapshots_.OnNewerSnapshot(peer, same_zone);
              },
              [this](wire::envelope call) {
                return HandleCall(std::move(call));
              }}),
      paths_(core_, MakePathCallbacks()),
      snapshots_(core_, mirror_, peers_),
      quarantine_(core_,
                  *store_,
                  {[this](const auto& value, const auto& recipients) {
                     peers_.Send(std::string(kCrashesRecord), value,
                                 recipients);
                   },
                   [this](const std::string& subject) {
                     return peers_.IsChosen(subject, 1, peer_link::scope::kAll);
                   }}),
      prompt_quarantine_(core_, *store_, MakePromptQuarantineCallbacks()),
      freshness_(
          core_,
          *store_,
          {[this](const base::endpoint& to,
                  std::string_view record,
                  std::string value) {
             peers_.Send(std::string(record), std::move(value), {0, {}, to});
           },
           [this] {
             return peers_.ChosenAddresses(std::string(kStoreReaderSubject),
                                           kReaders,
                                           membership::kHighBandwidth);
           },
           [this] { return mirror_.revision(); }}),
      owner_services_(core_, peers_),
      lease_(
          context,
          *store_,
          base::ToString(core_.settings.peer_listen),
          core_.settings.lease_length,
          [this] {
            // A holder with this host's own address is an earlier process of
            // this host that has stopped.
            const auto holder = mirror_.Value(std::string(store::kLeaderKey));
            return mirror_.IsCurrent() && !shutdown_.stopping() &&
                   (!holder ||
                    *holder == base::ToString(core_.settings.peer_listen) ||
                    succession_.IsHolderLost());
          },
          core_.settings.first_start),
      succession_(core_, MakeLeaseSuccessionCallbacks()),
      placement_(core_, lease_, peers_),
      server_limits_(core_, MakeServerLimitCallbacks()),
      stream_origins_(core_, MakeStreamOriginCallbacks()),
      engine_estimates_(core_, MakeEngineEstimateCallbacks()),
      loads_(core_, peers_, mirror_, placement_),
      callers_(
          context,
          {},
          [this](net::http_request& request, net::http_responder& responder) {
            return RelayRequest(core_, request, responder,
                                request_origin::kCaller);
          },
          MakeErrorResponse),
      relays_(
          context,
          {},
          [this](net::http_request& request, net::http_responder& responder) {
            return RelayRequest(core_, request, responder,
                                request_origin::kPeer);
          },
          MakeErrorResponse),
      readiness_(
          context,
          {},
          [this](net::http_request&,
                 net::http_responder& responder) -> asio::awaitable<void> {
            auto response = net::MakeJsonResponse(IsReady() ? 200 : 503, "{}");
            co_await responder.Send(std::move(response));
          },
          MakeErrorResponse),
      metrics_(
          context,
          {},
          [this](net::http_request&,
                 net::http_responder& responder) -> asio::awaitable<void> {
            UpdateGauges();
            net::http_response response(boost::beast::http::status::ok, 11);
            response.set(boost::beast::http::field::content_type, "text/plain");
            response.body() = core_.metrics.Render();
            co_await responder.Send(std::move(response));
          },
          MakeErrorResponse),
      shutdown_(core_,
                callers_,
                relays_,
                [this] {
                  lease_.Resign();
                  peers_.AnnounceLeaving();
                }),
      reloader_(core_, std::move(reload_settings), [this] {
        peers_.SetSeeds(core_.settings.seeds);
      }) {
  lease_.SetTurn([this] {
    // The lease was left by an earlier process of this host, so there is no
    // other candidate to wait for.
    const bool own = mirror_.Value(std::string(store::kLeaderKey)) ==
                     base::ToString(core_.settings.peer_listen);
    std::uniform_real_distribution<double> distribution(0, 1);
    return own ? milliseconds(0)
               : decisions::LeaseAcquireDelay(core_.settings.cores,
                                              distribution(core_.random));
  });
  lease_.SetSuccession(
      [this](std::int64_t term) { return succession_.IsHolderLost(term); });
  placement_.SetOrderCheck([this] { return succession_.MaySendOrders(); });
  core_.paths = &paths_;
  core_.server_full = [this](const known_server& server) {
    AnnounceFull(server);
  };
  core_.load_changed = [this](const known_server& server) {
    loads_.ReportUsage(server);
  };
  core_.stream_ended = [this](const known_server& server) {
    loads_.ReportToQueueOwner(server);
  };
  core_.queues_changed = [this](const auto& servers) {
    loads_.ReportQueues(servers);
  };
  core_.server_crashed = [this](std::uint64_t digest,
                                const decisions::server_crash& end,
                                const decisions::prompt_parts& parts) {
    asio::co_spawn(core_.context, ReportCrash(digest, end, parts),
                   asio::detached);
  };
  core_.prompt_served = [this](const decisions::prompt_parts& parts) {
    prompt_quarantine_.OnServed(parts);
  };
  core_.begin_prompt_trial = [this](const decisions::prompt_parts& parts) {
    return prompt_quarantine_.BeginTrial(parts);
  };
  core_.prompt_trial_failed = [this](const decisions::prompt_parts& parts) {
    prompt_quarantine_.OnTrialFailed(parts);
  };
  core_.suspect_completed = [this](std::uint64_t digest) {
    quarantine_.OnCompletedResponse(digest);
  };
  core_.servers.SetReceivesDirectly([this](const std::string& instance) {
    return ReceivesLoadAtOnce(instance);
  });
  core_.servers.SetColdShare([this] { return ColdShare(); });
  core_.is_stale = [this] {
    return snapshots_.StaleFor() >= decisions::kStaleAfter;
  };
  core_.request_adapter =
      [this](std::string service, std::string model, std::string adapter,
             std::optional<std::string> software, milliseconds timeout) {
        return placement_.RequestAdapter(std::move(service), std::move(model),
                                         std::move(adapter),
                                         std::move(software), timeout);
      };
}

base::result<void> host::Start() {
  const auto readiness = readiness_.Start(core_.settings.readiness_listen);
  if (!readiness)
    return tl::make_unexpected(readiness.error());
  const auto callers = callers_.Start(core_.settings.caller_listen);
  if (!callers)
    return tl::make_unexpected(callers.error());
  if (core_.settings.metrics_listen) {
    const auto metrics = metrics_.Start(*core_.settings.metrics_listen);
    // The host serves without metrics, because callers have priority.
    if (!metrics) {
      base::Log(kCategory, log_event::kListenFailed,
                {{"reason", metrics.error().message}});
    }
  }
  const auto peers = peers_.Start();
  if (!peers)
    return peers;
  const auto relays = relays_.Start(core_.settings.relay_listen);
  // The host serves its own callers without it.
  if (relays)
    relay_port_ = relays->port;
  else
    base::Log(kCategory, log_event::kListenFailed,
              {{"reason", relays.error().message}});
  mirror_.Start();
  lease_.Start();
  succession_.Start();
  placement_.Start();
  freshness_.Start();
  paths_.Start();
  asio::co_spawn(core_.context, ReportLoop(), asio::detached);
  shutdown_.Start();
  reloader_.Start();
  base::Log(kCategory, log_event::kProgramStarted,
            {{"host", core_.settings.name}});
  return {};
}

store_update_callbacks host::MakeStoreUpdateCallbacks() {
  store_update_callbacks callbacks;
  callbacks.configuration_changed =
      [this](const catalog::configuration& newer) {
        net::http_limits limits;
        limits.header_bytes = newer.limits.header_bytes;
        limits.body_bytes = newer.limits.body_bytes;
        limits.receive_timeout = newer.limits.header_timeout;
        limits.idle_timeout = newer.limits.idle_timeout;
        callers_.SetLimits(limits);
        // Other hosts keep idle connections for their own time.
        limits.idle_timeout = net::http_limits().idle_timeout;
        limits.header_bytes += kRelayFieldBytes;
        relays_.SetLimits(limits);
      };
  // The lease holder is the seed by which hosts that read the store discover
  // the others.
  callbacks.lease_holder_changed = [this](const base::endpoint& holder) {
    peers_.SetSeeds({holder});
  };
  callbacks.quarantine_key_put = [this](const std::string& key) {
    return quarantine_.PutKey(key) || prompt_quarantine_.PutKey(key);
  };
  callbacks.quarantine_key_removed = [this](const std::string& key,
                                            bool lapsed) {
    return quarantine_.RemoveKey(key, lapsed) ||
           prompt_quarantine_.RemoveKey(key, lapsed);
  };
  return callbacks;
}

server_limit_callbacks host::MakeServerLimitCallbacks() {
  server_limit_callbacks callbacks;
  callbacks.term = [this] {
    const std::int64_t term = lease_.CertainTerm();
    return term != 0 && succession_.MaySendOrders() ? term : 0;
  };
  callbacks.holder = [this] { return placement_.holder(); };
  callbacks.call = [this](base::endpoint where, wire::envelope call,
                          std::chrono::microseconds timeout) {
    return peers_.Call(std::move(where), std::move(call), timeout);
  };
  callbacks.broadcast = [this](wire::limit_news update) {
    peers_.Broadcast(std::string(kLimitsRecord), [&update](bool hand_on) {
      update.hand_on = hand_on;
      update.__isset.hand_on = hand_on;
      return wire::Encode(update);
    });
  };
  callbacks.broadcast_in_zone = [this](const wire::limit_news& update) {
    peers_.BroadcastInZone(std::string(kLimitsRecord), wire::Encode(update));
  };
  return callbacks;
}

void host::AnnounceFull(const known_server& server) {
  wire::full_server news;
  news.server = server.entry.instance;
  news.rejections_per_second = *server.rejections_tolerated;
  peers_.Broadcast(std::string(kFullRecord), [&news](bool hand_on) {
    news.__set_hand_on(hand_on);
    return wire::Encode(news);
  });
}

path_callbacks host::MakePathCallbacks() {
  path_callbacks callbacks;
  callbacks.sample_peers = [this](bool same_zone, std::size_t count) {
    return peers_.SampleServing(same_zone, count);
  };
  callbacks.call = [this](base::endpoint where, wire::envelope call,
                          std::chrono::microseconds timeout) {
    return peers_.Call(std::move(where), std::move(call), timeout);
  };
  return callbacks;
}

stream_origin_callbacks host::MakeStreamOriginCallbacks() {
  stream_origin_callbacks callbacks;
  callbacks.send = [this](std::string value, const std::string& subject,
                          std::size_t count) {
    peers_.Send(std::string(kOriginRecord), std::move(value),
                {count, subject, {}});
  };
  callbacks.owners = [this](const std::string& subject, std::size_t count) {
    auto owners = peers_.ChosenAddresses(subject, count);
    std::erase(owners, core_.settings.peer_listen);
    return owners;
  };
  callbacks.call = [this](base::endpoint where, wire::envelope call,
                          std::chrono::microseconds timeout) {
    return peers_.Call(std::move(where), std::move(call), timeout);
  };
  callbacks.is_view_current = [this] { return IsServerListCurrent(); };
  return callbacks;
}

lease_succession_callbacks host::MakeLeaseSuccessionCallbacks() {
  lease_succession_callbacks callbacks;
  callbacks.term = [this] { return lease_.CertainTerm(); };
  callbacks.selected = [this] {
    // The holder may be among the selected hosts, but is no witness.
    return peers_.ChosenAddresses(std::string(kLeaseWitnessSubject),
                                  decisions::kLeaseWitnesses + 1);
  };
  callbacks.holder = [this]() -> std::optional<base::endpoint> {
    const auto holder = mirror_.Value(std::string(store::kLeaderKey));
    return holder ? base::ParseEndpoint(*holder) : std::nullopt;
  };
  callbacks.send = [this](const base::endpoint& to, std::string_view record,
                          std::string value) {
    peers_.Send(std::string(record), std::move(value), {0, {}, to});
  };
  return callbacks;
}

engine_estimate_callbacks host::MakeEngineEstimateCallbacks() {
  engine_estimate_callbacks callbacks;
  callbacks.owner = [this](const std::string& instance) {
    return peers_.FirstHealthy(instance, 0);
  };
  callbacks.send = [this](const base::endpoint& to,
                          const wire::engine_observations& update) {
    peers_.Send(std::string(kObservationsRecord), wire::Encode(update),
                {0, {}, to});
  };
  callbacks.broadcast = [this](const wire::engine_estimates& update) {
    peers_.BroadcastEvenly(std::string(kEstimatesRecord),
                           [&update](bool hand_on) {
                             wire::engine_estimates sent = update;
                             if (hand_on)
                               sent.__set_hand_on(true);
                             return wire::Encode(sent);
                           });
  };
  callbacks.broadcast_in_zone = [this](const wire::engine_estimates& update) {
    peers_.BroadcastInZone(std::string(kEstimatesRecord), wire::Encode(update));
  };
  return callbacks;
}

bool host::IsServerListCurrent() const {
  const auto age = mirror_.Age();
  return mirror_.revision() > 0 && age && *age <= kMaxServerListAge &&
         !core_.is_stale();
}

asio::awaitable<void> host::ReportCrash(std::uint64_t digest,
                                        decisions::server_crash crash,
                                        decisions::prompt_parts parts) {
  const auto server = core_.servers.FindKey(crash.server);
  asio::steady_timer timer(core_.context, kCrashReportDelay);
  co_await timer.async_wait(kAwait);
  const bool is_path = server != nullptr &&
                       paths_.MayBePathLoss(server->entry.service, crash.at);
  if (is_path)
    core_.metrics.Counter("valeledge_crash_reports_dropped_total").Add();
  else
    quarantine_.OnServerCrash(digest, crash);
  // Several servers may crash together under requests with one part.
  const bool is_lost =
      server != nullptr && paths_.IsLost(server->entry.service);
  if (!is_lost && !parts.empty()) {
    const std::int32_t engine =
        server == nullptr ? 0 : KeyOf(base::ToString(server->entry.address));
    prompt_quarantine_.OnServerCrash({crash.server, crash.at, parts, engine});
  }
}

// Hosts that are no longer visible may still send requests.
decisions::cold_share host::ColdShare() {
  max_hosts_ = std::max(max_hosts_, peers_.CountKnown());
  decisions::cold_share share;
  share.hosts = max_hosts_;
  share.peers_known =
      std::chrono::steady_clock::now() - core_.started >= kDiscoveryPeriod;
  return share;
}

bool host::IsReady() const {
  // If this host cannot tell which keys are valid, callers are better served by
  // another one.
  return core_.configuration != nullptr && !shutdown_.stopping() &&
         !freshness_.IsStale();
}

void host::UpdateGauges() {
  const auto set = [this](std::string_view name, std::int64_t value) {
    core_.metrics.Gauge(name).Set(value);
  };
  set("valeledge_active_requests", callers_.active_requests());
  set("valeledge_caller_connections", callers_.connections());
  set("valeledge_hosts", core_.hosts);
  set("valeledge_backend_servers",
      static_cast<std::int64_t>(core_.servers.servers().size()));
  const server_registry& servers = core_.servers;
  set("valeledge_limited_servers", servers.Count(&known_server::IsLimited));
  set("valeledge_leaving_servers", servers.Count(&known_server::SaysLeaving));
  set("valeledge_backing_off_servers",
      servers.Count(&known_server::IsBackingOff));
  set("valeledge_lost_paths", paths_.CountLost());
  set("valeledge_configuration_version",
      core_.configuration == nullptr ? 0 : core_.configuration->version);
  set("valeledge_store_revision", mirror_.revision());
  set("valeledge_store_age_ms",
      mirror_.Age().value_or(milliseconds(kUnknownAge)).count());
  set("valeledge_held_requests",
      static_cast<std::int64_t>(decisions::CountQuarantined(
          core_.quarantine, std::chrono::steady_clock::now())));
  set("valeledge_held_prompt_parts",
      static_cast<std::int64_t>(
          decisions::QuarantinedCombinations(core_.prompts,
                                             std::chrono::steady_clock::now())
              .size()));
  set("valeledge_copy_behind_ms", snapshots_.StaleFor().count());
  const auto freshness =
      decisions::DataAge(core_.freshness, base::boot_clock::now());
  set("valeledge_key_certainty_ms",
      freshness.value_or(milliseconds(kUnknownAge)).count());
  set("valeledge_lease_term", lease_.CertainTerm());
  set("valeledge_peer_bytes", peers_.bytes());
  for (const auto& [kind, bytes] : peers_.sent_bytes())
    core_.metrics.Gauge("valeledge_told_bytes", kind).Set(bytes);
  set("valeledge_idle_connections", core_.http.idle_connections());
  set("valeledge_store_bytes", store_->bytes());
  set("valeledge_log_lines_dropped", base::LinesDropped());
}

void host::HandleRecord(const membership::direct_record& record) {
  if (loads_.HandleRecord(record) || succession_.HandleRecord(record))
    return;
  if (record.key == kCrashesRecord) {
    const auto update = wire::DecodeEndNews(record.value);
    if (update)
      quarantine_.HandleUpdate(*update);
  } else if (record.key == kPromptCrashesRecord) {
    HandlePromptUpdate(record.value);
  } else if (record.key == kReadRequestRecord) {
    const auto request = wire::DecodeStoreReading(record.value);
    if (request)
      freshness_.HandleReadRequest(record.sender_address, *request);
  } else if (record.key == kReadResponseRecord) {
    const auto response = wire::DecodeStoreReading(record.value);
    if (response)
      freshness_.HandleReadResponse(*response);
  } else if (record.key == kPlacementRecord) {
    const auto update = wire::DecodePlacementNews(record.value);
    if (update)
      placement_.ApplyUpdate(*update, record.sender_address);
  } else if (record.key == kFullRecord) {
    auto news = wire::DecodeFullServer(record.value);
    if (!news)
      return;
    ApplyFullServer(core_, *news);
    if (std::exchange(news->hand_on, false))
      peers_.BroadcastInZone(std::string(kFullRecord), wire::Encode(*news));
  } else if (record.key == kOriginRecord) {
    const auto origin = wire::DecodeStreamOrigin(record.value);
    if (origin)
      stream_origins_.HandleRecord(*origin);
  } else if (record.key == kObservationsRecord) {
    const auto update = wire::DecodeEngineObservations(record.value);
    if (update)
      engine_estimates_.HandleObservations(*update,
                                           std::chrono::steady_clock::now());
  } else if (record.key == kEstimatesRecord) {
    auto update = wire::DecodeEngineEstimates(record.value);
    if (update)
      engine_estimates_.HandleEstimates(std::move(*update),
                                        std::chrono::steady_clock::now());
  } else if (record.key == kLimitsRecord) {
    auto update = wire::DecodeLimitNews(record.value);
    if (update)
      server_limits_.HandleUpdate(std::move(*update));
  }
}

void host::HandlePromptUpdate(const std::string& value) {
  auto update = wire::DecodePromptQuarantineUpdate(value);
  if (!update)
    return;
  prompt_quarantine_.HandleUpdate(*update);
  if (std::exchange(update->hand_on, false)) {
    peers_.BroadcastInZone(std::string(kPromptCrashesRecord),
                           wire::Encode(*update));
  }
}

prompt_quarantine_callbacks host::MakePromptQuarantineCallbacks() {
  prompt_quarantine_callbacks callbacks;
  callbacks.send = [this](const wire::prompt_quarantine_update& update) {
    peers_.Send(std::string(kPromptCrashesRecord), wire::Encode(update),
                {kMaxReportRecipients, std::string(kPromptCrashesSubject), {}});
  };
  callbacks.broadcast = [this](const wire::prompt_quarantine_update& update) {
    peers_.Broadcast(std::string(kPromptCrashesRecord),
                     [&update](bool hand_on) {
                       wire::prompt_quarantine_update sent = update;
                       sent.hand_on = hand_on;
                       return wire::Encode(sent);
                     });
  };
  callbacks.is_first = [this] {
    return peers_.IsChosen(std::string(kPromptCrashesSubject), 1,
                           peer_link::scope::kAll);
  };
  return callbacks;
}

bool host::FollowsStore() {
  return !shutdown_.stopping() &&
         peers_.IsChosen(std::string(kStoreFollowerSubject), kFollowersPerZone,
                         peer_link::scope::kZone, membership::kHighBandwidth);
}

// The hosts chosen for a server receive the load reports of the other hosts for
// it at once. In a small fleet these are all hosts.
bool host::ReceivesLoadAtOnce(const std::string& instance) {
  const auto server = core_.servers.Find(instance);
  const std::size_t recipients = server == nullptr
                                     ? kMaxReportRecipients
                                     : loads_.CountDirectRecipients(*server);
  return peers_.IsChosen(instance, recipients, peer_link::scope::kAll);
}

asio::awaitable<wire::envelope> host::HandleCall(wire::envelope call) {
  wire::envelope reply;
  if (call.__isset.mirror_wanted) {
    reply = snapshots_.HandleRequest(call.mirror_wanted);
  } else if (owner_services::Handles(call)) {
    reply = co_await owner_services_.HandleCall(std::move(call));
  } else if (call.__isset.path_wanted) {
    const bool accepts =
        !shutdown_.stopping() && core_.configuration != nullptr;
    reply.__set_path(
        paths_.HandleRequest(call.path_wanted, accepts ? relay_port_ : 0));
  } else if (call.__isset.origin_wanted) {
    reply.__set_origin(stream_origins_.HandleQuestion(call.origin_wanted));
  } else if (call.__isset.permit_wanted) {
    reply.__set_permit(server_limits_.Grant(call.permit_wanted));
  } else if (call.__isset.limit_changed) {
    server_limits_.HandleLimitChange(call.limit_changed);
    reply.__set_done({});
  } else if (call.__isset.adapter_wanted) {
    const auto adapter = co_await placement_.HandleAdapterRequest(
        std::move(call.adapter_wanted));
    reply.__set_adapter(adapter);
  }
  co_return reply;
}

asio::awaitable<void> host::ReportLoop() {
  asio::steady_timer timer(core_.context);
  base::time_point flushed;
  while (true) {
    timer.expires_after(kLoadReportInterval);
    co_await timer.async_wait(kAwait);
    const auto now = std::chrono::steady_clock::now();
    core_.servers.RemoveExpired(now);
    core_.http.CloseStale();
    core_.demand.UpdateRates(now);
    owner_services_.Tick(now);
    server_limits_.Tick(now);
    stream_origins_.Tick(now);
    engine_estimates_.Tick(now);
    lease_.SetYielding(paths_.CannotPlaceModels(kMaxUnableHolder) ||
                       succession_.IsUnconfirmedFor(kMaxUnableHolder));
    quarantine_.Republish();
    prompt_quarantine_.Tick();
    core_.log.LogOmittedLines();
    core_.retries.LogUsage(core_.hosts, now);
    if (now - flushed >= kLogFlushInterval) {
      flushed = now;
      base::FlushLogging();
    }
    loads_.Report(FollowsStore());
    for (const std::string& name : peers_.TakeDeadHosts()) {
      core_.servers.ForgetHost(name);
      placement_.ForgetHost(name);
    }
  }
}

}  // namespace

base::result<void> RunHost(host_settings settings,
                           external_protocol protocol,
                           const store_factory& make_store,
                           settings_reader reload_settings) {
  // Never destroyed: coroutines that a stop interrupts belong to the event loop
  // and refer to the host, so neither can be destroyed before the other.
  static auto& context = *new asio::io_context(1);
  static auto& one =
      *new host(context, std::move(settings), std::move(protocol), make_store,
                std::move(reload_settings));
  const auto started = one.Start();
  if (!started)
    return started;
  context.run();
  return {};
}

}  // namespace valeledge::host
