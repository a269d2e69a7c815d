// SPDX-License-Identifier: MIT
// What hosts report of long streams and long prompts at a server.
#ifndef VALELEDGE_HOST_PROCESS_SEPARATION_REPORTS_H_
#define VALELEDGE_HOST_PROCESS_SEPARATION_REPORTS_H_

#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

#include "base/duration.h"
#include "host/process/known_server.h"
#include "wire/generated/messages_types.h"

namespace valeledge::host {

// Name of a kind as a label of metrics.
std::string_view NameOf(decisions::separated_kind kind);

struct reported_separation {
  std::int64_t long_streams = 0;
  std::chrono::milliseconds long_prefill{0};
  // Values that cannot be valid; they count as absent.
  std::int64_t invalid = 0;
};

reported_separation ReadSeparation(const wire::server_load& load);

// Number of reported values that cannot be valid.
std::int64_t CountInvalidSeparation(
    const std::vector<wire::server_load>& loads);

// Sets the fields of a report. Zeros are not sent, so that reports of hosts
// that do not use the feature have the size that they had before.
void SetSeparation(const server_usage& own,
                   base::time_point now,
                   wire::server_load& load);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_SEPARATION_REPORTS_H_
