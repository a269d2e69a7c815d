// SPDX-License-Identifier: MIT
// The daemon valeledge-gateway.
#ifndef VALELEDGE_GATEWAY_PROCESS_GATEWAY_H_
#define VALELEDGE_GATEWAY_PROCESS_GATEWAY_H_

#include <memory>
#include <vector>

#include "gateway/process/caller_frontend.h"

namespace valeledge::gateway {

// Serves callers on several threads.
class gateway {
 public:
  explicit gateway(gateway_settings settings);

  base::result<void> Start();
  void Leave();
  void RefuseNewWork();
  void RespondToAll();
  bool IsIdle() const;
  void Stop();

 private:
  gateway_shared shared_;
  std::vector<std::unique_ptr<caller_frontend>> frontends_;
};

}  // namespace valeledge::gateway

#endif  // VALELEDGE_GATEWAY_PROCESS_GATEWAY_H_
