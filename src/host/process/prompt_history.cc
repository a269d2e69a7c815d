// SPDX-License-Identifier: MIT
#include "host/process/prompt_history.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "base/identifier.h"

namespace valeledge::host {

namespace {

// Maximum number and age of the prompt prefixes recorded for one server.
constexpr std::size_t kMaxPrompts = 256;
constexpr auto kPromptLifetime = std::chrono::seconds(60);

// Extends the hash of a prompt prefix by one part.
std::uint64_t ChainHash(std::uint64_t before, const prompt_part& part) {
  constexpr std::uint64_t kMix = 0x9e3779b97f4a7c15;
  return (before ^ part.id) * kMix + (before >> 29);
}

std::uint64_t ChainStart(const request_metadata& head) {
  return base::StableHash(AdapterUnit(head.model, head.adapter));
}

void EvictOldest(prompt_history& history) {
  const auto oldest = std::ranges::min_element(
      history.last_seen, {}, [](const auto& each) { return each.second; });
  history.last_seen.erase(oldest);
}

}  // namespace

std::int64_t CachedTokens(const known_server& server,
                          const request_metadata& head,
                          base::time_point now) {
  std::int64_t cached_tokens = 0;
  std::uint64_t chain = ChainStart(head);
  for (const prompt_part& part : head.prompt) {
    chain = ChainHash(chain, part);
    const auto last_seen = server.prompts.last_seen.find(chain);
    if (last_seen == server.prompts.last_seen.end() ||
        now - last_seen->second > kPromptLifetime)
      break;
    cached_tokens += part.tokens;
  }
  return cached_tokens;
}

void RecordPrompt(known_server& server,
                  const request_metadata& head,
                  base::time_point now) {
  std::uint64_t chain = ChainStart(head);
  for (const prompt_part& part : head.prompt) {
    chain = ChainHash(chain, part);
    server.prompts.last_seen[chain] = now;
    if (server.prompts.last_seen.size() > kMaxPrompts)
      EvictOldest(server.prompts);
  }
}

}  // namespace valeledge::host
