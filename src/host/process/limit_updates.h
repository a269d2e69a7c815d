// SPDX-License-Identifier: MIT
// Takes in the rate limits that backend servers advertise, as responses or
// other hosts tell them; each change is logged and counted.
#ifndef VALELEDGE_HOST_PROCESS_LIMIT_UPDATES_H_
#define VALELEDGE_HOST_PROCESS_LIMIT_UPDATES_H_

#include "base/duration.h"
#include "decisions/advertised_limit.h"
#include "host/process/host_core.h"

namespace valeledge::host {

// One response, whose request was sent at `sent` and whose head has just been
// received.
void ApplyResponseLimit(host_core& core,
                        known_server& server,
                        const answer_head& response,
                        base::time_point sent);

// What another host knows of a server.
void MergeReportedLimit(host_core& core,
                        known_server& server,
                        const decisions::limit_report& report);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_LIMIT_UPDATES_H_
