// SPDX-License-Identifier: MIT
#include "host/prompt_parts.h"

#include <algorithm>
#include <cstddef>

#include "base/identifier.h"

namespace valeledge::host {

namespace {

// Bounds the size of crash reports: the parts of one request fit into a
// datagram.
constexpr std::size_t kMaxSharedParts = 32;

}  // namespace

std::vector<std::uint64_t> SharedPromptParts(const request_metadata& metadata) {
  std::vector<std::uint64_t> parts;
  const std::size_t shared = std::max<std::size_t>(metadata.prompt.size(), 1);
  const std::size_t count = std::min(shared - 1, kMaxSharedParts);
  for (std::size_t i = 0; i < count; ++i)
    parts.push_back(metadata.prompt[i].id);
  std::ranges::sort(parts);
  const auto repeated = std::ranges::unique(parts);
  parts.erase(repeated.begin(), repeated.end());
  return parts;
}

std::string PromptPartsText(const std::vector<std::uint64_t>& parts) {
  std::string text;
  for (const std::uint64_t part : parts) {
    if (!text.empty())
      text += ',';
    text += base::HexText(part);
  }
  return text;
}

}  // namespace valeledge::host
