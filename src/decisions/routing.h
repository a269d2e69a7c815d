// SPDX-License-Identifier: MIT
// Which cell, and in it which backend server, a request goes to.
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

// Stands for something that can be served: "model/NAME@VERSION" and so on,
// hashed so that look-ups compare numbers.
using unit_hash = std::int32_t;

unit_hash HashUnit(std::string_view unit);

// Prefixes that a backend server probably holds in its cache.
struct prefix_history {
  struct entry {
    std::int64_t hash = 0;
    base::time_point used;
  };
  std::vector<entry> entries;
};

// Prefixes remembered for one backend server.
inline constexpr std::size_t kMaxPrefixes = 64;

// Notes that a request with this prefix was sent there.
void RecordPrefix(prefix_history& history,
                  std::int64_t hash,
                  base::time_point now);
bool HasPrefix(const prefix_history& history, std::int64_t hash);

// One backend server as the cell's scheduler sees it.
struct server_view {
  std::string name;
  std::string address;
  // What it can serve now.
  std::vector<unit_hash> ready;
  std::int64_t slots = 1;
  // Attempts granted here and not ended.
  std::int64_t in_flight = 0;
  // Attempts it reports beyond those granted here.
  std::int64_t external_in_flight = 0;
  bool down = false;
  // It says so itself, or its host is leaving by the platform's list.
  bool leaving = false;
  bool host_leaving = false;
  prefix_history prefixes;
};

// Whether new work may go there.
bool AcceptsWork(const server_view& server);

// What routing looks at in a request.
struct route_request {
  unit_hash unit = 0;
  std::int64_t prefix_hash = 0;
  // Servers that failed this request already: used only if there are no
  // others.
  std::span<const std::string> avoid;
};

// How far above the cell's average load a server may be and still get a
// request for the prefix it holds.
inline constexpr double kMaxPrefixLoadRatio = 1.25;

// Index of the server to use among those that are ready for the unit and have
// a free slot; nothing if there is none. A server that holds the prefix is
// taken unless its load is beyond the bound; otherwise the least loaded, and
// among equals any.
std::optional<std::size_t> ChooseServer(std::span<const server_view> servers,
                                        const route_request& request,
                                        std::mt19937_64& random);

// Whether any server could serve the unit at all, busy or not.
bool AnyReady(std::span<const server_view> servers, unit_hash unit);

// A cell as a gateway sees it.
struct cell_view {
  std::string cell;
  std::string zone;
  std::int64_t queued = 0;
  std::int64_t in_flight = 0;
  std::int64_t slots = 1;
};

// Load of a cell: what is queued or in flight there per slot.
double CellLoad(const cell_view& cell);

// A cell in one's own availability zone is kept unless it is busier than this
// and the other is less busy.
inline constexpr double kMaxLocalZoneLoad = 0.8;

// Index of the cell to ask: the better of two taken at random, with one's own
// availability zone first while it has room. Nothing if `cells` is empty.
std::optional<std::size_t> ChooseCell(std::span<const cell_view> cells,
                                      std::string_view local_zone,
                                      std::mt19937_64& random);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_ROUTING_H_
