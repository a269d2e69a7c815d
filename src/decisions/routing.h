// SPDX-License-Identifier: MIT
// Selects the cell, and the backend server in it, for a request.
#ifndef VALELEDGE_DECISIONS_ROUTING_H_
#define VALELEDGE_DECISIONS_ROUTING_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "base/duration.h"

namespace valeledge::decisions {

// Identifies a unit that can be served, such as "model/NAME@VERSION", by its
// hash: look-ups compare numbers instead of strings.
using unit_hash = std::int32_t;

unit_hash HashUnit(std::string_view unit);

// Prompt prefixes that a backend server probably holds in its cache.
struct prefix_history {
  struct entry {
    std::int64_t hash = 0;
    base::time_point used;
  };
  std::vector<entry> entries;
};

// Capacity of the prefix history of one backend server.
inline constexpr std::size_t kMaxPrefixes = 64;

// Records that a request with this prefix was sent to the server. Replaces the
// least recently used prefix if the history is full.
void RecordPrefix(prefix_history& history,
                  std::int64_t hash,
                  base::time_point now);
bool HasPrefix(const prefix_history& history, std::int64_t hash);

// One backend server as the cell's scheduler sees it.
struct server_view {
  std::string name;
  std::string address;
  // Units that it can serve now.
  std::vector<unit_hash> ready;
  std::int64_t slots = 1;
  // Attempts that this scheduler granted and that have not ended.
  std::int64_t in_flight = 0;
  // Attempts that the server reports beyond those granted by this scheduler.
  std::int64_t external_in_flight = 0;
  bool down = false;
  // The server reports that it is leaving.
  bool leaving = false;
  // The platform's list says that its host is leaving.
  bool host_leaving = false;
  prefix_history prefixes;
};

// Returns whether the server may be given new work.
bool AcceptsWork(const server_view& server);

// The properties of a request that matter for routing.
struct route_request {
  unit_hash unit = 0;
  std::int64_t prefix_hash = 0;
  // Servers on which this request has failed: used only if there are no others.
  std::span<const std::string> avoid;
};

// Maximum load of a server relative to the cell's average at which it is still
// preferred because it holds the request's prefix.
inline constexpr double kMaxPrefixLoadRatio = 1.25;

// Returns the index of the server to use among those that are ready for the
// unit and have a free slot; nothing if there is none. Prefers a server that
// holds the prefix unless its load exceeds kMaxPrefixLoadRatio, then the least
// loaded server; ties are broken at random.
std::optional<std::size_t> ChooseServer(std::span<const server_view> servers,
                                        const route_request& request,
                                        std::mt19937_64& random);

// Returns whether any server is ready for the unit, with or without a free
// slot.
bool AnyReady(std::span<const server_view> servers, unit_hash unit);

// A cell as a gateway sees it.
struct cell_view {
  std::string cell;
  std::string zone;
  std::int64_t queued = 0;
  std::int64_t in_flight = 0;
  std::int64_t slots = 1;
};

// Returns the number of queued and running requests per slot.
double CellLoad(const cell_view& cell);

// Cells of the local availability zone are preferred up to this load.
inline constexpr double kMaxLocalZoneLoad = 0.8;

// Returns the index of the cell to send a request to: the less loaded of two
// chosen at random. If that is not in the local availability zone, the least
// loaded local cell below kMaxLocalZoneLoad takes precedence. Nothing if
// `cells` is empty.
std::optional<std::size_t> ChooseCell(std::span<const cell_view> cells,
                                      std::string_view local_zone,
                                      std::mt19937_64& random);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_ROUTING_H_
