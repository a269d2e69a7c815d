// SPDX-License-Identifier: MIT
// The valeledge-scheduler process.
#ifndef VALELEDGE_SCHEDULER_PROCESS_SCHEDULER_H_
#define VALELEDGE_SCHEDULER_PROCESS_SCHEDULER_H_

#include <atomic>
#include <memory>

#include <boost/asio/awaitable.hpp>

#include "base/duty.h"
#include "node/node.h"
#include "scheduler/process/backend_poller.h"
#include "scheduler/process/cell_registry.h"
#include "scheduler/process/cell_reporter.h"
#include "scheduler/process/claim_batcher.h"
#include "scheduler/process/scheduler_settings.h"

namespace valeledge::scheduler {

// Admits requests for the cells assigned to it by rendezvous hashing. Adds the
// threads "decisions" and "backends" to those of the node.
class scheduler {
 public:
  explicit scheduler(scheduler_settings settings);

  base::result<void> Start();
  void Leave();
  void RefuseNewWork();
  bool IsIdle() const;
  void Stop();

 private:
  boost::asio::awaitable<wire::envelope> HandleCall(wire::envelope call);
  boost::asio::awaitable<wire::envelope> HandleGrant(wire::grant_request call);
  boost::asio::awaitable<wire::envelope> HandleClaim(wire::claim_update call);
  boost::asio::awaitable<wire::grant_reply> CreateClaim(
      const wire::grant_request& request);
  boost::asio::awaitable<void> UpdatePolledBackends();

  scheduler_settings settings_;
  node::node node_;
  base::duty decisions_{"decisions", 65536};
  base::duty backends_{"backends"};
  cell_registry registry_;
  cell_reporter reporter_;
  backend_poller poller_;
  std::unique_ptr<claim_batcher> claims_;
  std::atomic<std::int64_t> active_ = 0;
  std::atomic<bool> refusing_ = false;
};

}  // namespace valeledge::scheduler

#endif  // VALELEDGE_SCHEDULER_PROCESS_SCHEDULER_H_
