// SPDX-License-Identifier: MIT
// What callers of this host ask for, and how long engines take with it.
#ifndef VALELEDGE_HOST_PROCESS_DEMAND_TRACKER_H_
#define VALELEDGE_HOST_PROCESS_DEMAND_TRACKER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/duration.h"
#include "wire/generated/messages_types.h"

namespace valeledge::host {

// Demand for one model, or for a whole plain service.
struct model_demand {
  // Since the last Roll.
  std::int64_t arrivals = 0;
  std::int64_t tokens = 0;
  // Smoothed, a second.
  double arrival_rate = 0;
  double token_rate = 0;
  std::int64_t running = 0;
  // How long a server takes to read one prompt token, or with a whole call.
  std::chrono::duration<double, std::milli> cost{0};
  // Shortest objective of the requests so far.
  std::chrono::milliseconds objective = std::chrono::milliseconds::max();
};

// Lives on the host's thread.
class demand_tracker {
 public:
  // The demand for a model (or plain service), made when first asked for with
  // the given cost.
  model_demand& DemandFor(std::string_view name,
                          std::chrono::duration<double, std::milli> first_cost);

  // Takes a measured cost into the known one. Waiting makes most samples too
  // high, so the known cost is one that a fifth of them are below.
  static void UpdateCost(model_demand& demand,
                         std::chrono::duration<double, std::milli> sample);

  // Turns the counts since the last call into rates.
  void UpdateRates(base::time_point now);

  // What there is demand for, for the other hosts.
  std::vector<wire::model_load> Loads() const;

 private:
  std::map<std::string, model_demand, std::less<>> demands_;
  base::time_point rates_updated_at_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_DEMAND_TRACKER_H_
