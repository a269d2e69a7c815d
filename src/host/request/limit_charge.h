// SPDX-License-Identifier: MIT
// The charge of one request against the limit of its workspace.
#ifndef VALELEDGE_HOST_REQUEST_LIMIT_CHARGE_H_
#define VALELEDGE_HOST_REQUEST_LIMIT_CHARGE_H_

#include <chrono>
#include <functional>
#include <optional>

#include <boost/asio/awaitable.hpp>

#include "base/error.h"
#include "host/process/host_core.h"
#include "host/request/routed_request.h"

namespace valeledge::host {

// Acquired once for all attempts of a request, and released by the destructor
// unless it was committed.
class limit_charge {
 public:
  // `core` and `routed` must outlive the charge.
  limit_charge(host_core& core, const routed_request& routed);
  ~limit_charge();
  limit_charge(const limit_charge&) = delete;
  limit_charge& operator=(const limit_charge&) = delete;

  // Acquires the charge, or returns the error with which the request is
  // refused. Always succeeds for a request without a workspace and for a
  // workspace without a limit. `check`: returns the error with which the
  // request ends although it still waits for tokens.
  boost::asio::awaitable<base::result<void>> Acquire(
      std::function<std::optional<base::error>()> check);
  // Time for which the request waited for tokens; 0 if it was decided at once.
  std::chrono::milliseconds waited() const { return waited_; }
  // Call once the request has run or may have run.
  void Commit() { count_ = 0; }

 private:
  // How the request can wait for tokens; nothing if it cannot.
  std::optional<limit_wait> WaitWith(
      std::function<std::optional<base::error>()> check) const;

  host_core& core_;
  const routed_request& routed_;
  // The acquired amount that is released at the end.
  double count_ = 0;
  std::chrono::milliseconds waited_{0};
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_REQUEST_LIMIT_CHARGE_H_
