// SPDX-License-Identifier: MIT
// The parts of a request's prompt that other requests may have as well.
#ifndef VALELEDGE_HOST_PROMPT_PARTS_H_
#define VALELEDGE_HOST_PROMPT_PARTS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "host/external_protocol.h"

namespace valeledge::host {

// Returns the ids of all parts but the last, which belongs to the request or
// its session; sorted, without duplicates. Of longer prompts only the first
// parts are returned.
std::vector<std::uint64_t> SharedPromptParts(const request_metadata& metadata);

// Returns part ids in hexadecimal, separated by commas.
std::string PromptPartsText(const std::vector<std::uint64_t>& parts);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROMPT_PARTS_H_
