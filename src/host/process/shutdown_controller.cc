// SPDX-License-Identifier: MIT
#include "host/process/shutdown_controller.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/logging.h"
#include "decisions/planned_stop.h"

namespace valeledge::host {

namespace {

namespace asio = boost::asio;
using base::log_event;
using std::chrono::milliseconds;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view kCategory = "host";

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
  base::Log(kCategory, log_event::kStopRequested,
            {{"active", ActiveRequests()}});
  stopping_ = true;
  core_.stop = decisions::PlanStop(std::chrono::steady_clock::now(),
                                   core_.settings.stop_grace);
  on_started_();
  callers_.CloseAfterAnswers();
  relays_.CloseAfterAnswers();
  co_await WaitUntil(core_.stop->closes_at, false);
  callers_.Drain();
  relays_.Drain();
  co_await WaitUntil(core_.stop->responds_at, true);
  const std::int64_t late = ActiveRequests();
  RespondToAll();
  co_await WaitUntil(core_.stop->ends_at, true);
  const std::int64_t active = ActiveRequests();
  base::Log(kCategory,
            active == 0 ? log_event::kProgramStopped : log_event::kStopCutShort,
            {{"active", active}, {"responded_at_end", late - active}});
  core_.context.stop();
}

asio::awaitable<void> shutdown_controller::WaitUntil(base::time_point moment,
                                                     bool ends_when_idle) {
  asio::steady_timer timer(core_.context);
  while (!ends_when_idle || ActiveRequests() > 0) {
    const auto now = std::chrono::steady_clock::now();
    if (now >= moment)
      co_return;
    timer.expires_at(std::min(now + kStopCheckInterval, moment));
    co_await timer.async_wait(kAwait);
  }
}

void shutdown_controller::RespondToAll() {
  // A response may end its request, which removes it from the list.
  const auto responses = core_.final_responses;
  for (const auto& send : responses)
    send();
}

}  // namespace valeledge::host
