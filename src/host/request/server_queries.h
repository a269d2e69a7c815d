// SPDX-License-Identifier: MIT
// The query with which a request selects a backend server, and the descriptions
// from which it is decided whether the request waits.
#ifndef VALELEDGE_HOST_REQUEST_SERVER_QUERIES_H_
#define VALELEDGE_HOST_REQUEST_SERVER_QUERIES_H_

#include <string>
#include <vector>

#include "base/duration.h"
#include "decisions/engine_admission.h"
#include "decisions/replica_wait.h"
#include "decisions/server_cost.h"
#include "host/request/routed_request.h"

namespace valeledge::host {

// Returns the requirements of a request. The request must outlive the query.
server_query QueryOf(const routed_request& routed);

// Returns the query of a request that no server has failed yet.
server_query UntriedQueryOf(const routed_request& routed);

// Returns the same query for the base model.
server_query WithoutAdapter(server_query query);

// Describes a model request at the best server that holds the model.
decisions::engine_candidate TurnOf(const routed_request& routed,
                                   const server_choice& choice,
                                   bool first_attempt,
                                   base::time_point now);

// Describes a model that no server holds now.
decisions::unavailable_model AbsentModelOf(host_core& core,
                                           const routed_request& routed,
                                           const server_query& query,
                                           base::time_point now);

using health_check = bool(const decisions::server_health&, base::time_point);

// Returns the instances that this request has tried, those that this host does
// not use at present, and those whose region or software version is not allowed
// for the request.
std::vector<std::string> ExcludedInstances(const host_core& core,
                                           const routed_request& routed,
                                           base::time_point now,
                                           health_check& is_usable);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_REQUEST_SERVER_QUERIES_H_
