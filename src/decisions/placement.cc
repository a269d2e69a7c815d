// SPDX-License-Identifier: MIT
#include "decisions/placement.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace valeledge::decisions {

namespace {

// A rise counts at once, a fall with this weight in each interval.
constexpr double kFallSmoothing = 0.1;
constexpr double kTrendSmoothing = 0.5;

// Orders of this plan have no id yet; they are awaited as well.
bool IsAwaited(const placement_server& server, const order& each) {
  return each.id.empty() || server.awaited.contains(each.id);
}

bool HasAwaited(const placement_server& server,
                order_kind kind,
                const std::string& artifact) {
  return std::ranges::any_of(server.record.unsettled, [&](const order& each) {
    return each.kind == kind && each.artifact == artifact &&
           IsAwaited(server, each);
  });
}

bool HoldsOrLoads(const placement_server& server, const std::string& artifact) {
  return IsSteady(server.record, artifact) ||
         HasAwaited(server, order_kind::kLoad, artifact);
}

// A stalled load keeps its room reserved: making it true costs least.
bool HasStalledLoad(const placement_server& server,
                    const std::string& artifact) {
  return IsLoading(server.record, artifact) &&
         !HasAwaited(server, order_kind::kLoad, artifact);
}

std::string WithoutVersion(const std::string& artifact) {
  return artifact.substr(0, artifact.rfind('@'));
}

// Servers by their position, in ascending order.
using server_set = std::vector<std::size_t>;

bool Contains(const server_set& set, std::size_t server) {
  return std::ranges::binary_search(set, server);
}

void Insert(server_set& set, std::size_t server) {
  const auto at = std::ranges::lower_bound(set, server);
  if (at == set.end() || *at != server)
    set.insert(at, server);
}

// What the plan knows of one model. A replica is a server that has, or is
// getting, the model and all its adapters.
struct model_state {
  const placeable* model = nullptr;
  server_set replicas;
  server_set ready;
};

// The working state of one plan: records and indexes change as moves are
// planned, so that each later decision sees them. Everything is found by
// index, for the plan is made anew every second for hundreds of servers and
// models.
struct planner {
  std::vector<placement_server> servers;
  const placement_settings& settings;
  std::vector<model_state> models;
  std::vector<std::int64_t> free_mb;
  // Requests a second that are asked of each server.
  std::vector<double> demanded;
  // Every artifact that the table wants, with its model.
  std::unordered_map<std::string, std::size_t> wanted;
  // The same without versions.
  std::unordered_map<std::string, std::size_t> wanted_names;
  placement_plan plan;
  std::int64_t under_way = 0;

