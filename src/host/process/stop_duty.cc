// SPDX-License-Identifier: MIT
#include "host/process/stop_duty.h"

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

// After SIGTERM the balancer needs two looks, a second apart, to send no new
// connections; callers then still use the ones they have.
// What comes later than 3 s must not be broken off, so what may last too long
// is refused a little sooner.
constexpr milliseconds kTakesAll{2700};
constexpr milliseconds kTakesRequests{4200};
// What is still under way so long before SIGKILL is broken off.
constexpr milliseconds kStopMargin{400};

constexpr milliseconds kStopLook{50};

}  // namespace

stop_duty::stop_duty(host_core& core,
                     net::http_server& callers,
                     std::function<void()> begun)
    : core_(core),
      callers_(callers),
      begun_(std::move(begun)),
      signals_(core.context, SIGTERM, SIGINT) {}

void stop_duty::Start() {
  asio::co_spawn(core_.context, AwaitSignal(), asio::detached);
}

asio::awaitable<void> stop_duty::AwaitSignal() {
  const auto [failed, signal] = co_await signals_.async_wait(kAwait);
  if (failed)
    co_return;
  co_await Stop();
}

asio::awaitable<void> stop_duty::Stop() {
  const auto begun = std::chrono::steady_clock::now();
  base::Log(kCategory, log_event::kStopRequested,
            {{"active", callers_.active_requests()}});
  stopping_ = true;
  begun_();
  callers_.CloseAfterAnswers();
  asio::steady_timer timer(core_.context);
  bool drained = false;
  while (true) {
    const auto passed = std::chrono::steady_clock::now() - begun;
    if (passed >= kTakesAll)
      core_.stops_at = begun + core_.settings.stop_grace - kStopMargin;
    if (passed >= kTakesRequests && !drained) {
      drained = true;
      callers_.Drain();
    }
    const bool idle = drained && callers_.active_requests() == 0;
    if (idle || passed >= core_.settings.stop_grace - kStopMargin)
      break;
    timer.expires_after(kStopLook);
    co_await timer.async_wait(kAwait);
  }
  const std::int64_t active = callers_.active_requests();
  base::Log(kCategory,
            active == 0 ? log_event::kProgramStopped : log_event::kStopCutShort,
            {{"active", active}});
  core_.context.stop();
}

}  // namespace valeledge::host
