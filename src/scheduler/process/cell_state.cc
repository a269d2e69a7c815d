// SPDX-License-Identifier: MIT
#include "scheduler/process/cell_state.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/logging.h"
#include "base/result_code.h"
#include "wire/codec.h"

namespace valeledge::scheduler {

namespace {

using base::log_event;
using decisions::server_view;

constexpr std::string_view kCategory = "cell";

server_view* FindServer(cell_state& cell, const std::string& name) {
  auto& servers = cell.admission.servers;
  const auto found = std::ranges::find(servers, name, &server_view::name);
  return found == servers.end() ? nullptr : &*found;
}

std::string WithoutVersion(const std::string& artifact) {
  return artifact.substr(0, artifact.rfind('@'));
}

// Returns the ready units that the previous owner of the cell announced by
// gossip; used until the first poll of the server.
std::vector<decisions::unit_hash> ReadyByGossip(const node::member_view& view,
                                                const cell_state& cell,
                                                const std::string& server) {
  const auto record = view.records.find("ready/" + cell.name);
  if (record == view.records.end())
    return {};
  const auto ready = wire::DecodeCellReady(record->second.value);
  if (!ready)
    return {};
  const auto found = std::ranges::find(
      ready->servers, decisions::HashUnit(server), &wire::server_ready::server);
  if (found == ready->servers.end())
    return {};
  return {found->units.begin(), found->units.end()};
}

void ApplyServers(cell_state& cell,
                  const table::snapshot& table,
                  const node::member_view& view) {
  std::vector<server_view> servers;
  std::map<std::string, backend_state> backends;
  const auto rows = table.cells.find(cell.name);
  if (rows != table.cells.end()) {
    for (const table::row* row : rows->second) {
      const server_view* known = FindServer(cell, row->name);
      server_view each = known == nullptr ? server_view() : *known;
      backend_state& backend = backends[row->name];
      const auto before = cell.backends.find(row->name);
      if (before != cell.backends.end())
        backend = before->second;
      each.name = row->name;
      each.address = row->address;
      each.slots = row->slots;
      backend.is_engine = row->base.empty();
      if (!backend.is_engine)
        each.ready = {decisions::HashUnit("service/" + row->base)};
      else if (known == nullptr)
        each.ready = ReadyByGossip(view, cell, row->name);
      else if (backend.polled)
        each.ready = UnitsOf(table, backend.engine);
      cell.zone = row->zone;
      servers.push_back(std::move(each));
    }
  }
  cell.admission.servers = std::move(servers);
  cell.backends = std::move(backends);
}

void SetDown(cell_state& cell, server_view& server, bool down) {
  if (server.down == down)
    return;
  server.down = down;
  base::Log(kCategory, down ? log_event::kServerDown : log_event::kServerUp,
            {{"server", server.name}, {"cell", cell.name}});
}

void SetLeaving(cell_state& cell, server_view& server, bool leaving) {
  if (server.leaving == leaving)
    return;
  server.leaving = leaving;
  if (leaving) {
    base::Log(kCategory, log_event::kServerLeaving,
              {{"server", server.name}, {"cell", cell.name}});
  }
}

bool SameEngine(const decisions::engine_report& left,
                const decisions::engine_report& right) {
  return left.incarnation == right.incarnation &&
         left.version == right.version && left.loaded == right.loaded &&
         left.orders_done == right.orders_done;
}

}  // namespace

std::vector<decisions::unit_hash> UnitsOf(
    const table::snapshot& table,
    const decisions::engine_report& from) {
  std::set<std::string> names;
  for (const auto& [artifact, copies] : from.loaded) {
    if (copies > 0)
      names.insert(WithoutVersion(artifact));
  }
  std::vector<decisions::unit_hash> units;
  for (const std::string& name : names) {
    constexpr std::string_view kAdapter = "adapter/";
    if (name.starts_with(kAdapter)) {
      const table::row* row =
          table.Find(table::row_kind::kAdapter, name.substr(kAdapter.size()));
      if (row == nullptr || !names.contains("model/" + row->base))
        continue;
    }
    units.push_back(decisions::HashUnit(name));
  }
  return units;
}

void ApplyTable(cell_state& cell,
                const table::snapshot& table,
                const node::member_view& view) {
  ApplyServers(cell, table, view);
  for (const table::row* partner : table.All(table::row_kind::kPartner))
    decisions::SetWeight(cell.admission, partner->name, partner->weight);
}

void ApplyLimits(cell_state& cell,
                 const table::snapshot& table,
                 const std::map<std::string, double>& shares,
                 base::time_point now) {
  for (const auto kind : {table::row_kind::kPartner, table::row_kind::kModel,
                          table::row_kind::kService}) {
    for (const table::row* row : table.All(kind)) {
      const std::string key = table::KeyOf(*row);
      const auto share = shares.find(key);
      decisions::SetLimits(cell.admission, key, row->limit_requests,
                           row->limit_tokens,
                           share == shares.end() ? 1 : share->second, now);
    }
  }
}

bool ApplyReport(cell_state& cell,
                 const backend_report& report,
                 const table::snapshot& table,
                 std::int64_t polls_to_down) {
  server_view* server = FindServer(cell, report.server);
  const auto found = cell.backends.find(report.server);
  if (server == nullptr || found == cell.backends.end())
    return false;
  backend_state& backend = found->second;
  const bool down_before = server->down;
  const bool leaving_before = server->leaving;
  const auto ready_before = server->ready;
  if (!report.responded) {
    ++backend.missed_polls;
    if (backend.missed_polls >= polls_to_down)
      SetDown(cell, *server, true);
  } else {
    backend.missed_polls = 0;
    backend.polled = true;
    SetDown(cell, *server, false);
    SetLeaving(cell, *server, report.draining);
    // The report lags behind the local count: attempts that were in flight here
    // at this or the last poll do not count as external.
    const std::int64_t own_attempts =
        std::max(server->in_flight, backend.in_flight_at_poll);
    server->external_in_flight =
        std::max<std::int64_t>(0, report.in_flight - own_attempts);
    backend.in_flight_at_poll = server->in_flight;
    if (backend.is_engine) {
      backend.unreported |= !SameEngine(backend.engine, report.engine);
      backend.engine = report.engine;
      server->ready = UnitsOf(table, report.engine);
    }
  }
  const bool state_changed =
      server->down != down_before || server->leaving != leaving_before;
  backend.unreported |= state_changed;
  return state_changed || server->ready != ready_before;
}

bool ApplyLeavingHosts(cell_state& cell, const std::set<std::string>& leaving) {
  bool changed = false;
  for (server_view& server : cell.admission.servers) {
    const auto address = base::ParseEndpoint(server.address);
    const bool is_leaving = address && leaving.contains(address->address);
    if (server.host_leaving == is_leaving)
      continue;
    server.host_leaving = is_leaving;
    cell.backends[server.name].unreported = true;
    changed = true;
    if (is_leaving) {
      base::Log(kCategory, log_event::kServerLeaving,
                {{"server", server.name}, {"cell", cell.name}});
    }
  }
  return changed;
}

void ApplyAttemptEnd(cell_state& cell,
                     const wire::attempt_end& ended,
                     base::time_point now) {
  server_view* server = FindServer(cell, ended.server);
  if (server != nullptr && ended.unreachable) {
    // The server is not selected again until it responds to a poll.
    SetDown(cell, *server, true);
  }
  if (server != nullptr && ended.draining)
    SetLeaving(cell, *server, true);
  const auto found = cell.running.find(ended.attempt_id);
  if (found == cell.running.end())
    return;
  const running_attempt attempt = found->second;
  cell.running.erase(found);
  const auto backend = cell.backends.find(attempt.server);
  const bool refused =
      ended.outcome == static_cast<std::int32_t>(base::outcome::kNotRun) &&
      !ended.unreachable && !ended.draining;
  // An engine that refuses an attempt has probably just unloaded the unit. Its
  // next report restores the unit if it is still loaded.
  if (refused && server != nullptr && backend != cell.backends.end() &&
      backend->second.is_engine) {
    std::erase(server->ready, attempt.unit);
  }
  decisions::ended_attempt end{attempt.server,
                               attempt.partner,
                               attempt.tokens,
                               static_cast<double>(ended.tokens),
                               {}};
  const bool completed =
      ended.outcome == static_cast<std::int32_t>(base::outcome::kCompleted);
  if (completed && attempt.started.time_since_epoch().count() != 0) {
    end.took = std::chrono::duration_cast<std::chrono::microseconds>(
        now - attempt.started);
  }
  decisions::EndAttempt(cell.admission, end);
}

void ApplyInFlight(cell_state& cell,
                   const wire::in_flight_report& report,
                   base::time_point now) {
  for (const wire::attempt_end& each : report.attempts) {
    const auto [found, inserted] = cell.running.try_emplace(each.attempt_id);
    found->second.last_reported = now;
    if (!inserted)
      continue;
    found->second.server = each.server;
    found->second.partner = each.partner;
    server_view* server = FindServer(cell, each.server);
    if (server != nullptr)
      ++server->in_flight;
  }
}

void ExpireAttempts(cell_state& cell,
                    std::chrono::microseconds expiry,
                    base::time_point now) {
  std::erase_if(cell.running, [&](const auto& entry) {
    const running_attempt& attempt = entry.second;
    if (now - attempt.last_reported < expiry)
      return false;
    decisions::EndAttempt(
        cell.admission,
        {attempt.server, attempt.partner, attempt.tokens, 0, {}});
    return true;
  });
}

wire::cell_load LoadOf(const cell_state& cell) {
  wire::cell_load load;
  load.queued = static_cast<std::int32_t>(cell.admission.queued);
  for (const server_view& server : cell.admission.servers) {
    load.in_flight +=
        static_cast<std::int32_t>(server.in_flight + server.external_in_flight);
    if (decisions::AcceptsWork(server))
      load.slots += static_cast<std::int32_t>(server.slots);
  }
  return load;
}

wire::cell_ready ReadyOf(const cell_state& cell) {
  wire::cell_ready ready;
  for (const server_view& server : cell.admission.servers) {
    if (!decisions::AcceptsWork(server) || server.ready.empty())
      continue;
    wire::server_ready each;
    each.server = decisions::HashUnit(server.name);
    each.units.assign(server.ready.begin(), server.ready.end());
    ready.servers.push_back(std::move(each));
  }
  return ready;
}

}  // namespace valeledge::scheduler
