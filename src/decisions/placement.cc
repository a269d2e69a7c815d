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

// Weight of a decrease in each interval; an increase has full weight.
constexpr double kFallSmoothing = 0.1;
constexpr double kTrendSmoothing = 0.5;

// Orders of this plan have no id yet; they are pending as well.
bool IsPending(const placement_server& server, const order& each) {
  return each.id.empty() || server.pending_orders.contains(each.id);
}

bool HasPending(const placement_server& server,
                order_kind kind,
                const std::string& artifact) {
  return std::ranges::any_of(server.record.unresolved, [&](const order& each) {
    return each.kind == kind && each.artifact == artifact &&
           IsPending(server, each);
  });
}

bool IsSteadyOrLoading(const placement_server& server,
                       const std::string& artifact) {
  return IsSteady(server.record, artifact) ||
         HasPending(server, order_kind::kLoad, artifact);
}

// A stalled load keeps its memory reserved, so repeating it there needs the
// least additional memory.
bool HasStalledLoad(const placement_server& server,
                    const std::string& artifact) {
  return IsLoading(server.record, artifact) &&
         !HasPending(server, order_kind::kLoad, artifact);
}

std::string WithoutVersion(const std::string& artifact) {
  return artifact.substr(0, artifact.rfind('@'));
}

// Indexes of servers, in ascending order.
using server_set = std::vector<std::size_t>;

bool Contains(const server_set& set, std::size_t server) {
  return std::ranges::binary_search(set, server);
}

void Insert(server_set& set, std::size_t server) {
  const auto at = std::ranges::lower_bound(set, server);
  if (at == set.end() || *at != server)
    set.insert(at, server);
}

// Planning state of one model. `replicas` are the servers that have or are
// loading the model and all its adapters, `ready` those that have them.
struct model_state {
  const placement_model* model = nullptr;
  server_set replicas;
  server_set ready;
};

// Working state of one plan. Records and indexes are updated as moves are
// planned, so that later decisions take them into account. Look-ups use
// indexes, because a new plan is made every second for hundreds of servers and
// models.
struct placement_state {
  std::vector<placement_server> servers;
  const placement_settings& settings;
  std::vector<model_state> models;
  std::vector<std::int64_t> free_mb;
  // Demand on each server, in requests per second.
  std::vector<double> server_demand;
  // Every artifact in the table, with the index of its model.
  std::unordered_map<std::string, std::size_t> table_artifacts;
  // The same by artifact name without version.
  std::unordered_map<std::string, std::size_t> table_names;
  placement_plan plan;
  std::int64_t active_moves = 0;

  bool CanStartMove() const {
    return active_moves < settings.max_concurrent_moves;
  }
};

std::int64_t CountUsable(const placement_state& state, const server_set& set) {
  return std::ranges::count_if(
      set, [&](std::size_t server) { return state.servers[server].usable; });
}

double DemandPerReplica(const placement_state& state, const model_state& each) {
  const auto replica_count =
      std::max<std::int64_t>(CountUsable(state, each.replicas), 1);
  return each.model->demand / static_cast<double>(replica_count);
}

