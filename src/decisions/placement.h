// SPDX-License-Identifier: MIT
// Plans which artifacts are loaded on and unloaded from which backend servers.
#ifndef VALELEDGE_DECISIONS_PLACEMENT_H_
#define VALELEDGE_DECISIONS_PLACEMENT_H_

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "decisions/reservation.h"

namespace valeledge::decisions {

// A model and its adapters.
struct placement_model {
  std::string model;
  // The model's artifact first, then its adapters' artifacts.
  std::vector<std::string> artifacts;
  std::vector<std::int64_t> memory_mb;
  std::int64_t replicas = 1;
  double move_price = 1;
  // Expected requests per second.
  double demand = 0;
};

// A backend server.
struct placement_server {
  std::string name;
  std::string zone;
  // Requests per second that it can serve while nothing else runs there.
  double capacity = 1;
  // If false, nothing is loaded on the server and its replicas do not count.
  bool usable = true;
  server_reservation record;
  // Unresolved orders whose response may still arrive. The others are stalled:
  // their memory stays reserved, but they are not expected to complete.
  std::set<std::string> pending_orders;
};

struct placement_settings {
  // Time over which gains are summed.
  std::chrono::seconds horizon{60};
  // Maximum number of concurrent moves in the whole deployment.
  std::int64_t max_concurrent_moves = 4;
  // Shares of a server's capacity: demand above the high mark requires another
  // replica, and a replica is unloaded only if demand is below the low mark
  // (hysteresis).
  double high_mark = 0.7;
  double low_mark = 0.3;
};

// One order to send.
struct placement_move {
  std::string server;
  order_kind kind = order_kind::kLoad;
  std::string artifact;
  std::int64_t memory_mb = 0;
};

// The next moves, and what could not be placed.
struct placement_plan {
  std::vector<placement_move> moves;
  // Models of which a required replica fits on no server.
  std::vector<std::string> unplaced_models;
};

// Plans the next moves, in this order: the required replicas of every model,
// spread over availability zones, with one more if all are in the same zone;
// unloads of versions that are no longer in the table, once the new version is
// ready; replicas for demand, if the gain over the horizon exceeds the price of
// a move. Never unloads the last steady replica of a model.
placement_plan PlanPlacement(const std::vector<placement_model>& models,
                             const std::vector<placement_server>& servers,
                             const placement_settings& settings);

// An estimate of demand that follows increases immediately and decreases
// slowly.
struct demand_forecast {
  double level = 0;
  double trend = 0;
};

// Updates the estimate with the demand observed over the last `interval`.
void Update(demand_forecast& forecast,
            double observed,
            std::chrono::duration<double> interval);

// Returns the requests per second expected `ahead` from now.
double Predict(const demand_forecast& forecast,
               std::chrono::duration<double> ahead);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_PLACEMENT_H_
