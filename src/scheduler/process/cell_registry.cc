// SPDX-License-Identifier: MIT
#include "scheduler/process/cell_registry.h"

#include <algorithm>
#include <utility>

#include "base/logging.h"
#include "node/host_watch.h"
#include "scheduler/process/limit_shares.h"
#include "wire/codec.h"

namespace valeledge::scheduler {

namespace {

namespace asio = boost::asio;
using base::log_event;
using base::result_code;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view kCategory = "cells";

// Interval of MaintenanceLoop; ownership and limits are updated every few
// rounds only.
constexpr auto kMaintenanceInterval = std::chrono::milliseconds(50);
constexpr int kRoundsPerOwnershipUpdate = 4;
constexpr int kRoundsPerLimitUpdate = 20;

// A cell that is not owned is retained for this long after its last request.
constexpr auto kUnownedCellRetention = std::chrono::seconds(30);

// Load is announced again after the minimum interval if it has changed by more
// than this fraction of the slots or the number of slots has changed, and after
// the maximum interval for any smaller change.
constexpr double kLoadChangeFraction = 0.2;
constexpr auto kMaxLoadInterval = std::chrono::seconds(2);
constexpr auto kMinLoadInterval = std::chrono::milliseconds(200);

wire::grant_reply MakeRefusal(result_code code,
                              std::chrono::milliseconds wait) {
  wire::grant_reply reply;
  reply.code = static_cast<std::int32_t>(code);
  reply.reason = std::string(base::Describe(code).name);
  reply.retry_after_us =
      std::chrono::duration_cast<std::chrono::microseconds>(wait).count();
  return reply;
}

constexpr auto kDefaultRetryAfter = std::chrono::milliseconds(1000);

// Returns the row of a unit; for an adapter, that of its base model.
const table::row* RowOf(const table::snapshot& table, std::string_view unit) {
  const std::size_t slash = unit.find('/');
  if (slash == std::string_view::npos)
    return nullptr;
  const auto kind = table::ParseRowKind(unit.substr(0, slash));
  if (!kind)
    return nullptr;
  const table::row* row = table.Find(*kind, unit.substr(slash + 1));
  if (row != nullptr && row->kind == table::row_kind::kAdapter)
    return table.Find(table::row_kind::kModel, row->base);
  return row;
}

}  // namespace

struct cell_registry::waiting_grant {
  explicit waiting_grant(asio::io_context& context)
      : decided(context, asio::steady_timer::time_point::max()) {}

