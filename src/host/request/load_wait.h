// SPDX-License-Identifier: MIT
// The wait of a patient request for its model: reports it to the lease holder
// as demand, and tells what is known of planned loads.
#ifndef VALELEDGE_HOST_REQUEST_LOAD_WAIT_H_
#define VALELEDGE_HOST_REQUEST_LOAD_WAIT_H_

#include <chrono>
#include <list>
#include <optional>

#include "decisions/replica_wait.h"
#include "host/request/routed_request.h"

namespace valeledge::host {

// One search for a server. Must not outlive the request.
class load_wait {
 public:
  // `query` is that of the request.
  load_wait(host_core& core,
            const routed_request& routed,
            const server_query& query);
  ~load_wait();
  load_wait(const load_wait&) = delete;
  load_wait& operator=(const load_wait&) = delete;

  // Whether the request can wait for a load of its model and still be on time,
  // and loads are planned for such requests.
  bool IsPatient() const { return is_patient_; }

  // Adds what a patient request knows of the plans for its model, which is
  // loaded nowhere.
  void AddPlan(const server_query& query,
               base::time_point now,
               decisions::unavailable_model& model);

  // Time after which a request that waits for this model selects again.
  std::chrono::milliseconds RecheckInterval(
      const decisions::unavailable_model& model) const;

  // Counts the request as waiting from now on, if it is patient.
  void Begin();
  // Counts the caller, which is rejected, as one that comes back after the
  // delay, so that the load that it was told of takes place.
  void ExpectReturn(std::chrono::milliseconds retry_after);

 private:
  host_core& core_;
  const routed_request& routed_;
  std::chrono::milliseconds store_load_time_{0};
  bool is_patient_ = false;
  // When a load was last known to be in progress or planned.
  base::time_point load_known_at_;
  std::optional<std::list<waiting_request>::iterator> entry_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_REQUEST_LOAD_WAIT_H_
