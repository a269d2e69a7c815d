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
#include "host/process/crash_reports.h"
#include "host/process/engine_estimate_service.h"
#include "host/process/host_callbacks.h"
#include "host/process/host_core.h"
#include "host/process/host_gauges.h"
#include "host/process/key_freshness_monitor.h"
#include "host/process/lease_succession.h"
#include "host/process/load_reports.h"
#include "host/process/owner_services.h"
#include "host/process/path_monitor.h"
#include "host/process/peer_link.h"
#include "host/process/peer_messages.h"
#include "host/process/placement_controller.h"
#include "host/process/prompt_quarantine_coordinator.h"
#include "host/process/quarantine_coordinator.h"
#include "host/process/server_limits.h"
#include "host/process/settings_reloader.h"
#include "host/process/shutdown_controller.h"
#include "host/process/snapshot_service.h"
#include "host/process/store_mirror.h"
#include "host/process/store_update_handler.h"
#include "host/process/stream_origin_service.h"
#include "host/request/failure_response.h"
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
  bool FollowsStore();
  void OnRevisionAdvanced();
  bool ReceivesLoadAtOnce(const std::string& instance);
  decisions::cold_share ColdShare();
  bool IsReady() const;
  void AnnounceFull(const known_server& server);
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
  crash_reports crash_reports_;
  load_reports loads_;
  net::http_server callers_;
  net::http_server relays_;
  net::http_server readiness_;
  net::http_server metrics_;
  shutdown_controller shutdown_;
  settings_reloader reloader_;
  std::int64_t max_hosts_ = 1;
  bool has_server_list_ = false;
  peer_message_services messages_;
};

host::host(asio::io_context& context,
           host_settings settings,
           external_protocol protocol,
           const store_factory& make_store,
           settings_reader reload_settings)
    : core_(context, std::move(settings), std::move(protocol)),
      store_(make_store(context, core_.settings)),
      store_updates_(core_,
                     MakeStoreUpdateCallbacks(callers_,
                                              relays_,
                                              peers_,
                                              quarantine_,
                                              prompt_quarantine_)),
      mirror_(context,
              *store_,
              core_.protocol.keys.watched_prefix,
              {[this] { return FollowsStore(); },
               [this](const auto& key, const auto& value) {
                 store_updates_.Put(key, value);
               },
               [this](const auto& key, auto lapsed_until) {
                 store_updates_.Remove(key, lapsed_until);
               },
               [this](auto requested_at) {
                 freshness_.OnMirrorComplete(requested_at);
               },
               [this](std::int64_t revision) {
                 OnRevisionAdvanced();
                 peers_.AnnounceRevision(revision);
                 snapshots_.OnRevisionAdvanced();
                 freshness_.OnRevisionAdvanced();
               },
               [this] { return peers_.KnowsOthers(); }}),
      peers_(context,
             core_.settings,
             {[this](const auto& record) { HandleRecord(messages_, record); },
              [this] { core_.hosts = peers_.CountServing(); },
              [this] { owner_services_.OnMemberJoined(); },
              [this](const base::endpoint& peer, bool same_zone) {
                snapshots_.OnNewerSnapshot(peer, same_zone);
              },
              [this](wire::envelope call) {
                return HandleCall(messages_, std::move(call));
              }},
             core_.peer_memory),
      paths_(core_, MakePathCallbacks(peers_)),
      snapshots_(core_, mirror_, peers_),
      quarantine_(core_, *store_, MakeQuarantineCallbacks(peers_)),
      prompt_quarantine_(core_, *store_, MakePromptQuarantineCallbacks(peers_)),
      freshness_(core_, *store_, MakeKeyFreshnessCallbacks(peers_, mirror_)),
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
      succession_(core_, MakeLeaseSuccessionCallbacks(lease_, peers_, mirror_)),
      placement_(core_, lease_, peers_),
      server_limits_(
          core_,
          MakeServerLimitCallbacks(lease_, succession_, placement_, peers_)),
      stream_origins_(core_, MakeStreamOriginCallbacks(core_, peers_, mirror_)),
      engine_estimates_(core_, MakeEngineEstimateCallbacks(peers_)),
      crash_reports_(core_, paths_, quarantine_, prompt_quarantine_),
      loads_(core_, peers_, mirror_, placement_),
      callers_(
          context,
          {},
          [this](net::http_request& request, net::http_responder& responder) {
            return RelayRequest(core_, request, responder,
                                request_origin::kCaller);
          },
          MakeErrorResponse,
          core_.request_memory),
      relays_(
          context,
          {},
          [this](net::http_request& request, net::http_responder& responder) {
            return RelayRequest(core_, request, responder,
                                request_origin::kPeer);
          },
          MakeRelayedErrorResponse,
          core_.request_memory),
      readiness_(
          context,
          {},
          [this](net::http_request&,
                 net::http_responder& responder) -> asio::awaitable<void> {
            auto response = net::MakeJsonResponse(IsReady() ? 200 : 503, "{}");
            co_await responder.Send(std::move(response));
          },
          MakeErrorResponse,
          core_.request_memory),
      metrics_(
          context,
          {},
          [this](net::http_request&,
                 net::http_responder& responder) -> asio::awaitable<void> {
            UpdateGauges(core_, {callers_, paths_, mirror_, snapshots_, lease_,
                                 peers_, *store_});
            net::http_response response(boost::beast::http::status::ok, 11);
            response.set(boost::beast::http::field::content_type, "text/plain");
            response.body() = core_.metrics.Render();
            co_await responder.Send(std::move(response));
          },
          MakeErrorResponse,
          core_.request_memory),
      shutdown_(core_,
                callers_,
                relays_,
                [this] {
                  lease_.Resign();
                  peers_.AnnounceLeaving();
                }),
      reloader_(core_,
                std::move(reload_settings),
                [this] { peers_.SetSeeds(core_.settings.seeds); }),
      messages_{core_,
                peers_,
                paths_,
                snapshots_,
                quarantine_,
                prompt_quarantine_,
                freshness_,
                owner_services_,
                succession_,
                placement_,
                server_limits_,
                stream_origins_,
                engine_estimates_,
                loads_,
                shutdown_} {
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
  relays_.RepeatField(core_.protocol.request_id_field);
  const auto relays = relays_.Start(core_.settings.relay_listen);
  // The host serves its own callers without it.
  if (relays)
    messages_.relay_port = relays->port;
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

void host::AnnounceFull(const known_server& server) {
  wire::full_server news;
  news.server = server.entry.instance;
  news.rejections_per_second = *server.rejections_tolerated;
  peers_.Broadcast(std::string(kFullRecord), [&news](bool hand_on) {
    news.__set_hand_on(hand_on);
    return wire::Encode(news);
  });
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

bool host::FollowsStore() {
  return !shutdown_.stopping() &&
         peers_.IsChosen(std::string(kStoreFollowerSubject), kFollowersPerZone,
                         peer_link::scope::kZone, membership::kHighBandwidth);
}

// Each holder of the lease leaves a key behind, so the fleet has run before if
// there is one already.
void host::OnRevisionAdvanced() {
  if (std::exchange(has_server_list_, true))
    return;
  stream_origins_.OnFirstServerList(
      mirror_.Value(std::string(store::kFormerLeaderKey)).has_value());
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