  asio::steady_timer decided;
  wire::grant_request request;
  std::optional<wire::grant_reply> reply;
};

cell_registry::cell_registry(base::duty& decisions,
                             node::node& node,
                             const scheduler_settings& settings)
    : decisions_(decisions),
      node_(node),
      settings_(settings),
      table_(node.table().Get()) {}

void cell_registry::Start() {
  asio::co_spawn(decisions_.context(), MaintenanceLoop(), asio::detached);
}

void cell_registry::Adopt(const std::string& name, bool owned) {
  const auto now = std::chrono::steady_clock::now();
  const auto [found, inserted] = cells_.try_emplace(name);
  cell_state& cell = found->second;
  if (inserted) {
    cell.name = name;
    cell.admission.settings.queue_limit = settings_.queue_limit;
    cell.demand_since = now;
    ApplyTable(cell, *table_, *node_.View());
    ApplyLimits(cell, *table_, LimitShares(*table_, *node_.View()), now);
  }
  if (owned != cell.owned) {
    cell.owned = owned;
    base::Log(kCategory,
              owned ? log_event::kCellAdopted : log_event::kCellReleased,
              {{"cell", name}});
    if (owned)
      AnnounceReady(cell);
  }
}

cell_state* cell_registry::FindOrAdopt(const std::string& name) {
  if (!table_->cells.contains(name))
    return nullptr;
  if (!cells_.contains(name))
    Adopt(name, false);
  cell_state& cell = cells_.at(name);
  cell.last_requested = std::chrono::steady_clock::now();
  return &cell;
}

void cell_registry::UpdateOwnership() {
  const auto view = node_.View();
  const auto now = std::chrono::steady_clock::now();
  for (const auto& [name, servers] : table_->cells) {
    const auto owner = view->owners.find(name);
    const bool owned =
        owner != view->owners.end() && owner->second.id == node_.id();
    if (owned || cells_.contains(name))
      Adopt(name, owned);
  }
  std::erase_if(cells_, [&](const auto& entry) {
    const cell_state& cell = entry.second;
    const bool in_table = table_->cells.contains(cell.name);
    const bool idle = cell.running.empty() && cell.admission.queued == 0 &&
                      now - cell.last_requested > kUnownedCellRetention;
    return !cell.owned && (idle || !in_table) && cell.admission.queued == 0;
  });
}

decisions::waiting_request cell_registry::MakeWaiting(
    const wire::grant_request& request,
    const table::row& row,
    base::time_point now) const {
  decisions::waiting_request waiting;
  waiting.partner = request.partner;
  waiting.limit_key = table::KeyOf(row);
  waiting.unit = decisions::HashUnit(request.model);
  waiting.prefix_hash = request.prefix_hash;
  waiting.priority = request.priority;
  waiting.tokens = std::max(1, request.estimated_tokens);
  waiting.arrived = now;
  waiting.avoid = request.avoid;
  std::chrono::microseconds max_wait(request.remaining_us);
  if (row.kind == table::row_kind::kModel) {
    const std::chrono::duration<double> target =
        row.first_token * settings_.queue_wait_fraction;
    max_wait =
        std::min(max_wait,
                 std::chrono::duration_cast<std::chrono::microseconds>(target));
  }
  waiting.latest_start = now + max_wait;
  return waiting;
}

asio::awaitable<wire::grant_reply> cell_registry::WaitForServer(
    cell_state& cell,
    const wire::grant_request& request) {
  const auto now = std::chrono::steady_clock::now();
  const table::row* row = RowOf(*table_, request.model);
  if (row == nullptr)
    co_return MakeRefusal(result_code::kUnknownModel, kDefaultRetryAfter);
  ++cell.demand[row->name].requests;
  auto waiting = MakeWaiting(request, *row, now);
  const std::int64_t ticket = next_ticket_++;
  waiting.ticket = ticket;
  const std::string model = row->name;
  const std::string cell_name = cell.name;
  const auto refused =
      decisions::Enqueue(cell.admission, std::move(waiting), now);
  if (refused) {
    ++cell.demand[model].refused;
    co_return MakeRefusal(refused->code, refused->retry_after);
  }
  auto entry = std::make_shared<waiting_grant>(decisions_.context());
  entry->request = request;
  waiting_[ticket] = entry;
  DispatchWaiting(cell);
  while (!entry->reply)
    co_await entry->decided.async_wait(kAwait);
  waiting_.erase(ticket);
  const auto current_cell = cells_.find(cell_name);
  if (entry->reply->code != 0 && current_cell != cells_.end())
    ++current_cell->second.demand[model].refused;
  co_return std::move(*entry->reply);
}

asio::awaitable<wire::grant_reply> cell_registry::Grant(
    wire::grant_request request) {
  const auto started = std::chrono::steady_clock::now();
  if (closed_)
    co_return MakeRefusal(result_code::kNotOwner, std::chrono::milliseconds(0));
  cell_state* cell = FindOrAdopt(request.cell);
  if (cell == nullptr)
    co_return MakeRefusal(result_code::kNoBackendServer, kDefaultRetryAfter);
  wire::grant_reply reply = co_await WaitForServer(*cell, request);
  if (reply.code == 0 && request.__isset.idempotency_key) {
    wire::grant_reply claimed = co_await claim_function_(request);
    const bool run = claimed.code == 0 && !claimed.__isset.recorded_answer;
    if (run) {
      reply.__set_claim_revision(claimed.claim_revision);
    } else {
      wire::attempt_end ended;
      ended.attempt_id = request.attempt_id;
      ended.cell = request.cell;
      ended.server = reply.server;
      EndAttempt(ended);
      reply = std::move(claimed);
    }
  }
  if (reply.code != 0) {
    node_.metrics().CountRefusal(base::ResultCodeFromNumber(reply.code)
                                     .value_or(result_code::kOverloaded));
  }
  const auto after = cells_.find(request.cell);
  if (after != cells_.end())
    reply.__set_load(LoadOf(after->second));
  node_.metrics()
      .Distribution("valeledge_grant_wait_seconds")
      .Record(std::chrono::steady_clock::now() - started);
  co_return reply;
}

void cell_registry::DispatchWaiting(cell_state& cell) {
  const auto now = std::chrono::steady_clock::now();
  auto result = decisions::Dispatch(cell.admission, now, random_);
  for (const decisions::admitted_request& each : result.admitted) {
    const auto found = waiting_.find(each.request.ticket);
    if (found == waiting_.end())
      continue;
    const decisions::server_view& server = cell.admission.servers[each.server];
    wire::grant_reply reply;
    reply.server = server.name;
    reply.address = server.address;
    cell.running[found->second->request.attempt_id] = {server.name,
                                                       each.request.partner,
                                                       each.request.unit,
                                                       each.request.tokens,
                                                       now,
                                                       now};
    found->second->reply = std::move(reply);
    found->second->decided.cancel();
  }
  for (const decisions::refused_request& each : result.refused) {
    const auto found = waiting_.find(each.ticket);
    if (found == waiting_.end())
      continue;
    found->second->reply = MakeRefusal(each.code, each.retry_after);
    found->second->decided.cancel();
  }
}

void cell_registry::EndAttempt(const wire::attempt_end& ended) {
  const auto found = cells_.find(ended.cell);
  if (found == cells_.end())
    return;
  const wire::cell_ready before = ReadyOf(found->second);
  ApplyAttemptEnd(found->second, ended, std::chrono::steady_clock::now());
  DispatchWaiting(found->second);
  if (ended.unreachable && found->second.owned &&
      ReadyOf(found->second) != before) {
    AnnounceReady(found->second);
  }
}

void cell_registry::HandleInFlight(const wire::in_flight_report& report) {
  cell_state* cell = FindOrAdopt(report.cell);
  if (cell != nullptr)
    ApplyInFlight(*cell, report, std::chrono::steady_clock::now());
}

void cell_registry::HandleReport(const std::string& name,
                                 const backend_report& report) {
  const auto found = cells_.find(name);
  if (found == cells_.end())
    return;
  cell_state& cell = found->second;
  const bool changed =
      ApplyReport(cell, report, *table_, settings_.polls_to_down);
  if (changed && cell.owned)
    AnnounceReady(cell);
  DispatchWaiting(cell);
}

void cell_registry::HandleTable(const table::snapshot_pointer& table) {
  table_ = table;
  const auto view = node_.View();
  for (auto& [name, cell] : cells_) {
    const wire::cell_ready before = ReadyOf(cell);
    ApplyTable(cell, *table_, *view);
    if (cell.owned && ReadyOf(cell) != before)
      AnnounceReady(cell);
  }
  UpdateOwnership();
  UpdateLimits();
}

void cell_registry::UpdateLimits() {
  const auto now = std::chrono::steady_clock::now();
  const auto shares = LimitShares(*table_, *node_.View());
  for (auto& [name, cell] : cells_)
    ApplyLimits(cell, *table_, shares, now);
}

void cell_registry::UpdateLeavingHosts() {
  const auto leaving = node::LeavingHosts(*node_.View());
  for (auto& [name, cell] : cells_) {
    const bool changed = ApplyLeavingHosts(cell, leaving);
    if (changed && cell.owned)
      AnnounceReady(cell);
  }
}

void cell_registry::AnnounceReady(cell_state& cell) {
  node_.AnnounceRecord("ready/" + cell.name, wire::Encode(ReadyOf(cell)));
}

void cell_registry::AnnounceLoad(cell_state& cell) {
  const auto now = std::chrono::steady_clock::now();
  const wire::cell_load load = LoadOf(cell);
  wire::cell_load& last = announced_loads_[cell.name];
  base::time_point& at = announced_at_[cell.name];
  const int change =
      std::abs(load.queued + load.in_flight - last.queued - last.in_flight);
  const bool large = change > kLoadChangeFraction * std::max(load.slots, 1) ||
                     load.slots != last.slots;
  const bool due = large ? now - at > kMinLoadInterval
                         : load != last && now - at > kMaxLoadInterval;
  if (!due)
    return;
  last = load;
  at = now;
  node_.AnnounceRecord("load/" + cell.name, wire::Encode(load));
}

asio::awaitable<void> cell_registry::MaintenanceLoop() {
  asio::steady_timer timer(decisions_.context());
  for (int round = 0;; ++round) {
    if (round % kRoundsPerOwnershipUpdate == 0) {
      UpdateOwnership();
      UpdateLeavingHosts();
    }
    if (round % kRoundsPerLimitUpdate == 0)
      UpdateLimits();
    const auto now = std::chrono::steady_clock::now();
    for (auto& [name, cell] : cells_) {
      ExpireAttempts(cell, settings_.attempt_expiry, now);
      DispatchWaiting(cell);
      if (cell.owned)
        AnnounceLoad(cell);
    }
    timer.expires_after(kMaintenanceInterval);
    co_await timer.async_wait(kAwait);
  }
}

void cell_registry::AddStatus(boost::json::object& status) const {
  boost::json::array cells;
  for (const auto& [name, cell] : cells_) {
    boost::json::array servers;
    for (const auto& server : cell.admission.servers) {
      servers.push_back({{"server", server.name},
                         {"in_flight", server.in_flight},
                         {"foreign", server.external_in_flight},
                         {"slots", server.slots},
                         {"ready", server.ready.size()},
                         {"down", server.down},
                         {"leaving", server.leaving}});
    }
    boost::json::object tokens;
    for (const auto& [partner, queue] : cell.admission.partners)
      tokens[partner] = queue.tokens_served;
    cells.push_back({{"cell", name},
                     {"owned", cell.owned},
                     {"queued", cell.admission.queued},
                     {"tokens", std::move(tokens)},
                     {"servers", std::move(servers)}});
  }
  status["cells"] = std::move(cells);
}

}  // namespace valeledge::scheduler
