// SPDX-License-Identifier: MIT
// One of the partners that share the capacity: whose requests are its own, how
// urgent they are, and how much it may ask for.
#ifndef VALELEDGE_CATALOG_WORKSPACE_H_
#define VALELEDGE_CATALOG_WORKSPACE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace valeledge::catalog {

// What a limit counts.
enum class limit_unit { kRequests, kTokens };

// How much the callers of one workspace may ask for, at all hosts together.
struct workspace_limit {
  limit_unit unit = limit_unit::kRequests;
  // Units a second, and those that may come at once beyond that. A rate of 0
  // is no limit.
  double rate = 0;
  double burst = 0;
  // What a request that does not tell its tokens counts, in tokens.
  std::int64_t plain_tokens = 0;

  bool IsSet() const { return rate > 0; }
};

struct workspace {
  std::string name;
  // Callers that send any of these belong to the workspace.
  std::vector<std::string> keys;
  // Goes before the priority of a route; 0 is the most urgent.
  std::optional<std::int64_t> priority;
  workspace_limit limit;
  // Regions in which its requests may be served, beside what their route says;
  // empty: in any.
  std::vector<std::string> homes;
};

}  // namespace valeledge::catalog

#endif  // VALELEDGE_CATALOG_WORKSPACE_H_
