// SPDX-License-Identifier: MIT
// Checks what other hosts report of requests that wait for models.
#ifndef VALELEDGE_HOST_PROCESS_WAITING_DEMAND_H_
#define VALELEDGE_HOST_PROCESS_WAITING_DEMAND_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "wire/generated/messages_types.h"

namespace valeledge::host {

// Longest time left that is reported; receivers ignore longer ones. Longer ones
// make no difference to a plan.
inline constexpr std::chrono::milliseconds kMaxReportedTimeLeft{60'000};

// Unsets the fields on waiting requests wherever they are incomplete or cannot
// be valid. Returns the number of models for which it did.
std::int64_t DropInvalidWaiting(std::vector<wire::model_load>& loads);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_WAITING_DEMAND_H_
