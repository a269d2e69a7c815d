// SPDX-License-Identifier: MIT
#include "scheduler/process/cell_reporter.h"

#include <utility>

#include "membership/constants.h"

namespace valeledge::scheduler {

namespace {

namespace asio = boost::asio;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr auto kReportTimeout = std::chrono::seconds(1);

wire::server_report Encode(const std::string& server,
                           const backend_state& backend,
                           const decisions::server_view& view) {
  wire::server_report report;
  report.server = server;
  report.incarnation = backend.engine.incarnation;
  report.version = backend.engine.version;
  report.loaded = backend.engine.loaded;
  report.orders_done = backend.engine.orders_done;
  report.down = view.down;
  report.leaving = view.leaving || view.host_leaving;
  return report;
}

}  // namespace

cell_reporter::cell_reporter(base::duty& decisions,
                             node::node& node,
                             cell_registry& registry,
                             const scheduler_settings& settings)
    : decisions_(decisions),
      node_(node),
      registry_(registry),
      settings_(settings) {}

void cell_reporter::Start() {
  asio::co_spawn(decisions_.context(), ReportLoop(), asio::detached);
}

wire::cell_report cell_reporter::BuildReport(cell_state& cell) {
  const auto now = std::chrono::steady_clock::now();
  wire::cell_report report;
  report.cell = cell.name;
  for (const auto& view : cell.admission.servers) {
    backend_state& backend = cell.backends[view.name];
    if (!backend.is_engine || !backend.unreported)
      continue;
    if (!backend.polled && !view.down)
      continue;
    report.servers.push_back(Encode(view.name, backend, view));
    backend.unreported = false;
  }
  for (const auto& [model, counted] : cell.demand) {
    wire::model_demand each;
    each.model = model;
    each.requests = counted.requests;
    each.refused = counted.refused;
    report.demand.push_back(std::move(each));
  }
  report.interval_us = std::chrono::duration_cast<std::chrono::microseconds>(
                           now - cell.demand_since)
                           .count();
  report.mean_service_us =
      std::chrono::duration_cast<std::chrono::microseconds>(
          cell.admission.mean_service_time)
          .count();
  cell.demand.clear();
  cell.demand_since = now;
  return report;
}

asio::awaitable<void> cell_reporter::ReportCell(std::string name,
                                                base::endpoint controller) {
  const auto found = registry_.cells().find(name);
  if (found == registry_.cells().end() || !found->second.owned)
    co_return;
  const wire::cell_report report = BuildReport(found->second);
  if (report.servers.empty() && report.demand.empty())
    co_return;
  wire::envelope call;
  call.__set_report(report);
  auto send = [this, call,
               controller]() -> asio::awaitable<base::result<wire::envelope>> {
    co_return co_await node_.CallPeer(controller, call, kReportTimeout);
  };
  const auto response = co_await base::RunOn<base::result<wire::envelope>>(
      node_.peers(), std::move(send));
  const bool accepted = response && *response && (*response)->__isset.done &&
                        (*response)->done.code == 0;
  if (accepted)
    co_return;
  const auto current_cell = registry_.cells().find(name);
  if (current_cell == registry_.cells().end())
    co_return;
  for (const wire::server_report& each : report.servers)
    current_cell->second.backends[each.server].unreported = true;
}

asio::awaitable<void> cell_reporter::ReportLoop() {
  asio::steady_timer timer(decisions_.context());
  while (true) {
    timer.expires_after(settings_.report_interval);
    co_await timer.async_wait(kAwait);
    const auto view = node_.View();
    const auto leader = view->records.find(membership::kControllerRecord);
    if (leader == view->records.end())
      continue;
    const std::string& value = leader->second.value;
    const auto address = base::ParseEndpoint(value.substr(0, value.find(' ')));
    if (!address)
      continue;
    if (value != last_controller_) {
      last_controller_ = value;
      for (auto& [name, cell] : registry_.cells()) {
        for (auto& [server, backend] : cell.backends)
          backend.unreported = true;
      }
    }
    std::vector<std::string> owned;
    for (const auto& [name, cell] : registry_.cells()) {
      if (cell.owned)
        owned.push_back(name);
    }
    for (const std::string& name : owned)
      co_await ReportCell(name, *address);
  }
}

}  // namespace valeledge::scheduler
