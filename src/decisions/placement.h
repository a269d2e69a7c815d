// SPDX-License-Identifier: MIT
// Which artifacts should be on which backend servers: plans the next moves.
#ifndef VALELEDGE_DECISIONS_PLACEMENT_H_
#define VALELEDGE_DECISIONS_PLACEMENT_H_

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "decisions/reservation.h"

namespace valeledge::decisions {

// A model with its adapters, as placement sees it.
struct placement_model {
  std::string model;
  // The model's artifact first, then its adapters' artifacts.
  std::vector<std::string> artifacts;
  std::vector<std::int64_t> memory_mb;
  std::int64_t replicas = 1;
  double move_price = 1;
  // Requests a second that are expected.
  double demand = 0;
};

// A backend server, as placement sees it.
struct placement_server {
  std::string name;
  std::string zone;
  // Requests a second that it can serve when nothing else runs there.
  double capacity = 1;
  // False: nothing new goes there and its replicas do not count.
  bool usable = true;
  server_reservation record;
  // Unsettled orders whose answer may still come. The others are stalled:
  // their memory stays reserved, but nothing is expected of them.
  std::set<std::string> pending_orders;
};

struct placement_settings {
  // Gains are counted over this time.
  std::chrono::seconds horizon{60};
  // Moves that may be under way at once in the whole deployment.
  std::int64_t max_concurrent_moves = 4;
  // A replica is wanted for each so much of its server's capacity that is
  // demanded, and given up only below the lower mark (hysteresis).
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

// What placement wants done next, and what it could not do.
struct placement_plan {
  std::vector<placement_move> moves;
  // Models without room for a replica that must be there.
  std::vector<std::string> unplaced_models;
};

// Plans the next moves. First every model's required replicas, spread over
// availability zones (one more where all came together in one); then versions
// no longer wanted go, once the new one is
// there; then replicas for demand, where the gain over the horizon is worth
// the price. Never unloads the last steady replica of a model.
placement_plan PlanPlacement(const std::vector<placement_model>& models,
                             const std::vector<placement_server>& servers,
                             const placement_settings& settings);

// An estimate of demand that follows a rise at once and a fall slowly.
struct demand_forecast {
  double level = 0;
  double trend = 0;
};

// Takes in the demand seen over the last `interval`.
void Update(demand_forecast& forecast,
            double observed,
            std::chrono::duration<double> interval);

// Requests a second expected `ahead` from now.
double Predict(const demand_forecast& forecast,
               std::chrono::duration<double> ahead);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_PLACEMENT_H_
