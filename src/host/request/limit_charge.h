// SPDX-License-Identifier: MIT
// What one request counts against the limit of its workspace.
#ifndef VALELEDGE_HOST_REQUEST_LIMIT_CHARGE_H_
#define VALELEDGE_HOST_REQUEST_LIMIT_CHARGE_H_

#include <boost/asio/awaitable.hpp>

#include "base/error.h"
#include "host/process/host_core.h"
#include "host/request/routed_request.h"

namespace valeledge::host {

// Taken once for all attempts at one request; given back at the end unless it
// was kept.
class limit_charge {
 public:
  // Both must outlive the charge.
  limit_charge(host_core& core, const routed_request& routed);
  ~limit_charge();
  limit_charge(const limit_charge&) = delete;
  limit_charge& operator=(const limit_charge&) = delete;

  // Takes the charge; the error says why the request may not be sent. A
  // workspace without a limit, and a request without a workspace, always may.
  boost::asio::awaitable<base::result<void>> Acquire();
  // The request has run, or may have.
  void Commit() { count_ = 0; }

 private:
  host_core& core_;
  const routed_request& routed_;
  // What has been taken.
  double count_ = 0;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_REQUEST_LIMIT_CHARGE_H_
