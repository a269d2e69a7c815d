// SPDX-License-Identifier: MIT
// Demand of this host's callers, and what it costs servers.
#ifndef VALELEDGE_HOST_PROCESS_DEMAND_TRACKER_H_
#define VALELEDGE_HOST_PROCESS_DEMAND_TRACKER_H_

#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/duration.h"
#include "decisions/relative_cost.h"
#include "wire/generated/messages_types.h"

namespace valeledge::host {

// A patient request that waits for its model.
struct waiting_request {
  std::int64_t tokens = 0;
  // Until then its response can start on time.
  base::time_point due;
  // Set for a caller that was rejected with the time of a planned load, and is
  // expected to be back before this.
  std::optional<base::time_point> back_by;
};

// Demand for one model, or for a whole plain service.
struct model_demand {
  // Counts since the last UpdateRates.
  std::int64_t arrivals = 0;
  std::int64_t tokens = 0;
  // Smoothed rates per second.
  double arrival_rate = 0;
  double token_rate = 0;
  std::int64_t running = 0;
  // Prefill time per prompt token, or duration of a call of a plain service.
  std::chrono::duration<double, std::milli> cost{0};
  // Used in place of `cost` where estimates of engines are shared.
  decisions::relative_cost relative_cost;
  // Shortest objective of all requests so far.
  std::chrono::milliseconds objective = std::chrono::milliseconds::max();
  std::list<waiting_request> waiting;
};

// Not thread-safe: used only on the host's thread.
class demand_tracker {
 public:
  // Returns the demand for a model or plain service. The first call creates it
  // with the given cost.
  model_demand& DemandFor(std::string_view name,
                          std::chrono::duration<double, std::milli> first_cost);

  // Updates the cost estimate by a sample. Waiting makes most samples too high,
  // so the estimate is the 20th percentile.
  static void UpdateCost(model_demand& demand,
                         std::chrono::duration<double, std::milli> sample);

  // Updates the rates from the counts since the last call, and forgets callers
  // that should be back by now.
  void UpdateRates(base::time_point now);

  // Demand of this host, as reported to the other hosts.
  std::vector<wire::model_load> Loads(
      base::time_point now = std::chrono::steady_clock::now()) const;

 private:
  std::map<std::string, model_demand, std::less<>> demands_;
  base::time_point rates_updated_at_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_DEMAND_TRACKER_H_
