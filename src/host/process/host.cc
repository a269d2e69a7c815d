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
#include "decisions/lease_turn.h"
#include "host/constants.h"
#include "host/process/certainty_duty.h"
#include "host/process/copy_duty.h"
#include "host/process/host_core.h"
#include "host/process/load_reports.h"
#include "host/process/owner_duties.h"
#include "host/process/peer_link.h"
#include "host/process/placement_controller.h"
#include "host/process/quarantine_duty.h"
#include "host/process/reload_duty.h"
#include "host/process/server_limits.h"
#include "host/process/stop_duty.h"
#include "host/process/store_feed.h"
#include "host/process/store_mirror.h"
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

// Hosts of each availability zone that follow the store for the others, those
// with wide links if there are any: on a link of 10 Mbit/s a configuration of
// 4,250 routes takes 0.8 s from the store, and each packed copy of it 0.04 s.
constexpr std::string_view kFollowDuty = "follow/store";
constexpr std::size_t kFollowersPerZone = 1;

// Hosts that may be asked to read the store for others: one does, the others
// are asked in turn if it does not answer.
constexpr std::string_view kReadDuty = "read/store";
constexpr std::size_t kReaders = 4;

// Stands for an age that is not known.
constexpr std::int32_t kUnknownAge = -1;

// A host knows the others so long after its start.
constexpr milliseconds kHostsKnown{5000};

// Lines of the log are written at most so late: an engineer who follows the
// log should see what has just been.
constexpr milliseconds kLogDelay{1000};

class host {
 public:
  host(asio::io_context& context,
       host_settings settings,
       external_protocol speech,
       const store_factory& make_store,
       settings_reader reread);

  base::result<void> Start();

 private:
  store_feed_links FeedLinks();
  void TakeTold(const membership::direct_record& record);
  bool FollowsStore();
  bool IsWellKnown(const std::string& instance);
  decisions::cold_share ColdShare();
  bool IsReady() const;
  server_limit_links LimitLinks();
  void UpdateGauges();
  asio::awaitable<wire::envelope> Answer(wire::envelope call);
  asio::awaitable<void> ReportLoop();

  host_core core_;
  std::unique_ptr<store::kv_client> store_;
  store_feed feed_;
  store_mirror mirror_;
  peer_link peers_;
  copy_duty copies_;
  quarantine_duty quarantine_;
  certainty_duty certainty_;
  owner_duties owned_;
  store::lease_keeper lease_;
  placement_controller placement_;
  server_limits limits_;
  load_reports loads_;
  net::http_server callers_;
  net::http_server readiness_;
  net::http_server metrics_;
  stop_duty stop_;
  reload_duty reload_;
  std::int64_t most_hosts_ = 1;
};

