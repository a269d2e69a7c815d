// SPDX-License-Identifier: MIT
#include "host/process/shutdown_controller.h"

#include <chrono>
#include <csignal>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/logging.h"

namespace valeledge::host {

namespace {

namespace asio = boost::asio;
using base::log_event;
using std::chrono::milliseconds;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view kCategory = "host";

// After SIGTERM the load balancer needs two health checks, a second apart, to
// stop sending new connections; callers continue to use existing ones. Requests
// that start later than 3 s after SIGTERM must not be interrupted, so requests
// that may last too long are refused slightly earlier.
constexpr milliseconds kAcceptAllPeriod{2700};
constexpr milliseconds kAcceptPeriod{4200};
// Requests still in progress at this time before SIGKILL are interrupted.
constexpr milliseconds kKillMargin{400};

constexpr milliseconds kStopCheckInterval{50};

}  // namespace

shutdown_controller::shutdown_controller(host_core& core,
                                         net::http_server& callers,
                                         net::http_server& relays,
                                         std::function<void()> on_started)
    : core_(core),
      callers_(callers),
      relays_(relays),
      on_started_(std::move(on_started)),
      signals_(core.context, SIGTERM, SIGINT) {}

void shutdown_controller::Start() {
  asio::co_spawn(core_.context, AwaitSignal(), asio::detached);
}

asio::awaitable<void> shutdown_controller::AwaitSignal() {
  const auto [failed, signal] = co_await signals_.async_wait(kAwait);
  if (failed)
    co_return;
  co_await Stop();
}

asio::awaitable<void> shutdown_controller::Stop() {
  const auto start = std::chrono::steady_clock::now();
  base::Log(kCategory, log_event::kStopRequested,
            {{"active", ActiveRequests()}});
  stopping_ = true;
  on_started_();
  callers_.CloseAfterAnswers();
  relays_.CloseAfterAnswers();
  asio::steady_timer timer(core_.context);
  bool drained = false;
  while (true) {
    const auto elapsed = std::chrono::steady_clock::now() - start;
    if (elapsed >= kAcceptAllPeriod)
      core_.stops_at = start + core_.settings.stop_grace - kKillMargin;
    if (elapsed >= kAcceptPeriod && !drained) {
      drained = true;
      callers_.Drain();
      relays_.Drain();
    }
    const bool idle = drained && ActiveRequests() == 0;
    if (idle || elapsed >= core_.settings.stop_grace - kKillMargin)
      break;
    timer.expires_after(kStopCheckInterval);
    co_await timer.async_wait(kAwait);
  }
  const std::int64_t active = ActiveRequests();
  base::Log(kCategory,
            active == 0 ? log_event::kProgramStopped : log_event::kStopCutShort,
            {{"active", active}});
  core_.context.stop();
}

}  // namespace valeledge::host
