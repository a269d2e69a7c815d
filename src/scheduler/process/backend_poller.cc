// SPDX-License-Identifier: MIT
#include "scheduler/process/backend_poller.h"

#include <random>
#include <utility>

#include "base/identifier.h"
#include "base/json.h"
#include "net/attempt_field.h"
#include "node/engine_report_reader.h"

namespace valeledge::scheduler {

namespace {

namespace asio = boost::asio;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

}  // namespace

backend_poller::backend_poller(base::duty& backends,
                               const scheduler_settings& settings,
                               report_sink sink)
    : poll_thread_(backends),
      settings_(settings),
      sink_(std::move(sink)),
      http_(backends.context(), nullptr, net::kAttemptField) {}

void backend_poller::SetBackends(
    std::map<std::string, polled_backend> backends) {
  const auto before = std::exchange(backends_, std::move(backends));
  for (const auto& [server, backend] : backends_) {
    const auto known = before.find(server);
    if (known != before.end() && known->second == backend)
      continue;
    asio::co_spawn(poll_thread_.context(), PollLoop(backend), asio::detached);
  }
}

asio::awaitable<backend_report> backend_poller::Poll(
    const polled_backend& backend) {
  backend_report report;
  report.server = backend.server;
  const std::string_view path = backend.is_engine ? "/load" : "/healthz";
  auto request = net::MakeRequest(boost::beast::http::verb::get, path);
  request.set(net::kAttemptField, base::NewIdentifier());
  const auto response = co_await http_.Fetch(
      backend.address, std::move(request), settings_.poll_timeout);
  if (!response)
    co_return report;
  if (!backend.is_engine) {
    // Any response shows that a plain service is reachable; 503 means that it
    // is draining.
    report.responded = true;
    report.draining = response->result_int() == 503;
    co_return report;
  }
  const auto object = base::ParseJsonObject(response->body());
  if (!object || response->result_int() != 200)
    co_return report;
  report.responded = true;
  report.in_flight = base::IntegerField(*object, "in_flight");
  report.draining = base::BoolField(*object, "draining");
  report.engine = node::ReadEngineReport(*object);
  co_return report;
}

asio::awaitable<void> backend_poller::PollLoop(polled_backend backend) {
  std::mt19937_64 random{std::random_device{}()};
  asio::steady_timer timer(poll_thread_.context());
  while (true) {
    const backend_report report = co_await Poll(backend);
    bytes_ = http_.bytes();
    const auto current = backends_.find(backend.server);
    const bool still_polled =
        current != backends_.end() && current->second == backend;
    if (!still_polled)
      co_return;
    sink_(backend.cell, report);
    // 10 % jitter keeps the polls of many backend servers from coinciding.
    const auto interval = settings_.poll_interval.count();
    std::uniform_int_distribution<std::int64_t> jittered_interval(
        interval * 9 / 10, interval * 11 / 10);
    timer.expires_after(std::chrono::microseconds(jittered_interval(random)));
    co_await timer.async_wait(kAwait);
  }
}

}  // namespace valeledge::scheduler
