// SPDX-License-Identifier: MIT
#include "host/process/settings_reloader.h"

#include <csignal>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/logging.h"

namespace valeledge::host {

namespace {

namespace asio = boost::asio;
using base::log_event;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view kCategory = "host";

void SetReloadSignalMask(int how) {
  sigset_t reload;
  sigemptyset(&reload);
  sigaddset(&reload, SIGHUP);
  pthread_sigmask(how, &reload, nullptr);
}

}  // namespace

void BlockReloadSignal() {
  SetReloadSignalMask(SIG_BLOCK);
}

settings_reloader::settings_reloader(host_core& core,
                                     settings_reader read,
                                     std::function<void()> on_reloaded)
    : core_(core),
      read_(std::move(read)),
      on_reloaded_(std::move(on_reloaded)),
      signals_(core.context, SIGHUP) {}

void settings_reloader::Start() {
  asio::co_spawn(core_.context, Loop(), asio::detached);
  // A signal that was blocked is delivered now.
  SetReloadSignalMask(SIG_UNBLOCK);
}

asio::awaitable<void> settings_reloader::Loop() {
  while (true) {
    const auto [failed, signal] = co_await signals_.async_wait(kAwait);
    if (failed)
      co_return;
    Reload();
  }
}

void settings_reloader::Reload() {
  auto newer = read_();
  if (!newer) {
    base::Log(kCategory, log_event::kSettingsKept,
              {{"reason", newer.error().message}});
    return;
  }
  // Listening addresses, the store, and the name and zone by which other hosts
  // know this one are kept until the next start.
  newer->name = core_.settings.name;
  newer->zone = core_.settings.zone;
  newer->caller_listen = core_.settings.caller_listen;
  newer->readiness_listen = core_.settings.readiness_listen;
  newer->peer_listen = core_.settings.peer_listen;
  newer->store = core_.settings.store;
  newer->metrics_listen = core_.settings.metrics_listen;
  core_.settings = std::move(*newer);
  on_reloaded_();
  base::Log(kCategory, log_event::kSettingsReread,
            {{"seeds", static_cast<std::int64_t>(core_.settings.seeds.size())},
             {"retry_slack", core_.settings.retry_slack}});
}

}  // namespace valeledge::host
