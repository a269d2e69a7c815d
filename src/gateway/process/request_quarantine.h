// SPDX-License-Identifier: MIT
// Quarantine of requests during which backend servers crash, shared by all
// gateways.
//
// Each gateway publishes its recent observations as a soft-state record, which
// processes that start later receive as well. The quarantine therefore covers
// all cells, and works while no scheduler is reachable.
#ifndef VALELEDGE_GATEWAY_PROCESS_REQUEST_QUARANTINE_H_
#define VALELEDGE_GATEWAY_PROCESS_REQUEST_QUARANTINE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/duration.h"
#include "decisions/quarantine_update.h"
#include "node/node.h"

namespace valeledge::gateway {

// All functions run on the node's peer thread.
class request_quarantine {
 public:
  explicit request_quarantine(node::node& node) : node_(node) {}

  // Returns the remaining quarantine of a request according to the records of
  // all gateways; nullopt if it is not quarantined.
  std::optional<std::chrono::milliseconds> RemainingQuarantine(
      std::uint64_t digest);

  // Records that a server crashed while it processed a request of this gateway,
  // `elapsed` after the grant.
  void RecordCrash(std::uint64_t digest,
                   std::string_view server,
                   std::chrono::microseconds elapsed);
  // Records that a server completed the response to a request of this gateway.
  void RecordCompletion(std::uint64_t digest);

 private:
  // Applies the records received from other gateways since the last call.
  void Refresh(base::time_point now);
  void Publish(const decisions::quarantine_observation& fact);

  node::node& node_;
  decisions::quarantine known_;
  // Recent observations of this gateway.
  decisions::quarantine_observations observed_;
  // Stamp of the newest applied record of each gateway.
  std::map<std::string, std::int64_t, std::less<>> applied_stamps_;
};

}  // namespace valeledge::gateway

#endif  // VALELEDGE_GATEWAY_PROCESS_REQUEST_QUARANTINE_H_
