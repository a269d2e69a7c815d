// SPDX-License-Identifier: MIT
#include "decisions/response_status.h"

#include <algorithm>
#include <array>

namespace valeledge::decisions {

namespace {

constexpr std::array kPromises = {408, 421, 429, 503};

// Those below 500: request timeout, misdirected request, too early (RFC 8470),
// too many requests.
constexpr std::array kFailuresBelow500 = {408, 421, 425, 429};

}  // namespace

bool PromisesNotRun(int status) {
  return std::ranges::find(kPromises, status) != kPromises.end();
}

bool IsServerFailure(int status) {
  return status >= 500 || std::ranges::find(kFailuresBelow500, status) !=
                              kFailuresBelow500.end();
}

}  // namespace valeledge::decisions