host::host(asio::io_context& context,
           host_settings settings,
           external_protocol speech,
           const store_factory& make_store,
           settings_reader reread)
    : core_(context, std::move(settings), std::move(speech)),
      store_(make_store(context, core_.settings)),
      feed_(core_, FeedLinks()),
      mirror_(
          context,
          *store_,
          core_.speech.keys.watched_prefix,
          {[this] { return FollowsStore(); },
           [this](const auto& key, const auto& value) {
             feed_.Put(key, value);
           },
           [this](const auto& key, bool lapsed) { feed_.Remove(key, lapsed); },
           [this](auto asked) { certainty_.NoteComplete(asked); },
           [this](std::int64_t revision) {
             peers_.AnnounceRevision(revision);
             copies_.NoteAdvanced();
             certainty_.NoteRevision();
           },
           [this] { return peers_.KnowsOthers(); }}),
      peers_(context,
             core_.settings,
             {[this](const auto& record) { TakeTold(record); },
              [this] { core_.hosts = peers_.CountServing(); },
              [this] { owned_.NoteNewMember(); },
              [this](const base::endpoint& peer, bool same_zone) {
                copies_.HearNewer(peer, same_zone);
              },
              [this](wire::envelope call) { return Answer(std::move(call)); }}),
      copies_(core_, mirror_, peers_),
      quarantine_(core_,
                  *store_,
                  {[this](const auto& value, const auto& audience) {
                     peers_.Tell(std::string(kEndsRecord), value, audience);
                   },
                   [this](const std::string& subject) {
                     return peers_.IsChosen(subject, 1, peer_link::scope::kAll);
                   }}),
      certainty_(
          core_,
          *store_,
          {[this](const base::endpoint& to,
                  std::string_view record,
                  std::string value) {
             peers_.Tell(std::string(record), std::move(value), {0, {}, to});
           },
           [this] {
             return peers_.ChosenAddresses(std::string(kReadDuty), kReaders,
                                           membership::kHighBandwidth);
           },
           [this] { return mirror_.revision(); }}),
      owned_(core_, peers_),
      lease_(
          context,
          *store_,
          base::ToString(core_.settings.peer_listen),
          core_.settings.lease_length,
          [this] {
            // A holder of this host's own address is a process that has ended.
            const auto holder = mirror_.Value(std::string(store::kLeaderKey));
            return mirror_.IsCurrent() && !stop_.stopping() &&
                   (!holder ||
                    *holder == base::ToString(core_.settings.peer_listen));
          },
          core_.settings.first_start),
      placement_(core_, lease_, peers_),
      limits_(core_, LimitLinks()),
      loads_(core_, peers_, mirror_, placement_),
      callers_(
          context,
          {},
          [this](net::http_request& request, net::http_responder& responder) {
            return RelayRequest(core_, request, responder);
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
      stop_(core_,
            callers_,
            [this] {
              lease_.Resign();
              peers_.AnnounceLeaving();
            }),
      reload_(core_, std::move(reread), [this] {
        peers_.SetSeeds(core_.settings.seeds);
      }) {
  lease_.SetTurn([this] {
    // A process of this host that has ended left it: nobody else is waited for.
    const bool own = mirror_.Value(std::string(store::kLeaderKey)).has_value();
    std::uniform_real_distribution<double> any(0, 1);
    return own ? milliseconds(0)
               : decisions::LeaseTurn(core_.settings.cores, any(core_.random));
  });
  core_.use_changed = [this](const known_server& server) {
    loads_.ReportUse(server);
  };
  core_.server_ended = [this](std::uint64_t digest,
                              const decisions::server_end& end) {
    quarantine_.NoteEnd(digest, end);
  };
  core_.suspect_answered = [this](std::uint64_t digest) {
    quarantine_.NoteWhole(digest);
  };
  core_.servers.SetHearsAtOnce(
      [this](const std::string& instance) { return IsWellKnown(instance); });
  core_.servers.SetColdShare([this] { return ColdShare(); });
  core_.is_behind = [this] {
    return copies_.BehindFor() >= decisions::kBehindAfter;
  };
  core_.want_adapter = [this](std::string service, std::string model,
                              std::string adapter, milliseconds timeout) {
    return placement_.WantAdapter(std::move(service), std::move(model),
                                  std::move(adapter), timeout);
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
    // Serving goes on without: callers come first.
    if (!metrics) {
      base::Log(kCategory, log_event::kListenFailed,
                {{"reason", metrics.error().message}});
    }
  }
  const auto peers = peers_.Start();
  if (!peers)
    return peers;
  mirror_.Start();
  lease_.Start();
  placement_.Start();
  certainty_.Start();
  asio::co_spawn(core_.context, ReportLoop(), asio::detached);
  stop_.Start();
  reload_.Start();
  base::Log(kCategory, log_event::kProgramStarted,
            {{"host", core_.settings.name}});
  return {};
}

store_feed_links host::FeedLinks() {
  store_feed_links links;
  links.configured = [this](const catalog::configuration& newer) {
    net::http_limits limits;
    limits.header_bytes = newer.limits.header_bytes;
    limits.body_bytes = newer.limits.body_bytes;
    limits.receive_timeout = newer.limits.header_timeout;
    limits.idle_timeout = newer.limits.idle_timeout;
    callers_.SetLimits(limits);
  };
  // Whoever reads the store finds the others through the lease's holder.
  links.holder_seen = [this](const base::endpoint& holder) {
    peers_.SetSeeds({holder});
  };
  links.held_put = [this](const std::string& key) {
    return quarantine_.PutKey(key);
  };
  links.held_removed = [this](const std::string& key, bool lapsed) {
    return quarantine_.RemoveKey(key, lapsed);
  };
  return links;
}

server_limit_links host::LimitLinks() {
  server_limit_links links;
  links.term = [this] { return lease_.CertainTerm(); };
  links.holder = [this] { return placement_.holder(); };
  links.call = [this](base::endpoint where, wire::envelope call,
                      std::chrono::microseconds timeout) {
    return peers_.Call(std::move(where), std::move(call), timeout);
  };
  links.broadcast = [this](wire::limit_news news) {
    peers_.Broadcast(std::string(kLimitsRecord), [&news](bool hand_on) {
      news.hand_on = hand_on;
      news.__isset.hand_on = hand_on;
      return wire::Encode(news);
    });
  };
  links.broadcast_in_zone = [this](const wire::limit_news& news) {
    peers_.BroadcastInZone(std::string(kLimitsRecord), wire::Encode(news));
  };
  return links;
}

// Hosts that are not seen any more may still send.
decisions::cold_share host::ColdShare() {
  most_hosts_ = std::max(most_hosts_, peers_.CountKnown());
  decisions::cold_share share;
  share.hosts = most_hosts_;
  share.settled =
      std::chrono::steady_clock::now() - core_.started >= kHostsKnown;
  return share;
}

bool host::IsReady() const {
  // Callers are better off at a host that can tell whether their keys are good.
  return core_.configuration != nullptr && !stop_.stopping() &&
         !certainty_.IsUncertain();
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
  set("valeledge_limited_servers",
      std::ranges::count_if(core_.servers.servers(), [](const auto& each) {
        return each.second->IsLimited();
      }));
  set("valeledge_configuration_version",
      core_.configuration == nullptr ? 0 : core_.configuration->version);
  set("valeledge_store_revision", mirror_.revision());
  set("valeledge_store_age_ms",
      mirror_.Age().value_or(milliseconds(kUnknownAge)).count());
  set("valeledge_held_requests",
      static_cast<std::int64_t>(decisions::CountHeld(
          core_.quarantine, std::chrono::steady_clock::now())));
  set("valeledge_copy_behind_ms", copies_.BehindFor().count());
  const auto certainty =
      decisions::AgeOf(core_.certainty, base::boot_clock::now());
  set("valeledge_key_certainty_ms",
      certainty.value_or(milliseconds(kUnknownAge)).count());
  set("valeledge_lease_term", lease_.CertainTerm());
  set("valeledge_peer_bytes", peers_.bytes());
  for (const auto& [kind, bytes] : peers_.told_bytes())
    core_.metrics.Gauge("valeledge_told_bytes", kind).Set(bytes);
  set("valeledge_idle_connections", core_.http.idle_connections());
  set("valeledge_store_bytes", store_->bytes());
  set("valeledge_log_lines_dropped", base::LinesDropped());
}

void host::TakeTold(const membership::direct_record& record) {
  if (loads_.Take(record))
    return;
  if (record.key == kEndsRecord) {
    const auto news = wire::DecodeEndNews(record.value);
    if (news)
      quarantine_.TakeNews(*news);
  } else if (record.key == kReadingWantedRecord) {
    const auto question = wire::DecodeStoreReading(record.value);
    if (question)
      certainty_.TakeQuestion(record.sender_address, *question);
  } else if (record.key == kReadingRecord) {
    const auto reading = wire::DecodeStoreReading(record.value);
    if (reading)
      certainty_.TakeReading(*reading);
  } else if (record.key == kPlacedRecord) {
    const auto news = wire::DecodePlacementNews(record.value);
    if (news)
      placement_.TakeNews(*news, record.sender_address);
  } else if (record.key == kLimitsRecord) {
    auto news = wire::DecodeLimitNews(record.value);
    if (news)
      limits_.TakeNews(std::move(*news));
  }
}

bool host::FollowsStore() {
  return !stop_.stopping() &&
         peers_.IsChosen(std::string(kFollowDuty), kFollowersPerZone,
                         peer_link::scope::kZone, membership::kHighBandwidth);
}

// The hosts that are chosen for a server are told at once what others send
// there; where there are few hosts, these are all.
bool host::IsWellKnown(const std::string& instance) {
  return peers_.IsChosen(instance, kMaxReportRecipients,
                         peer_link::scope::kAll);
}

asio::awaitable<wire::envelope> host::Answer(wire::envelope call) {
  wire::envelope reply;
  if (call.__isset.mirror_wanted) {
    reply = copies_.Give(call.mirror_wanted);
  } else if (owner_duties::IsFor(call)) {
    reply = co_await owned_.Answer(std::move(call));
  } else if (call.__isset.permit_wanted) {
    reply.__set_permit(limits_.Grant(call.permit_wanted));
  } else if (call.__isset.limit_changed) {
    limits_.TakeChange(call.limit_changed);
    reply.__set_done({});
  } else if (call.__isset.adapter_wanted) {
    const auto adapter =
        co_await placement_.AnswerAdapter(std::move(call.adapter_wanted));
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
    core_.servers.Sweep(now);
    core_.http.CloseStale();
    core_.demand.Roll(now);
    owned_.Roll(now);
    limits_.Roll(now);
    quarantine_.Republish();
    core_.log.TellLeftOut();
    core_.retries.LogUse(core_.hosts, now);
    if (now - flushed >= kLogDelay) {
      flushed = now;
      base::FlushLogging();
    }
    loads_.Report(FollowsStore());
    for (const std::string& name : peers_.TakeDead()) {
      core_.servers.ForgetHost(name);
      placement_.ForgetHost(name);
    }
  }
}

}  // namespace

base::result<void> RunHost(host_settings settings,
                           external_protocol speech,
                           const store_factory& make_store,
                           settings_reader reread) {
  // Both live until the process ends: coroutines that a stop broke off still
  // refer to them, and end with the event loop.
  static asio::io_context context(1);
  static host one(context, std::move(settings), std::move(speech), make_store,
                  std::move(reread));
  const auto started = one.Start();
  if (!started)
    return started;
  context.run();
  return {};
}

}  // namespace valeledge::host
