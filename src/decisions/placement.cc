// SPDX-License-Identifier: MIT
#include "decisions/placement.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>
#include <tuple>
#include <utility>

namespace valeledge::decisions {

namespace {

// A rise counts at once, a fall with this weight in each interval.
constexpr double kFallSmoothing = 0.1;
constexpr double kTrendSmoothing = 0.5;

// The working state of one plan: records change as moves are planned, so that
// each later decision sees them.
struct planner {
  const std::vector<placeable>& models;
  std::vector<placement_server> servers;
  const placement_settings& settings;
  placement_plan plan;
  std::int64_t under_way = 0;

  bool HasMovesLeft() const { return under_way < settings.moves_at_once; }
};

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

// Whether the server has, or is getting, the model and all its adapters.
bool HasReplica(const placement_server& server, const placeable& model) {
  return std::ranges::all_of(model.artifacts, [&](const auto& artifact) {
    return HoldsOrLoads(server, artifact);
  });
}

bool HasReadyReplica(const placement_server& server, const placeable& model) {
  return server.usable &&
         std::ranges::all_of(model.artifacts, [&](const auto& artifact) {
           return IsSteady(server.record, artifact);
         });
}

std::int64_t CountReplicas(const planner& state, const placeable& model) {
  return std::ranges::count_if(state.servers, [&](const auto& server) {
    return server.usable && HasReplica(server, model);
  });
}

// Servers whose replica is ready or on its way, by availability zone.
std::int64_t CountInZone(const planner& state,
                         const placeable& model,
                         const std::string& zone) {
  return std::ranges::count_if(state.servers, [&](const auto& server) {
    return server.usable && server.zone == zone && HasReplica(server, model);
  });
}

bool FitsOn(const placement_server& server, const placeable& model) {
  server_reservation after = server.record;
  for (std::size_t i = 0; i < model.artifacts.size(); ++i) {
    if (HoldsOrLoads(server, model.artifacts[i]))
      continue;
    if (!CanLoad(after, model.artifacts[i], model.memory_mb[i]))
      return false;
    RecordLoad(after, {}, model.artifacts[i], model.memory_mb[i]);
  }
  return true;
}

std::int64_t FreeMemory(const placement_server& server) {
  return server.record.capacity_mb - ReservedMemory(server.record);
}

// A partial replica is completed first; then the availability zone with the
// fewest replicas, then the server with the most free memory.
placement_server* FindHome(planner& state, const placeable& model) {
  placement_server* best = nullptr;
  std::tuple<bool, std::int64_t, std::int64_t> best_rank;
  for (placement_server& server : state.servers) {
    if (!server.usable || HasReplica(server, model) || !FitsOn(server, model))
      continue;
    const bool partial =
        HoldsOrLoads(server, model.artifacts.front()) ||
        std::ranges::any_of(model.artifacts, [&](const auto& artifact) {
          return HasStalledLoad(server, artifact);
        });
    const std::tuple rank(partial, -CountInZone(state, model, server.zone),
                          FreeMemory(server));
    if (best == nullptr || rank > best_rank) {
      best = &server;
      best_rank = rank;
    }
  }
  return best;
}

void PlanLoads(planner& state,
               placement_server& server,
               const placeable& model) {
  for (std::size_t i = 0; i < model.artifacts.size(); ++i) {
    if (HoldsOrLoads(server, model.artifacts[i]) || !state.HasMovesLeft())
      continue;
    RecordLoad(server.record, {}, model.artifacts[i], model.memory_mb[i]);
    state.plan.moves.push_back({server.name, order_kind::kLoad,
                                model.artifacts[i], model.memory_mb[i]});
    ++state.under_way;
  }
}

void PlanUnload(planner& state,
                placement_server& server,
                const std::string& artifact) {
  RecordUnload(server.record, {}, artifact);
  state.plan.moves.push_back({server.name, order_kind::kUnload, artifact, 0});
  ++state.under_way;
}

bool IsWanted(const planner& state, const std::string& artifact) {
  return std::ranges::any_of(state.models, [&](const placeable& model) {
    return std::ranges::find(model.artifacts, artifact) !=
           model.artifacts.end();
  });
}

std::string WithoutVersion(const std::string& artifact) {
  return artifact.substr(0, artifact.rfind('@'));
}

// Whether an artifact that the table no longer names may go: its successor
// (the same name in another version) is ready somewhere, or there is none.
bool MayDrop(const planner& state, const std::string& artifact) {
  const std::string name = WithoutVersion(artifact);
  for (const placeable& model : state.models) {
    for (const std::string& wanted : model.artifacts) {
      if (WithoutVersion(wanted) != name)
        continue;
      return std::ranges::any_of(state.servers, [&](const auto& server) {
        return HasReadyReplica(server, model);
      });
    }
  }
  return true;
}

void DropUnwanted(planner& state) {
  for (placement_server& server : state.servers) {
    std::vector<std::string> present;
    for (const auto& [artifact, held] : server.record.held) {
      if (held.present > 0 &&
          !HasAwaited(server, order_kind::kUnload, artifact)) {
        present.push_back(artifact);
      }
    }
    for (const std::string& artifact : present) {
      const bool drop = server.usable && state.HasMovesLeft() &&
                        !IsWanted(state, artifact) && MayDrop(state, artifact);
      if (drop)
        PlanUnload(state, server, artifact);
    }
  }
}

// Requests a second that a model's ready replicas can serve when each server
// divides its capacity among what it holds by demand.
double ServedBy(const planner& state, const placeable& model) {
  double served = 0;
  for (const placement_server& server : state.servers) {
    if (!HasReplica(server, model))
      continue;
    double demanded = 0;
    for (const placeable& other : state.models) {
      if (HasReplica(server, other)) {
        const auto copies =
            std::max<std::int64_t>(CountReplicas(state, other), 1);
        demanded += other.demand / static_cast<double>(copies);
      }
    }
    const auto copies = std::max<std::int64_t>(CountReplicas(state, model), 1);
    const double own = model.demand / static_cast<double>(copies);
    const double part = demanded > 0 ? own / demanded : 1;
    served += server.capacity * part * state.settings.high_mark;
  }
  return served;
}

// A replica beyond those required that demand does not need; the fullest
// server's first.
bool GiveUpReplica(planner& state,
                   const placeable& wanting,
                   const placement_server& home) {
  for (placement_server& server : state.servers) {
    if (server.name != home.name)
      continue;
    for (const placeable& model : state.models) {
      const std::int64_t copies = CountReplicas(state, model);
      const bool spare = model.model != wanting.model &&
                         copies > model.replicas &&
                         HasReadyReplica(server, model);
      if (!spare)
        continue;
      const double each = model.demand / static_cast<double>(copies - 1);
      if (each > server.capacity * state.settings.low_mark)
        continue;
      for (const std::string& artifact : model.artifacts)
        PlanUnload(state, server, artifact);
      return true;
    }
  }
  return false;
}

void PlanRequired(planner& state) {
  std::vector<const placeable*> order;
  for (const placeable& model : state.models)
    order.push_back(&model);
  std::ranges::stable_sort(order, std::ranges::greater(), [](const auto* each) {
    return std::accumulate(each->memory_mb.begin(), each->memory_mb.end(),
                           std::int64_t{0});
  });
  // First one replica of each, then the rest.
  for (const bool first : {true, false}) {
    for (const placeable* model : order) {
      const std::int64_t wanted = first ? 1 : model->replicas;
      while (CountReplicas(state, *model) < wanted && state.HasMovesLeft()) {
        placement_server* home = FindHome(state, *model);
        if (home == nullptr) {
          state.plan.without_room.push_back(model->model);
          break;
        }
        PlanLoads(state, *home, *model);
      }
    }
  }
  const auto repeated = std::ranges::unique(state.plan.without_room);
  state.plan.without_room.erase(repeated.begin(), repeated.end());
}

void PlanForDemand(planner& state) {
  std::vector<std::pair<double, const placeable*>> wanting;
  const double horizon = static_cast<double>(state.settings.horizon.count());
  for (const placeable& model : state.models) {
    const double missing = model.demand - ServedBy(state, model);
    const double gain = missing * horizon;
    if (gain > model.move_price)
      wanting.emplace_back(gain, &model);
  }
  std::ranges::sort(wanting, std::ranges::greater(),
                    [](const auto& each) { return each.first; });
  for (const auto& [gain, model] : wanting) {
    if (!state.HasMovesLeft())
      return;
    placement_server* home = FindHome(state, *model);
    if (home != nullptr) {
      PlanLoads(state, *home, *model);
      continue;
    }
    // No room: a replica that is not needed makes some; the load follows when
    // its unload is settled.
    for (const placement_server& server : state.servers) {
      const bool candidate = server.usable && !HasReplica(server, *model);
      if (candidate && GiveUpReplica(state, *model, server))
        break;
    }
  }
}

}  // namespace

placement_plan PlanPlacement(const std::vector<placeable>& models,
                             const std::vector<placement_server>& servers,
                             const placement_settings& settings) {
  planner state{models, servers, settings, {}, 0};
  for (const placement_server& server : servers) {
    state.under_way += std::ranges::count_if(
        server.record.unsettled,
        [&](const order& each) { return IsAwaited(server, each); });
  }
  PlanRequired(state);
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
