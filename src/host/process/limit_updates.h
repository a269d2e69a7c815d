// SPDX-License-Identifier: MIT
// Applies the rate limits that backend servers advertise, from responses and
// from reports of other hosts. Each change is logged and counted.
#ifndef VALELEDGE_HOST_PROCESS_LIMIT_UPDATES_H_
#define VALELEDGE_HOST_PROCESS_LIMIT_UPDATES_H_

#include "base/duration.h"
#include "decisions/advertised_limit.h"
#include "host/process/host_core.h"

namespace valeledge::host {

// Applies the limit in a response whose header has just been received; its
// request was sent at `sent`.
void ApplyResponseLimit(host_core& core,
                        known_server& server,
                        const response_metadata& response,
                        base::time_point sent);

// Applies another host's report about a server.
void MergeReportedLimit(host_core& core,
                        known_server& server,
                        const decisions::limit_report& report);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_LIMIT_UPDATES_H_
