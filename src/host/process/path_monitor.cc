// SPDX-License-Identifier: MIT
#include "host/process/path_monitor.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/logging.h"
#include "host/process/host_core.h"

namespace valeledge::host {

namespace {

namespace asio = boost::asio;
using base::log_event;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view kCategory = "path";

constexpr milliseconds kTickInterval{50};
constexpr milliseconds kProbeTimeout{100};

// Other hosts are asked at this interval while the path is lost. A host that
// does not reply in time, which includes a round of probes, may be frozen.
constexpr milliseconds kAskInterval{400};
constexpr milliseconds kReplyTimeout{200};
constexpr std::size_t kPeersAskedInZone = 3;
constexpr std::size_t kPeersAskedElsewhere = 3;
// Hosts that are used already and are asked again.
constexpr std::size_t kPeersRefreshed = 3;

// Probes that are sent for another host's question.
constexpr std::size_t kProbesForPeer = 3;

// An attempt without data for so long is taken to wait for the lost path.
constexpr milliseconds kStalled{300};

// Data received this recently shows that open connections still work.
constexpr milliseconds kRecentData{1000};

// Outcome of one round of probes that run at the same time.
struct probe_round {
  std::size_t pending = 0;
  bool is_decided = false;
};

void Update(std::optional<base::time_point>& earliest, base::time_point time) {
  earliest = earliest ? std::min(*earliest, time) : time;
}

}  // namespace

void path_monitor::Start() {
  asio::co_spawn(core_.context, TickLoop(), asio::detached);
}

asio::awaitable<void> path_monitor::TickLoop() {
  asio::steady_timer timer(core_.context);
  while (true) {
    timer.expires_after(kTickInterval);
    co_await timer.async_wait(kAwait);
    Tick(std::chrono::steady_clock::now());
  }
}

std::shared_ptr<tracked_attempt> path_monitor::Track(
    std::shared_ptr<known_server> server) {
  auto attempt = std::make_shared<tracked_attempt>();
  attempt->last_activity = std::chrono::steady_clock::now();
  attempt->server = std::move(server);
  paths_[attempt->server->entry.service].attempts.push_back(attempt);
  return attempt;
}

void path_monitor::OnSent(tracked_attempt& attempt) {
  attempt.is_connecting = false;
  attempt.last_activity = std::chrono::steady_clock::now();
}

void path_monitor::OnReceived(tracked_attempt& attempt) {
  attempt.last_activity = std::chrono::steady_clock::now();
  decisions::RecordReceived(paths_[attempt.server->entry.service].health,
                            attempt.last_activity);
}

void path_monitor::OnConnectFailed(const tracked_attempt& attempt) {
  const auto now = std::chrono::steady_clock::now();
  const std::string& service = attempt.server->entry.service;
  decisions::RecordConnectFailed(paths_[service].health, now);
  StartProbes(service, now);
}

void path_monitor::OnBrokenOff(const tracked_attempt& attempt) {
  const auto now = std::chrono::steady_clock::now();
  const catalog::backend_server& entry = attempt.server->entry;
  decisions::RecordBrokenOff(paths_[entry.service].health, entry.instance, now);
  StartProbes(entry.service, now);
}

bool path_monitor::IsLost(const std::string& service) const {
  const auto found = paths_.find(service);
  return found != paths_.end() && found->second.health.is_lost;
}

bool path_monitor::IsSuspected(const std::string& service) const {
  const auto found = paths_.find(service);
  return found != paths_.end() && decisions::IsSuspected(found->second.health);
}

bool path_monitor::MayBePathLoss(const std::string& service,
                                 base::time_point at) const {
  const auto found = paths_.find(service);
  return found != paths_.end() &&
         decisions::MayBePathLoss(found->second.health, at);
}

std::optional<decisions::relay_peer> path_monitor::ChooseRelay(
    const std::string& service,
    bool near) {
  const auto found = paths_.find(service);
  if (found == paths_.end() || !found->second.health.is_lost)
    return std::nullopt;
  return decisions::ChooseRelay(found->second.relays,
                                std::chrono::steady_clock::now(), near,
                                core_.random);
}

void path_monitor::OnRelayFailed(const std::string& service,
                                 const base::endpoint& relay_address) {
  decisions::RecordRelayFailed(paths_[service].relays, relay_address,
                               std::chrono::steady_clock::now());
}

path_state path_monitor::StateOf(const std::string& service,
                                 bool failed_before) {
  const auto found = paths_.find(service);
  if (found == paths_.end())
    return path_state::kDirect;
  const service_path& path = found->second;
  if (!path.health.is_lost) {
    return failed_before && path.is_probing &&
                   decisions::IsSuspected(path.health)
               ? path_state::kUndecided
               : path_state::kDirect;
  }
  if (ChooseRelay(service, true))
    return path_state::kThroughPeer;
  if (!path.peers_known)
    return path_state::kUndecided;
  const auto now = std::chrono::steady_clock::now();
  const bool open_connections_work =
      now - path.health.last_received < kRecentData;
  // Some servers may be down, and the others not probed yet.
  return open_connections_work || !AreAllUnreached(service)
             ? path_state::kDirect
             : path_state::kUnreachable;
}

bool path_monitor::CannotPlaceModels(milliseconds lost_for) const {
  if (core_.configuration == nullptr)
    return false;
  const auto now = std::chrono::steady_clock::now();
  return std::ranges::any_of(paths_, [&](const auto& each) {
    const auto& [name, path] = each;
    const catalog::service* service = core_.configuration->FindService(name);
    return service != nullptr && service->HasModels() && path.health.is_lost &&
           now - path.health.changed_at >= lost_for &&
           decisions::AnyReaches(path.relays, now);
  });
}

asio::awaitable<wire::path_reply> path_monitor::HandleRequest(
    wire::path_question question,
    std::uint16_t relay_port) {
  const std::string& service = question.service_name;
  const bool any_server =
      std::ranges::any_of(core_.servers.servers(), [&](const auto& each) {
        const known_server& server = *each.second;
        return server.entry.service == service && server.TakesRequests();
      });
  wire::path_reply reply;
  reply.reaches = relay_port != 0 && any_server && !IsLost(service);
  reply.relay_port = relay_port;
  // Hosts of earlier versions do not state it.
  if (!reply.reaches || !question.__isset.failing_ms)
    co_return reply;
  const auto failing = std::clamp(milliseconds(question.failing_ms),
                                  milliseconds(0), kRecentData);
  const auto failing_since = std::chrono::steady_clock::now() - failing;
  if (!decisions::HasReachedSince(paths_[service].health, failing_since))
    co_await AwaitRound(service);
  reply.reaches =
      decisions::HasReachedSince(paths_[service].health, failing_since);
  co_return reply;
}

asio::awaitable<void> path_monitor::AwaitRound(std::string service) {
  service_path& path = paths_[service];
  if (!path.is_probing)
    StartRound(service, kProbesForPeer);
  if (!path.is_probing)
    co_return;
  if (path.round_ended == nullptr) {
    path.round_ended = std::make_shared<asio::steady_timer>(
        core_.context, asio::steady_timer::time_point::max());
  }
  const auto ended = path.round_ended;
  co_await ended->async_wait(kAwait);
}

std::int64_t path_monitor::CountLost() const {
  return std::ranges::count_if(
      paths_, [](const auto& each) { return each.second.health.is_lost; });
}

void path_monitor::Tick(base::time_point now) {
  for (auto& [service, path] : paths_) {
    std::erase_if(path.attempts,
                  [](const auto& attempt) { return attempt.expired(); });
    StartProbes(service, now);
    if (!path.health.is_lost)
      continue;
    AskPeers(service, now);
    InterruptAttempts(service, now);
  }
}

void path_monitor::AskPeers(const std::string& service, base::time_point now) {
  service_path& path = paths_[service];
  if (path.peers_pending > 0 || now - path.peers_asked_at < kAskInterval)
    return;
  path.peers_asked_at = now;
  std::map<base::endpoint, bool> asked;
  for (const auto& [peer, same_zone] :
       decisions::PeersToRefresh(path.relays, now, kPeersRefreshed))
    asked.emplace(peer, same_zone);
  for (const bool same_zone : {true, false}) {
    const std::size_t count =
        same_zone ? kPeersAskedInZone : kPeersAskedElsewhere;
    for (const auto& peer : callbacks_.sample_peers(same_zone, count))
      asked.emplace(peer, same_zone);
  }
  for (const auto& [peer, same_zone] : asked) {
    ++path.peers_pending;
    asio::co_spawn(core_.context, AskPeer(service, peer, same_zone),
                   asio::detached);
  }
  path.peers_known = path.peers_known || path.peers_pending == 0;
}

asio::awaitable<void> path_monitor::AskPeer(std::string service,
                                            base::endpoint peer,
                                            bool same_zone) {
  wire::path_question question;
  question.service_name = service;
  const auto failing_since = paths_[service].health.failed_since;
  if (failing_since) {
    question.__set_failing_ms(
        duration_cast<milliseconds>(std::chrono::steady_clock::now() -
                                    *failing_since)
            .count());
  }
  wire::envelope call;
  call.__set_path_wanted(question);
  const auto reply =
      co_await callbacks_.call(peer, std::move(call), kReplyTimeout);
  const auto now = std::chrono::steady_clock::now();
  service_path& path = paths_[service];
  if (reply && reply->__isset.path && reply->path.reaches) {
    const base::endpoint relay{
        peer.address, static_cast<std::uint16_t>(reply->path.relay_port)};
    decisions::RecordReaches(path.relays, peer, relay, same_zone, now);
    InterruptAttempts(service, now);
  } else {
    decisions::RecordUnreached(path.relays, peer, same_zone, now);
  }
  if (--path.peers_pending == 0)
    path.peers_known = true;
}

void path_monitor::InterruptAttempts(const std::string& service,
                                     base::time_point now) {
  if (!ChooseRelay(service, true))
    return;
  for (const auto& each : paths_[service].attempts) {
    const auto attempt = each.lock();
    if (attempt == nullptr || !attempt->interrupt)
      continue;
    const bool stalled =
        attempt->may_repeat && now - attempt->last_activity >= kStalled;
    if (attempt->is_connecting || stalled)
      std::exchange(attempt->interrupt, nullptr)();
  }
}

void path_monitor::OnRegained(const std::string& service) {
  service_path& path = paths_[service];
  path.relays.clear();
  path.peers_known = false;
  // What servers were suspended for was the path.
  for (const auto& [instance, server] : core_.servers.servers()) {
    if (server->entry.service == service)
      decisions::ClearFailures(server->trust);
  }
}

void path_monitor::StartProbes(const std::string& service,
                               base::time_point now) {
  service_path& path = paths_[service];
  if (path.is_probing)
    return;
  decisions::attempt_evidence evidence;
  for (const auto& each : path.attempts) {
    const auto attempt = each.lock();
    if (attempt == nullptr)
      continue;
    Update(attempt->is_connecting ? evidence.connecting_since
                                  : evidence.silent_since,
           attempt->last_activity);
  }
  const std::size_t wanted = decisions::ProbesDue(path.health, evidence, now);
  if (wanted > 0)
    StartRound(service, wanted);
}

void path_monitor::StartRound(const std::string& service, std::size_t wanted) {
  service_path& path = paths_[service];
  std::vector<base::endpoint> servers = ServersToProbe(service);
  const std::size_t known = servers.size();
  servers.resize(std::min(wanted, known));
  if (servers.empty()) {
    path.health = {};
    return;
  }
  path.is_probing = true;
  Probe(service, servers, known);
}

std::vector<base::endpoint> path_monitor::ServersToProbe(
    const std::string& service) const {
  const std::set<base::endpoint>& unreached = paths_.at(service).unreached;
  std::set<base::endpoint> addresses;
  for (const auto& [instance, server] : core_.servers.servers()) {
    if (server->entry.service == service && server->TakesRequests())
      addresses.insert(server->entry.address);
  }
  std::vector<base::endpoint> out(addresses.begin(), addresses.end());
  std::ranges::shuffle(out, core_.random);
  std::ranges::stable_partition(out, [&unreached](const auto& address) {
    return !unreached.contains(address);
  });
  return out;
}

bool path_monitor::AreAllUnreached(const std::string& service) const {
  const std::vector<base::endpoint> servers = ServersToProbe(service);
  return servers.empty() ||
         paths_.at(service).unreached.contains(servers.front());
}

void path_monitor::Probe(const std::string& service,
                         const std::vector<base::endpoint>& servers,
                         std::size_t known) {
  const auto round = std::make_shared<probe_round>();
  round->pending = servers.size();
  for (const base::endpoint& server : servers) {
    auto probe = [this, service, round, servers, known,
                  server]() -> asio::awaitable<void> {
      const auto connected =
          co_await core_.http.Preconnect(server, kProbeTimeout);
      --round->pending;
      if (round->is_decided || (!connected && round->pending > 0))
        co_return;
      round->is_decided = true;
      OnProbed(service, servers, connected.has_value(), known);
    };
    asio::co_spawn(core_.context, std::move(probe), asio::detached);
  }
}

void path_monitor::OnProbed(const std::string& service,
                            const std::vector<base::endpoint>& probed,
                            bool reached,
                            std::size_t known) {
  service_path& path = paths_[service];
  path.is_probing = false;
  if (path.round_ended != nullptr)
    path.round_ended->cancel();
  if (reached)
    path.unreached.clear();
  else
    path.unreached.insert(probed.begin(), probed.end());
  core_.metrics
      .Counter("valeledge_path_probes_total", reached ? "reached" : "unreached")
      .Add();
  const auto now = std::chrono::steady_clock::now();
  const auto changed_before = path.health.changed_at;
  const auto change = decisions::RecordProbes(
      path.health, reached, path.unreached.size(), known, now);
  if (change == decisions::path_change::kLost) {
    path.peers_asked_at = {};
    AskPeers(service, now);
    base::Log(
        kCategory, log_event::kPathLost,
        {{"service", service}, {"servers", static_cast<std::int64_t>(known)}});
  } else if (change == decisions::path_change::kRegained) {
    OnRegained(service);
    base::Log(
        kCategory, log_event::kPathRegained,
        {{"service", service},
         {"after_ms",
          std::int64_t{
              duration_cast<milliseconds>(now - changed_before).count()}}});
  }
}

}  // namespace valeledge::host
