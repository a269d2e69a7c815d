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

// How long an attempt is taken to last in a cell that has told nothing yet.
constexpr std::chrono::duration<double> kUsualService(2.0);

// Longest wait until the holder of the lease has taken an order's end.
constexpr auto kForwardTimeout = std::chrono::seconds(1);

// One server is asked for a report at most this often.
constexpr auto kAskInterval = std::chrono::milliseconds(500);

}  // namespace

planner::planner(base::duty& planning,
                 base::duty& orders,
                 node::node& node,
                 store::lease_keeper& lease,
                 reservation_book& book,
                 order_sender& sender,
                 const controller_settings& settings)
    : planning_(planning),
      orders_(orders),
      node_(node),
      lease_(lease),
      book_(book),
      sender_(sender),
      settings_(settings),
      wake_(planning.context()),
      incarnation_(std::chrono::duration_cast<std::chrono::microseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count()),
      store_(settings) {}

void planner::Start() {
  asio::co_spawn(planning_.context(), Loop(), asio::detached);
}

bool planner::TakeReport(const wire::cell_report& report) {
  if (lease_.term() == 0)
    return false;
  const auto now = std::chrono::steady_clock::now();
  for (const wire::server_report& each : report.servers) {
    server_news& news = news_[each.server];
    news.engine = {each.incarnation, each.version, each.loaded,
                   each.orders_done};
    news.down = each.down;
    news.leaving = each.leaving;
    news.heard = now;
    unread_.insert(each.server);
  }
  const std::chrono::duration<double> interval =
      std::chrono::microseconds(report.interval_us);
  if (report.mean_service_us > 0) {
    mean_service_[report.cell] =
        std::chrono::microseconds(report.mean_service_us);
  }
  auto& demand = demand_[report.cell];
  demand.clear();
  for (const wire::model_demand& each : report.demand) {
    if (interval.count() > 0)
      demand[each.model] =
          static_cast<double>(each.requests) / interval.count();
  }
  wake_.cancel();
  return true;
}

void planner::TakeOrderEnd(order_end end) {
  ends_.push_back(std::move(end));
  wake_.cancel();
}

bool planner::TakeForeignEnd(order_end end) {
  if (lease_.term() == 0)
    return false;
  TakeOrderEnd(std::move(end));
  return true;
}

