// SPDX-License-Identifier: MIT
// valeledgectl quarantine: which requests and prompt parts are quarantined.
#ifndef VALELEDGE_TOOLS_CTL_QUARANTINE_COMMAND_H_
#define VALELEDGE_TOOLS_CTL_QUARANTINE_COMMAND_H_

#include <chrono>
#include <string>

#include "base/endpoint.h"
#include "tools/ctl/output.h"

namespace valeledge::ctl {

// Lists what is quarantined, with the host that wrote it, the crashes that it
// is based on, and since when.
exit_status ShowQuarantines(const base::endpoint& platform,
                            std::chrono::microseconds timeout,
                            output_format format);

// Ends the quarantine of a request digest, or of prompt parts as "parts/ID,ID".
// Fails if it is not quarantined.
exit_status LiftQuarantine(const base::endpoint& platform,
                           const std::string& name,
                           std::chrono::microseconds timeout);

}  // namespace valeledge::ctl

#endif  // VALELEDGE_TOOLS_CTL_QUARANTINE_COMMAND_H_