// Returns the servers that hold every artifact of a model.
server_set HoldersOfAllArtifacts(
    const std::unordered_map<std::string, server_set>& holders,
    const placement_model& model) {
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

placement_state MakePlacementState(const std::vector<placement_model>& models,
                                   const std::vector<placement_server>& servers,
                                   const placement_settings& settings) {
  placement_state state{servers, settings, {}, {}, {}, {}, {}, {}, 0};
  std::unordered_map<std::string, server_set> holding;
  std::unordered_map<std::string, server_set> steady;
  for (std::size_t i = 0; i < servers.size(); ++i) {
    const placement_server& server = servers[i];
    state.free_mb.push_back(server.record.capacity_mb -
                            ReservedMemory(server.record));
    for (const auto& [artifact, held] : server.record.held) {
      if (IsSteadyOrLoading(server, artifact))
        holding[artifact].push_back(i);
      if (IsSteady(server.record, artifact))
        steady[artifact].push_back(i);
    }
    state.active_moves += std::ranges::count_if(
        server.record.unresolved,
        [&](const order& each) { return IsPending(server, each); });
  }
  state.server_demand.resize(servers.size());
  for (const placement_model& model : models) {
    model_state each{&model, HoldersOfAllArtifacts(holding, model),
                     HoldersOfAllArtifacts(steady, model)};
    for (const std::string& artifact : model.artifacts) {
      state.table_artifacts[artifact] = state.models.size();
      state.table_names[WithoutVersion(artifact)] = state.models.size();
    }
    for (const std::size_t server : each.replicas)
      state.server_demand[server] += DemandPerReplica(state, each);
    state.models.push_back(std::move(each));
  }
  return state;
}

// Returns whether the missing artifacts of a replica fit into a server's
// memory.
bool Fits(const placement_state& state,
          std::size_t index,
          const placement_model& model) {
  const placement_server& server = state.servers[index];
  if (server.record.incarnation.empty())
    return false;
  std::int64_t needed = 0;
  for (std::size_t i = 0; i < model.artifacts.size(); ++i) {
    if (!IsSteadyOrLoading(server, model.artifacts[i])) {
      needed +=
          AddedMemory(server.record, model.artifacts[i], model.memory_mb[i]);
    }
  }
  return needed <= state.free_mb[index];
}

bool HasPartialReplica(const placement_server& server,
                       const placement_model& model) {
  return IsSteadyOrLoading(server, model.artifacts.front()) ||
         std::ranges::any_of(model.artifacts, [&](const auto& artifact) {
           return HasStalledLoad(server, artifact);
         });
}

// Returns the server for the next replica. Prefers a server with a partial
// replica, then the availability zone with the fewest replicas, then the server
// with the most free memory. Skips servers in `avoided_zone`.
std::optional<std::size_t> FindServer(const placement_state& state,
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
        !Fits(state, i, *each.model)) {
      continue;
    }
    const auto zone = in_zone.find(server.zone);
    const std::tuple rank(HasPartialReplica(server, *each.model),
                          zone == in_zone.end() ? 0 : -zone->second,
                          state.free_mb[i]);
    if (!best || rank > best_rank) {
      best = i;
      best_rank = rank;
    }
  }
  return best;
}

void PlanLoads(placement_state& state, std::size_t index, model_state& each) {
  placement_server& server = state.servers[index];
  const placement_model& model = *each.model;
  for (std::size_t i = 0; i < model.artifacts.size(); ++i) {
    const std::string& artifact = model.artifacts[i];
    if (IsSteadyOrLoading(server, artifact))
      continue;
    if (!state.CanStartMove())
      return;
    state.free_mb[index] -=
        AddedMemory(server.record, artifact, model.memory_mb[i]);
    RecordLoad(server.record, {}, artifact, model.memory_mb[i]);
    state.plan.moves.push_back(
        {server.name, order_kind::kLoad, artifact, model.memory_mb[i]});
    ++state.active_moves;
  }
  Insert(each.replicas, index);
}

void PlanUnload(placement_state& state,
                std::size_t index,
                const std::string& artifact) {
  placement_server& server = state.servers[index];
  RecordUnload(server.record, {}, artifact);
  state.plan.moves.push_back({server.name, order_kind::kUnload, artifact, 0});
  ++state.active_moves;
}

// Returns whether an artifact that is no longer in the table may be unloaded:
// its successor (the same name in another version) is ready on some server, or
// there is none.
bool IsUnloadAllowed(const placement_state& state,
                     const std::string& artifact) {
  const auto successor = state.table_names.find(WithoutVersion(artifact));
  return successor == state.table_names.end() ||
         CountUsable(state, state.models[successor->second].ready) > 0;
}

void PlanObsoleteUnloads(placement_state& state) {
  for (std::size_t i = 0; i < state.servers.size(); ++i) {
    if (!state.servers[i].usable)
      continue;
    std::vector<std::string> obsolete;
    for (const auto& [artifact, held] : state.servers[i].record.held) {
      const bool candidate =
          held.present > 0 && !state.table_artifacts.contains(artifact) &&
          !HasPending(state.servers[i], order_kind::kUnload, artifact);
      if (candidate)
        obsolete.push_back(artifact);
    }
    for (const std::string& artifact : obsolete) {
      if (state.CanStartMove() && IsUnloadAllowed(state, artifact))
        PlanUnload(state, i, artifact);
    }
  }
}

// Returns the requests per second that a model's replicas can serve if each
// server divides its capacity among its models in proportion to demand.
double ServableDemand(const placement_state& state, const model_state& each) {
  const double model_demand = DemandPerReplica(state, each);
  double served = 0;
  for (const std::size_t replica : each.replicas) {
    const double total_demand = state.server_demand[replica];
    const double share = total_demand > 0 ? model_demand / total_demand : 1;
    served +=
        state.servers[replica].capacity * share * state.settings.high_mark;
  }
  return served;
}

