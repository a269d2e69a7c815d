// SPDX-License-Identifier: MIT
#include "controller/process/planner.h"

#include <algorithm>
#include <utility>

#include "base/identifier.h"
#include "base/logging.h"
#include "controller/process/order_end_wire.h"
#include "membership/constants.h"

namespace valeledge::controller {

namespace {

namespace asio = boost::asio;
using base::log_event;
using base::result_code;
using decisions::order_kind;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view kCategory = "planner";

// Assumed duration of an attempt in a cell that has not reported one yet.
constexpr std::chrono::duration<double> kDefaultServiceTime(2.0);

// Maximum wait for the lease holder to acknowledge an order's end.
constexpr auto kForwardTimeout = std::chrono::seconds(1);

// Minimum time between two report queries to one server.
constexpr auto kQueryInterval = std::chrono::milliseconds(500);

}  // namespace

planner::planner(base::duty& planning,
                 base::duty& orders,
                 node::node& node,
                 store::lease_keeper& lease,
                 reservation_store& reservations,
                 order_sender& sender,
                 const controller_settings& settings)
    : planning_(planning),
      orders_(orders),
      node_(node),
      lease_(lease),
      reservations_(reservations),
      sender_(sender),
      settings_(settings),
      wake_timer_(planning.context()),
      incarnation_(std::chrono::duration_cast<std::chrono::microseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count()),
      load_limiter_(settings) {}

void planner::Start() {
  asio::co_spawn(planning_.context(), Loop(), asio::detached);
}

bool planner::HandleReport(const wire::cell_report& report) {
  if (lease_.term() == 0)
    return false;
  const auto now = std::chrono::steady_clock::now();
  for (const wire::server_report& each : report.servers) {
    server_status& status = statuses_[each.server];
    status.engine = {each.incarnation, each.version, each.loaded,
                     each.orders_done};
    status.down = each.down;
    status.leaving = each.leaving;
    status.reported_at = now;
    unreconciled_.insert(each.server);
  }
  const std::chrono::duration<double> interval =
      std::chrono::microseconds(report.interval_us);
  if (report.mean_service_us > 0) {
    mean_service_times_[report.cell] =
        std::chrono::microseconds(report.mean_service_us);
  }
  auto& demand = demand_[report.cell];
  demand.clear();
  for (const wire::model_demand& each : report.demand) {
    if (interval.count() > 0)
      demand[each.model] =
          static_cast<double>(each.requests) / interval.count();
  }
  wake_timer_.cancel();
  return true;
}

void planner::HandleOrderEnd(order_end end) {
  order_ends_.push_back(std::move(end));
  wake_timer_.cancel();
}

bool planner::HandleForwardedOrderEnd(order_end end) {
  if (lease_.term() == 0)
    return false;
  HandleOrderEnd(std::move(end));
  return true;
}

asio::awaitable<bool> planner::ForwardOrderEnd(base::endpoint holder,
                                               order_end end) {
  wire::envelope call;
  call.__set_order_end(Encode(end));
  using reply_type = base::result<wire::envelope>;
  auto send = [this, call, holder]() -> asio::awaitable<reply_type> {
    co_return co_await node_.CallPeer(holder, call, kForwardTimeout);
  };
  const auto reply =
      co_await base::RunOn<reply_type>(node_.peers(), std::move(send));
  co_return reply&&* reply && (*reply)->__isset.done &&
      (*reply)->done.code == 0;
}

asio::awaitable<void> planner::ForwardOrderEnds() {
  std::ranges::move(deferred_order_ends_, std::back_inserter(order_ends_));
  deferred_order_ends_.clear();
  if (order_ends_.empty())
    co_return;
  const auto view = node_.View();
  const auto record = view->records.find(membership::kControllerRecord);
  if (record == view->records.end())
    co_return;
  const std::string& value = record->second.value;
  const auto holder = base::ParseEndpoint(value.substr(0, value.find(' ')));
  if (!holder || *holder == node_.settings().peer_listen)
    co_return;
  while (!order_ends_.empty()) {
    const order_end end = order_ends_.front();
    const bool accepted = co_await ForwardOrderEnd(*holder, end);
    if (!accepted)
      co_return;
    pending_orders_.erase(end.order_id);
    order_ends_.pop_front();
  }
}

asio::awaitable<bool> planner::Write(decisions::server_reservation record) {
  const auto written = co_await reservations_.Write(std::move(record));
  if (written)
    co_return true;
  if (written.error().code == result_code::kLeaseLost)
    lease_.NoteLost(reservations_.term());
  if (written.error().code == result_code::kRevisionConflict)
    base::Log(kCategory, log_event::kReservationConflict);
  co_return false;
}

asio::awaitable<bool> planner::BeginTerm(std::int64_t term) {
  statuses_.clear();
  unreconciled_.clear();
  demand_.clear();
  const auto read = co_await reservations_.Read(term);
  if (!read) {
    if (read.error().code == result_code::kLeaseLost)
      lease_.NoteLost(term);
    co_return false;
  }
  const auto now = std::chrono::steady_clock::now();
  load_limiter_.BeginTerm(now);
  for (const auto& [server, stored] : reservations_.records()) {
    for (const decisions::order& each : stored.record.unresolved) {
      const bool own = pending_orders_.contains(each.id);
      if (each.kind == order_kind::kLoad && !own)
        load_limiter_.AddInheritedLoad(now);
    }
  }
  node_.AnnounceRecord(std::string(membership::kControllerRecord),
                       base::ToString(node_.settings().peer_listen) + " " +
                           std::to_string(term));
  co_return true;
}

asio::awaitable<bool> planner::ResolveOrders() {
  while (!order_ends_.empty()) {
    const order_end end = order_ends_.front();
    const auto stored = reservations_.records().find(end.server);
    if (stored != reservations_.records().end()) {
      decisions::server_reservation record = stored->second.record;
      const bool same_run =
          end.incarnation.empty() || end.incarnation == record.incarnation;
      if (end.response && !same_run) {
        // The response comes from an engine run other than the recorded one.
        // It is applied once the record has changed to that run.
        deferred_order_ends_.push_back(end);
        order_ends_.pop_front();
        continue;
      }
      if (end.response)
        decisions::Resolve(record, end.order_id, *end.response, end.version);
      else
        decisions::MarkFinished(record, end.order_id);
      unreconciled_.insert(end.server);
      const bool written = co_await Write(std::move(record));
      if (!written)
        co_return false;
      base::Log(
          kCategory,
          end.response ? log_event::kOrderSettled : log_event::kOrderUnsettled,
          {{"server", end.server}, {"order", end.order_id}});
    }
    pending_orders_.erase(end.order_id);
    if (!order_ends_.empty() && order_ends_.front().order_id == end.order_id)
      order_ends_.pop_front();
  }
  co_return true;
}

decisions::server_reservation planner::RecordOf(
    const table::row& server) const {
  decisions::server_reservation record;
  const auto stored = reservations_.records().find(server.name);
  if (stored != reservations_.records().end())
    record = stored->second.record;
  record.server = server.name;
  record.capacity_mb = server.memory_mb;
  record.fencing = server.fencing;
  record.doubled_load = server.doubled_load;
  record.redelivery = server.redelivery;
  return record;
}

asio::awaitable<std::optional<decisions::engine_report>> planner::QueryReport(
    const table::row& row) {
  const auto now = std::chrono::steady_clock::now();
  const auto address = base::ParseEndpoint(row.address);
  base::time_point& last = last_query_[row.name];
  if (!address || now - last < kQueryInterval)
    co_return std::nullopt;
  last = now;
  using response_type = std::optional<decisions::engine_report>;
  auto query = [this, address = *address]() -> asio::awaitable<response_type> {
    co_return co_await sender_.QueryReport(address);
  };
  const auto response =
      co_await base::RunOn<response_type>(orders_, std::move(query));
  co_return response ? *response : std::nullopt;
}

asio::awaitable<bool> planner::ReconcileServer(const table::row& row,
                                               const table::snapshot& table) {
  const server_status status = statuses_.at(row.name);
  decisions::server_reservation record = RecordOf(row);
  const auto stored = reservations_.records().find(row.name);
  const bool known = stored != reservations_.records().end() &&
                     stored->second.mod_revision != 0;
  const std::string before =
      known ? decisions::EncodeReservation(stored->second.record)
            : std::string();
  if (!status.down && decisions::NeedsReport(record, status.engine)) {
    const auto report = co_await QueryReport(row);
    if (report)
      decisions::ApplyRequestedReport(record, *report);
  }
  decisions::ApplyReport(record, status.engine);
  // Artifacts loaded before any record existed have no size in the record;
  // the table provides it.
  for (auto& [artifact, held] : record.held) {
    if (held.memory_mb != 0)
      continue;
    const auto table_entry =
        table.rows.find(artifact.substr(0, artifact.rfind('@')));
    held.memory_mb = table_entry == table.rows.end()
                         ? record.capacity_mb
                         : table_entry->second.value.memory_mb;
  }
  const bool changed = decisions::EncodeReservation(record) != before;
  if (!changed || record.incarnation.empty())
    co_return true;
  const std::string run = record.incarnation;
  const bool written = co_await Write(std::move(record));
  if (!written)
    co_return false;
  std::erase_if(deferred_order_ends_, [&](const order_end& each) {
    const bool due = each.server == row.name && each.incarnation == run;
    if (due)
      order_ends_.push_back(each);
    return due;
  });
  co_return true;
}

asio::awaitable<bool> planner::ReconcileReports() {
  const auto table = node_.table().Get();
  if (std::exchange(reconciled_table_revision_, table->revision) !=
      table->revision) {
    for (const auto& [server, status] : statuses_)
      unreconciled_.insert(server);
  }
  const auto servers = std::exchange(unreconciled_, {});
  for (const std::string& server : servers) {
    const table::row* row = table->Find(table::row_kind::kServer, server);
    if (row == nullptr || !row->base.empty() || !statuses_.contains(server))
      continue;
    const bool applied = co_await ReconcileServer(*row, *table);
    const auto stored = reservations_.records().find(server);
    const bool needs_report =
        stored == reservations_.records().end() ||
        decisions::NeedsReport(stored->second.record,
                               statuses_.at(server).engine);
    if (needs_report || !applied)
      unreconciled_.insert(server);
    if (!applied) {
      unreconciled_.insert(servers.begin(), servers.end());
      co_return false;
    }
  }
  co_return true;
}

// A member with a newer incarnation under the same id proves that the earlier
// controller process has exited, so it cannot send its recorded orders any
// more.
asio::awaitable<bool> planner::FinishOrphanedOrders() {
  std::map<std::string, std::int64_t> incarnations;
  for (const membership::member& each : node_.View()->members)
    incarnations[each.id] = each.incarnation;
  std::vector<decisions::server_reservation> changed;
  const auto has_ended = [&](const decisions::order& each) {
    const auto found = incarnations.find(each.sender);
    return !each.finished && found != incarnations.end() &&
           found->second > each.sender_incarnation;
  };
  for (const auto& [server, stored] : reservations_.records()) {
    if (std::ranges::none_of(stored.record.unresolved, has_ended))
      continue;
    decisions::server_reservation record = stored.record;
    for (decisions::order& each : record.unresolved)
      each.finished = each.finished || has_ended(each);
    changed.push_back(std::move(record));
    unreconciled_.insert(server);
  }
  for (decisions::server_reservation& record : changed) {
    const bool written = co_await Write(std::move(record));
    if (!written)
      co_return false;
  }
  co_return true;
}

std::vector<decisions::placement_model> planner::Models(
    const table::snapshot& table) {
  std::map<std::string, double> observed_demand;
  for (const auto& [cell, models] : demand_) {
    for (const auto& [model, rate] : models)
      observed_demand[model] += rate;
  }
  const std::chrono::duration<double> interval = settings_.plan_interval;
  std::vector<decisions::placement_model> out;
  for (const table::row* model : table.All(table::row_kind::kModel)) {
    decisions::placement_model each;
    each.model = model->name;
    each.replicas = model->replicas;
    each.move_price = model->move_price;
    each.artifacts.push_back(table::ArtifactOf(*model));
    each.memory_mb.push_back(model->memory_mb);
    const auto adapters = table.adapters.find(model->name);
    if (adapters != table.adapters.end()) {
      for (const table::row* adapter : adapters->second) {
        each.artifacts.push_back(table::ArtifactOf(*adapter));
        each.memory_mb.push_back(adapter->memory_mb);
      }
    }
    decisions::demand_forecast& forecast = forecasts_[model->name];
    decisions::Update(forecast, observed_demand[model->name], interval);
    each.demand = decisions::Predict(forecast, std::chrono::seconds(5));
    out.push_back(std::move(each));
  }
  return out;
}

std::vector<decisions::placement_server> planner::Servers(
    const table::snapshot& table) {
  const auto now = std::chrono::steady_clock::now();
  std::vector<decisions::placement_server> out;
  for (const table::row* row : table.All(table::row_kind::kServer)) {
    if (!row->base.empty())
      continue;
    decisions::placement_server each;
    each.name = row->name;
    each.zone = row->zone;
    const auto service = mean_service_times_.find(table::CellOf(*row));
    const auto mean = service == mean_service_times_.end() ? kDefaultServiceTime
                                                           : service->second;
    each.capacity = static_cast<double>(row->slots) / mean.count();
    each.record = RecordOf(*row);
    const auto status = statuses_.find(row->name);
    each.usable = status != statuses_.end() && !status->second.down &&
                  !status->second.leaving &&
                  now - status->second.reported_at < settings_.report_expiry;
    for (const decisions::order& order : each.record.unresolved) {
      if (pending_orders_.contains(order.id))
        each.pending_orders.insert(order.id);
    }
    out.push_back(std::move(each));
  }
  return out;
}

std::int64_t planner::PendingLoads() const {
  return std::ranges::count_if(pending_orders_, [](const auto& each) {
    return each.second == order_kind::kLoad;
  });
}

decisions::placement_plan planner::Plan() {
  const auto table = node_.table().Get();
  decisions::placement_settings placement = settings_.placement;
  placement.horizon =
      std::chrono::duration_cast<std::chrono::seconds>(settings_.horizon);
  placement.max_concurrent_moves = settings_.loads_at_once;
  return decisions::PlanPlacement(Models(*table), Servers(*table), placement);
}

asio::awaitable<bool> planner::ExecuteMove(
    const decisions::placement_move& move) {
  const auto table = node_.table().Get();
  const table::row* row = table->Find(table::row_kind::kServer, move.server);
  const auto address =
      row == nullptr ? std::nullopt : base::ParseEndpoint(row->address);
  if (!address)
    co_return true;
  decisions::server_reservation record = RecordOf(*row);
  const bool load = move.kind == order_kind::kLoad;
  if (load && !decisions::CanLoad(record, move.artifact, move.memory_mb))
    co_return true;
  if (load && !load_limiter_.TryStartLoad(PendingLoads(),
                                          std::chrono::steady_clock::now()))
    co_return true;
  decisions::order order =
      load ? decisions::RecordLoad(record, base::NewIdentifier(), move.artifact,
                                   move.memory_mb)
           : decisions::RecordUnload(record, base::NewIdentifier(),
                                     move.artifact);
  record.unresolved.back().sender = node_.id();
  record.unresolved.back().sender_incarnation = incarnation_;
  const bool written = co_await Write(std::move(record));
  if (!written)
    co_return false;
  pending_orders_[order.id] = order.kind;
  ++moves_;
  node_.metrics()
      .Counter("valeledge_moves_total", load ? "load" : "unload")
      .Add();
  base::Log(kCategory, log_event::kOrderSent,
            {{"server", move.server},
             {"order", order.id},
             {"kind", load ? "load" : "unload"},
             {"artifact", move.artifact}});
  orders_.Submit([this, server = move.server, address = *address, order] {
    sender_.Send(server, address, order);
  });
  co_return true;
}

asio::awaitable<void> planner::Loop() {
  std::int64_t term = 0;
  while (true) {
    wake_timer_.expires_after(settings_.plan_interval);
    co_await wake_timer_.async_wait(kAwait);
    const std::int64_t current_term = lease_.term();
    if (current_term == 0) {
      term = 0;
      co_await ForwardOrderEnds();
      continue;
    }
    if (current_term != term) {
      const bool begun = co_await BeginTerm(current_term);
      if (!begun)
        continue;
      term = current_term;
    }
    const bool recorded = co_await ResolveOrders() &&
                          co_await ReconcileReports() &&
                          co_await FinishOrphanedOrders();
    if (!recorded || node_.table().Get()->revision == 0)
      continue;
    const decisions::placement_plan plan = Plan();
    if (plan.unplaced_models != unplaced_models_) {
      unplaced_models_ = plan.unplaced_models;
      for (const std::string& model : unplaced_models_)
        base::Log(kCategory, log_event::kNoRoomForModel, {{"model", model}});
    }
    for (const decisions::placement_move& move : plan.moves) {
      const bool executed = co_await ExecuteMove(move);
      if (!executed)
        break;
    }
  }
}

void planner::AddStatus(boost::json::object& status) const {
  status["holds_lease"] = lease_.term() != 0;
  status["term"] = lease_.term();
  status["moves"] = moves_;
  boost::json::array records;
  for (const auto& [server, stored] : reservations_.records()) {
    records.push_back(
        {{"server", server},
         {"capacity_mb", stored.record.capacity_mb},
         {"reserved_mb", decisions::ReservedMemory(stored.record)},
         {"unsettled", stored.record.unresolved.size()}});
  }
  status["reservations"] = std::move(records);
}

}  // namespace valeledge::controller
