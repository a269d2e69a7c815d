// SPDX-License-Identifier: MIT
// Which requests backend servers end under, shared by all gateways.
//
// Each gateway repeats what it has seen lately as a soft record, which all
// processes keep for those that start later. So it holds for all cells, and
// also while no scheduler can be asked.
#ifndef VALELEDGE_GATEWAY_PROCESS_REQUEST_QUARANTINE_H_
#define VALELEDGE_GATEWAY_PROCESS_REQUEST_QUARANTINE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/duration.h"
#include "decisions/quarantine_news.h"
#include "node/node.h"

namespace valeledge::gateway {

// Lives on the peers' thread of the node.
class request_quarantine {
 public:
  explicit request_quarantine(node::node& node) : node_(node) {}

  // For how much longer a request is held back, by what all gateways have
  // told; nothing if it is not.
  std::optional<std::chrono::milliseconds> RemainingQuarantine(
      std::uint64_t digest);

  // A server has ended while a request of this gateway was there, `took` after
  // it had been sent.
  void RecordCrash(std::uint64_t digest,
                   std::string_view server,
                   std::chrono::microseconds took);
  // A server has answered a request of this gateway whole.
  void RecordCompletion(std::uint64_t digest);

 private:
  // Takes in what others have told since the last call.
  void Refresh(base::time_point now);
  void Publish(const decisions::quarantine_fact& fact);

  node::node& node_;
  decisions::quarantine known_;
  // What this gateway has seen lately.
  decisions::quarantine_facts observed_;
  // The newest record of each gateway that was taken in.
  std::map<std::string, std::int64_t, std::less<>> applied_stamps_;
};

}  // namespace valeledge::gateway

#endif  // VALELEDGE_GATEWAY_PROCESS_REQUEST_QUARANTINE_H_