asio::awaitable<bool> planner::ForwardEnd(base::endpoint holder,
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

asio::awaitable<void> planner::ForwardEnds() {
  std::ranges::move(deferred_, std::back_inserter(ends_));
  deferred_.clear();
  if (ends_.empty())
    co_return;
  const auto view = node_.View();
  const auto record = view->records.find(membership::kControllerRecord);
  if (record == view->records.end())
    co_return;
  const std::string& value = record->second.value;
  const auto holder = base::ParseEndpoint(value.substr(0, value.find(' ')));
  if (!holder || *holder == node_.settings().peer_listen)
    co_return;
  while (!ends_.empty()) {
    const order_end end = ends_.front();
    const bool taken = co_await ForwardEnd(*holder, end);
    if (!taken)
      co_return;
    awaited_.erase(end.order_id);
    ends_.pop_front();
  }
}

asio::awaitable<bool> planner::Write(decisions::server_reservation record) {
  const auto written = co_await book_.Write(std::move(record));
  if (written)
    co_return true;
  if (written.error().code == result_code::kLeaseLost)
    lease_.NoteLost(book_.term());
  if (written.error().code == result_code::kRevisionConflict)
    base::Log(kCategory, log_event::kReservationConflict);
  co_return false;
}

asio::awaitable<bool> planner::Begin(std::int64_t term) {
  news_.clear();
  unread_.clear();
  demand_.clear();
  const auto read = co_await book_.Read(term);
  if (!read) {
    if (read.error().code == result_code::kLeaseLost)
      lease_.NoteLost(term);
    co_return false;
  }
  const auto now = std::chrono::steady_clock::now();
  store_.Begin(now);
  for (const auto& [server, kept] : book_.records()) {
    for (const decisions::order& each : kept.record.unresolved) {
      const bool own = awaited_.contains(each.id);
      if (each.kind == order_kind::kLoad && !own)
        store_.Inherit(now);
    }
  }
  node_.AnnounceRecord(std::string(membership::kControllerRecord),
                       base::ToString(node_.settings().peer_listen) + " " +
                           std::to_string(term));
  co_return true;
}

asio::awaitable<bool> planner::SettleEnds() {
  while (!ends_.empty()) {
    const order_end end = ends_.front();
    const auto kept = book_.records().find(end.server);
    if (kept != book_.records().end()) {
      decisions::server_reservation record = kept->second.record;
      const bool same_run =
          end.incarnation.empty() || end.incarnation == record.incarnation;
      if (end.answer && !same_run) {
        // Another run has answered; it counts when the record is about it.
        deferred_.push_back(end);
        ends_.pop_front();
        continue;
      }
      if (end.answer)
        decisions::Resolve(record, end.order_id, *end.answer, end.version);
      else
        decisions::MarkFinished(record, end.order_id);
      unread_.insert(end.server);
      const bool written = co_await Write(std::move(record));
      if (!written)
        co_return false;
      base::Log(
          kCategory,
          end.answer ? log_event::kOrderSettled : log_event::kOrderUnsettled,
          {{"server", end.server}, {"order", end.order_id}});
    }
    awaited_.erase(end.order_id);
    if (!ends_.empty() && ends_.front().order_id == end.order_id)
      ends_.pop_front();
  }
  co_return true;
}

decisions::server_reservation planner::RecordOf(
    const table::row& server) const {
  decisions::server_reservation record;
  const auto kept = book_.records().find(server.name);
  if (kept != book_.records().end())
    record = kept->second.record;
  record.server = server.name;
  record.capacity_mb = server.memory_mb;
  record.fencing = server.fencing;
  record.doubled_load = server.doubled_load;
  record.redelivery = server.redelivery;
  return record;
}

asio::awaitable<std::optional<decisions::engine_report>> planner::Ask(
    const table::row& row) {
  const auto now = std::chrono::steady_clock::now();
  const auto address = base::ParseEndpoint(row.address);
  base::time_point& last = asked_[row.name];
  if (!address || now - last < kAskInterval)
    co_return std::nullopt;
  last = now;
  using answer_type = std::optional<decisions::engine_report>;
  auto ask = [this, address = *address]() -> asio::awaitable<answer_type> {
    co_return co_await sender_.Ask(address);
  };
  const auto answer =
      co_await base::RunOn<answer_type>(orders_, std::move(ask));
  co_return answer ? *answer : std::nullopt;
}

asio::awaitable<bool> planner::ApplyNewsOf(const table::row& row,
                                           const table::snapshot& table) {
  const server_news news = news_.at(row.name);
  decisions::server_reservation record = RecordOf(row);
  const auto kept = book_.records().find(row.name);
  const bool known =
      kept != book_.records().end() && kept->second.modified != 0;
  const std::string before =
      known ? decisions::EncodeReservation(kept->second.record) : std::string();
  if (!news.down && decisions::NeedsReport(record, news.engine)) {
    const auto report = co_await Ask(row);
    if (report)
      decisions::ApplyRequestedReport(record, *report);
  }
  decisions::ApplyReport(record, news.engine);
  // Sizes of what was there before any record are taken from the table.
  for (auto& [artifact, held] : record.held) {
    if (held.memory_mb != 0)
      continue;
    const auto stored =
        table.rows.find(artifact.substr(0, artifact.rfind('@')));
    held.memory_mb = stored == table.rows.end()
                         ? record.capacity_mb
                         : stored->second.value.memory_mb;
  }
  const bool changed = decisions::EncodeReservation(record) != before;
  if (!changed || record.incarnation.empty())
    co_return true;
  const std::string run = record.incarnation;
  const bool written = co_await Write(std::move(record));
  if (!written)
    co_return false;
  std::erase_if(deferred_, [&](const order_end& each) {
    const bool due = each.server == row.name && each.incarnation == run;
    if (due)
      ends_.push_back(each);
    return due;
  });
  co_return true;
}

asio::awaitable<bool> planner::ApplyNews() {
  const auto table = node_.table().Get();
  if (std::exchange(read_table_, table->revision) != table->revision) {
    for (const auto& [server, news] : news_)
      unread_.insert(server);
  }
  const auto servers = std::exchange(unread_, {});
  for (const std::string& server : servers) {
    const table::row* row = table->Find(table::row_kind::kServer, server);
    if (row == nullptr || !row->base.empty() || !news_.contains(server))
      continue;
    const bool applied = co_await ApplyNewsOf(*row, *table);
    const auto kept = book_.records().find(server);
    const bool open =
        kept == book_.records().end() ||
        decisions::NeedsReport(kept->second.record, news_.at(server).engine);
    if (open || !applied)
      unread_.insert(server);
    if (!applied) {
      unread_.insert(servers.begin(), servers.end());
      co_return false;
    }
  }
  co_return true;
}

// A controller process that has been replaced under the same id has certainly
// ended: what it recorded will not be sent by it any more.
asio::awaitable<bool> planner::FinishOfEnded() {
  std::map<std::string, std::int64_t> incarnations;
  for (const membership::member& each : node_.View()->members)
    incarnations[each.id] = each.incarnation;
  std::vector<decisions::server_reservation> changed;
  const auto has_ended = [&](const decisions::order& each) {
    const auto found = incarnations.find(each.sender);
    return !each.finished && found != incarnations.end() &&
           found->second > each.sender_incarnation;
  };
  for (const auto& [server, kept] : book_.records()) {
    if (std::ranges::none_of(kept.record.unresolved, has_ended))
      continue;
    decisions::server_reservation record = kept.record;
    for (decisions::order& each : record.unresolved)
      each.finished = each.finished || has_ended(each);
    changed.push_back(std::move(record));
    unread_.insert(server);
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
  std::map<std::string, double> seen;
  for (const auto& [cell, models] : demand_) {
    for (const auto& [model, rate] : models)
      seen[model] += rate;
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
    decisions::Update(forecast, seen[model->name], interval);
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
    const auto service = mean_service_.find(table::CellOf(*row));
    const auto mean =
        service == mean_service_.end() ? kUsualService : service->second;
    each.capacity = static_cast<double>(row->slots) / mean.count();
    each.record = RecordOf(*row);
    const auto news = news_.find(row->name);
    each.usable = news != news_.end() && !news->second.down &&
                  !news->second.leaving &&
                  now - news->second.heard < settings_.report_expiry;
    for (const decisions::order& order : each.record.unresolved) {
      if (awaited_.contains(order.id))
        each.pending_orders.insert(order.id);
    }
    out.push_back(std::move(each));
  }
  return out;
}

std::int64_t planner::OwnLoads() const {
  return std::ranges::count_if(awaited_, [](const auto& each) {
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

asio::awaitable<bool> planner::CarryOut(const decisions::placement_move& move) {
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
  if (load && !store_.TryStart(OwnLoads(), std::chrono::steady_clock::now()))
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
  awaited_[order.id] = order.kind;
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
    wake_.expires_after(settings_.plan_interval);
    co_await wake_.async_wait(kAwait);
    const std::int64_t now_held = lease_.term();
    if (now_held == 0) {
      term = 0;
      co_await ForwardEnds();
      continue;
    }
    if (now_held != term) {
      const bool begun = co_await Begin(now_held);
      if (!begun)
        continue;
      term = now_held;
    }
    const bool recorded = co_await SettleEnds() && co_await ApplyNews() &&
                          co_await FinishOfEnded();
    if (!recorded || node_.table().Get()->revision == 0)
      continue;
    const decisions::placement_plan plan = Plan();
    if (plan.unplaced_models != without_room_) {
      without_room_ = plan.unplaced_models;
      for (const std::string& model : without_room_)
        base::Log(kCategory, log_event::kNoRoomForModel, {{"model", model}});
    }
    for (const decisions::placement_move& move : plan.moves) {
      const bool carried_out = co_await CarryOut(move);
      if (!carried_out)
        break;
    }
  }
}

void planner::AddStatus(boost::json::object& status) const {
  status["holds_lease"] = lease_.term() != 0;
  status["term"] = lease_.term();
  status["moves"] = moves_;
  boost::json::array records;
  for (const auto& [server, kept] : book_.records()) {
    records.push_back({{"server", server},
                       {"capacity_mb", kept.record.capacity_mb},
                       {"reserved_mb", decisions::ReservedMemory(kept.record)},
                       {"unsettled", kept.record.unresolved.size()}});
  }
  status["reservations"] = std::move(records);
}

}  // namespace valeledge::controller