  bool HasMovesLeft() const { return under_way < settings.moves_at_once; }
};

std::int64_t CountUsable(const planner& state, const server_set& set) {
  return std::ranges::count_if(
      set, [&](std::size_t server) { return state.servers[server].usable; });
}

double DemandPerReplica(const planner& state, const model_state& each) {
  const auto copies =
      std::max<std::int64_t>(CountUsable(state, each.replicas), 1);
  return each.model->demand / static_cast<double>(copies);
}

// Servers that hold every artifact of a model, by an index of holders.
server_set HoldersOfAll(
    const std::unordered_map<std::string, server_set>& holders,
    const placeable& model) {
  server_set out;
  for (std::size_t i = 0; i < model.artifacts.size(); ++i) {
    const auto found = holders.find(model.artifacts[i]);
    if (found == holders.end())
      return {};
    if (i == 0) {
      out = found->second;
      continue;
    }
    std::erase_if(out, [&](std::size_t server) {
      return !Contains(found->second, server);
    });
  }
  return out;
}

planner MakePlanner(const std::vector<placeable>& models,
                    const std::vector<placement_server>& servers,
                    const placement_settings& settings) {
  planner state{servers, settings, {}, {}, {}, {}, {}, {}, 0};
  std::unordered_map<std::string, server_set> holding;
  std::unordered_map<std::string, server_set> steady;
  for (std::size_t i = 0; i < servers.size(); ++i) {
    const placement_server& server = servers[i];
    state.free_mb.push_back(server.record.capacity_mb -
                            ReservedMemory(server.record));
    for (const auto& [artifact, held] : server.record.held) {
      if (HoldsOrLoads(server, artifact))
        holding[artifact].push_back(i);
      if (IsSteady(server.record, artifact))
        steady[artifact].push_back(i);
    }
    state.under_way += std::ranges::count_if(
        server.record.unsettled,
        [&](const order& each) { return IsAwaited(server, each); });
  }
  state.demanded.resize(servers.size());
  for (const placeable& model : models) {
    model_state each{&model, HoldersOfAll(holding, model),
                     HoldersOfAll(steady, model)};
    for (const std::string& artifact : model.artifacts) {
      state.wanted[artifact] = state.models.size();
      state.wanted_names[WithoutVersion(artifact)] = state.models.size();
    }
    for (const std::size_t server : each.replicas)
      state.demanded[server] += DemandPerReplica(state, each);
    state.models.push_back(std::move(each));
  }
  return state;
}

// Memory that the missing parts of a replica need; nothing if they do not fit.
bool FitsOn(const planner& state, std::size_t index, const placeable& model) {
  const placement_server& server = state.servers[index];
  if (server.record.incarnation.empty())
    return false;
  std::int64_t needed = 0;
  for (std::size_t i = 0; i < model.artifacts.size(); ++i) {
    if (!HoldsOrLoads(server, model.artifacts[i])) {
      needed +=
          AddedMemory(server.record, model.artifacts[i], model.memory_mb[i]);
    }
  }
  return needed <= state.free_mb[index];
}

bool HasPart(const placement_server& server, const placeable& model) {
  return HoldsOrLoads(server, model.artifacts.front()) ||
         std::ranges::any_of(model.artifacts, [&](const auto& artifact) {
           return HasStalledLoad(server, artifact);
         });
}

// A partial replica is completed first; then the availability zone with the
// fewest replicas, then the server with the most free memory.
// Servers in `avoided_zone` are passed over.
std::optional<std::size_t> FindHome(const planner& state,
                                    const model_state& each,
                                    std::string_view avoided_zone = {}) {
  std::unordered_map<std::string, std::int64_t> in_zone;
  for (const std::size_t replica : each.replicas) {
    if (state.servers[replica].usable)
      ++in_zone[state.servers[replica].zone];
  }
  std::optional<std::size_t> best;
  std::tuple<bool, std::int64_t, std::int64_t> best_rank;
  for (std::size_t i = 0; i < state.servers.size(); ++i) {
    const placement_server& server = state.servers[i];
    const bool avoided = !avoided_zone.empty() && server.zone == avoided_zone;
    if (!server.usable || avoided || Contains(each.replicas, i) ||
        !FitsOn(state, i, *each.model)) {
      continue;
    }
    const auto zone = in_zone.find(server.zone);
    const std::tuple rank(HasPart(server, *each.model),
                          zone == in_zone.end() ? 0 : -zone->second,
                          state.free_mb[i]);
    if (!best || rank > best_rank) {
      best = i;
      best_rank = rank;
    }
  }
  return best;
}

void PlanLoads(planner& state, std::size_t index, model_state& each) {
  placement_server& server = state.servers[index];
  const placeable& model = *each.model;
  for (std::size_t i = 0; i < model.artifacts.size(); ++i) {
    const std::string& artifact = model.artifacts[i];
    if (HoldsOrLoads(server, artifact))
      continue;
    if (!state.HasMovesLeft())
      return;
    state.free_mb[index] -=
        AddedMemory(server.record, artifact, model.memory_mb[i]);
    RecordLoad(server.record, {}, artifact, model.memory_mb[i]);
    state.plan.moves.push_back(
        {server.name, order_kind::kLoad, artifact, model.memory_mb[i]});
    ++state.under_way;
  }
  Insert(each.replicas, index);
}

void PlanUnload(planner& state,
                std::size_t index,
                const std::string& artifact) {
  placement_server& server = state.servers[index];
  RecordUnload(server.record, {}, artifact);
  state.plan.moves.push_back({server.name, order_kind::kUnload, artifact, 0});
  ++state.under_way;
}

// Whether an artifact that the table no longer names may go: its successor
// (the same name in another version) is ready somewhere, or there is none.
bool MayDrop(const planner& state, const std::string& artifact) {
  const auto successor = state.wanted_names.find(WithoutVersion(artifact));
  return successor == state.wanted_names.end() ||
         CountUsable(state, state.models[successor->second].ready) > 0;
}

void DropUnwanted(planner& state) {
  for (std::size_t i = 0; i < state.servers.size(); ++i) {
    if (!state.servers[i].usable)
      continue;
    std::vector<std::string> unwanted;
    for (const auto& [artifact, held] : state.servers[i].record.held) {
      const bool candidate =
          held.present > 0 && !state.wanted.contains(artifact) &&
          !HasAwaited(state.servers[i], order_kind::kUnload, artifact);
      if (candidate)
        unwanted.push_back(artifact);
    }
    for (const std::string& artifact : unwanted) {
      if (state.HasMovesLeft() && MayDrop(state, artifact))
        PlanUnload(state, i, artifact);
    }
  }
}

// Requests a second that a model's replicas can serve when each server divides
// its capacity among what it holds by demand.
double ServedBy(const planner& state, const model_state& each) {
  const double own = DemandPerReplica(state, each);
  double served = 0;
  for (const std::size_t replica : each.replicas) {
    const double all = state.demanded[replica];
    const double part = all > 0 ? own / all : 1;
    served += state.servers[replica].capacity * part * state.settings.high_mark;
  }
  return served;
}

// A replica beyond those required that demand does not need gives way.
bool GiveUpReplica(planner& state,
                   const model_state& wanting,
                   std::size_t index) {
  for (model_state& each : state.models) {
    const bool here =
        each.model != wanting.model && Contains(each.ready, index);
    const std::int64_t copies = CountUsable(state, each.ready);
    if (!here || copies <= each.model->replicas || copies < 2)
      continue;
    const double left = each.model->demand / static_cast<double>(copies - 1);
    const double mark = state.servers[index].capacity * state.settings.low_mark;
    if (left > mark)
      continue;
    for (const std::string& artifact : each.model->artifacts)
      PlanUnload(state, index, artifact);
    std::erase(each.ready, index);
    std::erase(each.replicas, index);
    return true;
  }
  return false;
}

std::int64_t SizeOf(const placeable& model) {
  return std::accumulate(model.memory_mb.begin(), model.memory_mb.end(),
                         std::int64_t{0});
}

void PlanRequired(planner& state) {
  std::vector<model_state*> order;
  for (model_state& each : state.models)
    order.push_back(&each);
  std::ranges::stable_sort(order, std::ranges::greater(), [](const auto* each) {
    return SizeOf(*each->model);
  });
  // First one replica of each, then the rest.
  for (const bool first : {true, false}) {
    for (model_state* each : order) {
      const std::int64_t wanted = first ? 1 : each->model->replicas;
      while (CountUsable(state, each->replicas) < wanted &&
             state.HasMovesLeft()) {
        const auto home = FindHome(state, *each);
        if (!home) {
          state.plan.without_room.push_back(each->model->model);
          break;
        }
        PlanLoads(state, *home, *each);
      }
    }
  }
  std::ranges::sort(state.plan.without_room);
  const auto repeated = std::ranges::unique(state.plan.without_room);
  state.plan.without_room.erase(repeated.begin(), repeated.end());
}

// The availability zone that holds all usable replicas of a model; empty if
// they are in several, or there are none.
std::string OnlyZone(const planner& state, const model_state& each) {
  std::string zone;
  for (const std::size_t replica : each.replicas) {
    const placement_server& server = state.servers[replica];
    if (!server.usable || server.zone == zone)
      continue;
    if (!zone.empty())
      return {};
    zone = server.zone;
  }
  return zone;
}

// Replicas that came together in one availability zone while the others could
// not be used: one more goes elsewhere, so that no zone takes the model along.
void PlanSpread(planner& state) {
  for (model_state& each : state.models) {
    if (each.model->replicas < 2 || !state.HasMovesLeft())
      continue;
    const std::string zone = OnlyZone(state, each);
    const auto home = zone.empty() ? std::nullopt : FindHome(state, each, zone);
    if (home)
      PlanLoads(state, *home, each);
  }
}

void PlanForDemand(planner& state) {
  std::vector<std::pair<double, model_state*>> wanting;
  const auto horizon = static_cast<double>(state.settings.horizon.count());
  for (model_state& each : state.models) {
    const double missing = each.model->demand - ServedBy(state, each);
    const double gain = missing * horizon;
    if (gain > each.model->move_price)
      wanting.emplace_back(gain, &each);
  }
  std::ranges::sort(wanting, std::ranges::greater(),
                    [](const auto& each) { return each.first; });
  for (const auto& [gain, each] : wanting) {
    if (!state.HasMovesLeft())
      return;
    const auto home = FindHome(state, *each);
    if (home) {
      PlanLoads(state, *home, *each);
      continue;
    }
    // No room: a replica that is not needed makes some; the load follows when
    // its unload is settled.
    for (std::size_t i = 0; i < state.servers.size(); ++i) {
      const bool candidate =
          state.servers[i].usable && !Contains(each->replicas, i);
      if (candidate && GiveUpReplica(state, *each, i))
        break;
    }
  }
}

}  // namespace

placement_plan PlanPlacement(const std::vector<placeable>& models,
                             const std::vector<placement_server>& servers,
                             const placement_settings& settings) {
  planner state = MakePlanner(models, servers, settings);
  PlanRequired(state);
  PlanSpread(state);
  DropUnwanted(state);
  PlanForDemand(state);
  return std::move(state.plan);
}

void Update(demand_forecast& forecast,
            double seen,
            std::chrono::duration<double> interval) {
  const double before = forecast.level;
  if (seen >= forecast.level)
    forecast.level = seen;
  else
    forecast.level += kFallSmoothing * (seen - forecast.level);
  const double slope = (forecast.level - before) / interval.count();
  forecast.trend += kTrendSmoothing * (slope - forecast.trend);
}

double Predict(const demand_forecast& forecast,
               std::chrono::duration<double> ahead) {
  const double rise = std::max(0.0, forecast.trend) * ahead.count();
  // A rise is not followed beyond twice the present level.
  return forecast.level + std::min(rise, forecast.level);
}

}  // namespace valeledge::decisions