// Unloads a replica on the server that neither the required number nor demand
// calls for. Returns false if there is none.
bool UnloadSurplusReplica(placement_state& state,
                          const model_state& underserved,
                          std::size_t index) {
  for (model_state& each : state.models) {
    const bool hosted =
        each.model != underserved.model && Contains(each.ready, index);
    const std::int64_t replica_count = CountUsable(state, each.ready);
    if (!hosted || replica_count <= each.model->replicas || replica_count < 2)
      continue;
    const double remaining_demand =
        each.model->demand / static_cast<double>(replica_count - 1);
    const double low_demand =
        state.servers[index].capacity * state.settings.low_mark;
    if (remaining_demand > low_demand)
      continue;
    for (const std::string& artifact : each.model->artifacts)
      PlanUnload(state, index, artifact);
    std::erase(each.ready, index);
    std::erase(each.replicas, index);
    return true;
  }
  return false;
}

std::int64_t TotalMemory(const placement_model& model) {
  return std::accumulate(model.memory_mb.begin(), model.memory_mb.end(),
                         std::int64_t{0});
}

void PlanRequired(placement_state& state) {
  std::vector<model_state*> order;
  for (model_state& each : state.models)
    order.push_back(&each);
  std::ranges::stable_sort(order, std::ranges::greater(), [](const auto* each) {
    return TotalMemory(*each->model);
  });
  // One replica of each model first, then the rest.
  for (const bool first : {true, false}) {
    for (model_state* each : order) {
      const std::int64_t required = first ? 1 : each->model->replicas;
      while (CountUsable(state, each->replicas) < required &&
             state.CanStartMove()) {
        const auto target = FindServer(state, *each);
        if (!target) {
          state.plan.unplaced_models.push_back(each->model->model);
          break;
        }
        PlanLoads(state, *target, *each);
      }
    }
  }
  std::ranges::sort(state.plan.unplaced_models);
  const auto repeated = std::ranges::unique(state.plan.unplaced_models);
  state.plan.unplaced_models.erase(repeated.begin(), repeated.end());
}

// Returns the availability zone that holds all usable replicas of a model;
// empty if they are in several zones or there are none.
std::string CommonZone(const placement_state& state, const model_state& each) {
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

// Replicas can end up in the same availability zone while other zones are
// unavailable. Adds one in another zone, so that the loss of one zone does not
// make the model unavailable.
void PlanZoneSpread(placement_state& state) {
  for (model_state& each : state.models) {
    if (each.model->replicas < 2 || !state.CanStartMove())
      continue;
    const std::string zone = CommonZone(state, each);
    const auto target =
        zone.empty() ? std::nullopt : FindServer(state, each, zone);
    if (target)
      PlanLoads(state, *target, each);
  }
}

void PlanForDemand(placement_state& state) {
  std::vector<std::pair<double, model_state*>> underserved;
  const auto horizon = static_cast<double>(state.settings.horizon.count());
  for (model_state& each : state.models) {
    const double missing = each.model->demand - ServableDemand(state, each);
    const double gain = missing * horizon;
    if (gain > each.model->move_price)
      underserved.emplace_back(gain, &each);
  }
  std::ranges::sort(underserved, std::ranges::greater(),
                    [](const auto& each) { return each.first; });
  for (const auto& [gain, each] : underserved) {
    if (!state.CanStartMove())
      return;
    const auto target = FindServer(state, *each);
    if (target) {
      PlanLoads(state, *target, *each);
      continue;
    }
    // Nothing fits: frees memory by unloading a surplus replica. The load
    // follows once the unload is resolved.
    for (std::size_t i = 0; i < state.servers.size(); ++i) {
      const bool candidate =
          state.servers[i].usable && !Contains(each->replicas, i);
      if (candidate && UnloadSurplusReplica(state, *each, i))
        break;
    }
  }
}

}  // namespace

placement_plan PlanPlacement(const std::vector<placement_model>& models,
                             const std::vector<placement_server>& servers,
                             const placement_settings& settings) {
  placement_state state = MakePlacementState(models, servers, settings);
  PlanRequired(state);
  PlanZoneSpread(state);
  PlanObsoleteUnloads(state);
  PlanForDemand(state);
  return std::move(state.plan);
}

void Update(demand_forecast& forecast,
            double observed,
            std::chrono::duration<double> interval) {
  const double before = forecast.level;
  if (observed >= forecast.level)
    forecast.level = observed;
  else
    forecast.level += kFallSmoothing * (observed - forecast.level);
  const double slope = (forecast.level - before) / interval.count();
  forecast.trend += kTrendSmoothing * (slope - forecast.trend);
}

double Predict(const demand_forecast& forecast,
               std::chrono::duration<double> ahead) {
  const double rise = std::max(0.0, forecast.trend) * ahead.count();
  // The prediction is limited to twice the present level.
  return forecast.level + std::min(rise, forecast.level);
}

}  // namespace valeledge::decisions
