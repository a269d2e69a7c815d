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

// Outcome of one round of probes that run at the same time.
struct probe_round {
  std::size_t pending = 0;
  std::size_t reached = 0;
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

std::int64_t path_monitor::CountLost() const {
  return std::ranges::count_if(
      paths_, [](const auto& each) { return each.second.health.is_lost; });
}

void path_monitor::Tick(base::time_point now) {
  for (auto& [service, path] : paths_) {
    std::erase_if(path.attempts,
                  [](const auto& attempt) { return attempt.expired(); });
    StartProbes(service, now);
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
  if (wanted == 0)
    return;
  std::vector<base::endpoint> servers = ServersOf(service);
  const std::size_t known = servers.size();
  servers.resize(std::min(wanted, known));
  if (servers.empty()) {
    path.health = {};
    return;
  }
  path.is_probing = true;
  Probe(service, std::move(servers), known);
}

std::vector<base::endpoint> path_monitor::ServersOf(
    const std::string& service) const {
  std::vector<base::endpoint> out;
  for (const auto& [instance, server] : core_.servers.servers()) {
    if (server->entry.service == service && server->TakesRequests())
      out.push_back(server->entry.address);
  }
  std::ranges::shuffle(out, core_.random);
  return out;
}

void path_monitor::Probe(const std::string& service,
                         std::vector<base::endpoint> servers,
                         std::size_t known) {
  const std::size_t tried = servers.size();
  const auto round = std::make_shared<probe_round>();
  round->pending = tried;
  for (base::endpoint& server : servers) {
    auto probe = [this, service, round, tried, known,
                  server = std::move(server)]() -> asio::awaitable<void> {
      const auto connected =
          co_await core_.http.Preconnect(server, kProbeTimeout);
      round->reached += connected ? 1 : 0;
      if (--round->pending == 0)
        OnProbed(service, tried, round->reached, known);
    };
    asio::co_spawn(core_.context, std::move(probe), asio::detached);
  }
}

void path_monitor::OnProbed(const std::string& service,
                            std::size_t tried,
                            std::size_t reached,
                            std::size_t known) {
  service_path& path = paths_[service];
  path.is_probing = false;
  core_.metrics
      .Counter("valeledge_path_probes_total",
               reached > 0 ? "reached" : "unreached")
      .Add();
  const auto now = std::chrono::steady_clock::now();
  const auto changed_before = path.health.changed_at;
  const auto change =
      decisions::RecordProbes(path.health, tried, reached, known, now);
  if (change == decisions::path_change::kLost) {
    base::Log(
        kCategory, log_event::kPathLost,
        {{"service", service}, {"servers", static_cast<std::int64_t>(known)}});
  } else if (change == decisions::path_change::kRegained) {
    base::Log(
        kCategory, log_event::kPathRegained,
        {{"service", service},
         {"after_ms",
          std::int64_t{
              duration_cast<milliseconds>(now - changed_before).count()}}});
  }
}

}  // namespace valeledge::host
